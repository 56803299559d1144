/** @file call_channel.h From the control thread to the thread of a caller. */

#ifndef JACINTHPOND_ENTRY_CALL_CHANNEL_H
#define JACINTHPOND_ENTRY_CALL_CHANNEL_H

#include "base/effect_type.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace jacinthpond {

/** What a caller's thread gets; the last two are final. */
using CallEvent = std::variant<CallPart, CallEnd, CallError>;

/** Queue of one caller. */
class CallChannel {
public:
  /**
   * Adds an event.
   * @param Event What happened.
   */
  void push(CallEvent Event);

  /**
   * Takes the next event.
   * @param Wait Longest wait.
   * @return The event, or nothing when none came in time.
   */
  std::optional<CallEvent> pop(Millis Wait);

private:
  std::mutex Guard; ///< Guards Events.
  std::condition_variable Changed;
  std::deque<CallEvent> Events;
};

/** All callers that wait, by number. */
class CallTable {
public:
  /**
   * Opens a channel.
   * @param Id Set to its number.
   * @return The channel.
   */
  std::shared_ptr<CallChannel> open(CallId &Id);

  /**
   * Closes a channel; later events for it are dropped.
   * @param Id Its number.
   */
  void close(CallId Id);

  /**
   * Gives an event to the channel of its caller.
   * @param Event What happened.
   */
  void push(CallEvent Event);

  /**
   * Counts the callers.
   * @return Channels that are open.
   */
  size_t size();

private:
  std::mutex Guard; ///< Guards both members below.
  std::map<CallId, std::shared_ptr<CallChannel>> Channels;
  uint64_t NextCall = 1;
};

} // namespace jacinthpond

#endif
