/** @file call_channel.h Queues of events for callers' threads. */

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

/** Event of a call; the end and the error of its answer are final. */
using CallEvent = std::variant<CallPart, CallEnd, CallError>;

/** Queue of a call's events, from the control thread to its caller's thread;
 * thread-safe. */
class CallChannel {
public:
  /**
   * Adds an event and wakes the thread that waits in pop().
   * @param Event The event.
   */
  void push(CallEvent Event);

  /**
   * Waits for the next event and removes it from the queue.
   * @param Wait Longest wait.
   * @return The event; nothing when none arrived in time.
   */
  std::optional<CallEvent> pop(Millis Wait);

private:
  std::mutex Guard; ///< Guards Events.
  std::condition_variable Changed;
  std::deque<CallEvent> Events;
};

/** Thread-safe table of the channels of open calls. */
class CallTable {
public:
  /**
   * Opens a channel under a new call id.
   * @param Id Receives the call id.
   * @return The channel.
   */
  std::shared_ptr<CallChannel> open(CallId &Id);

  /**
   * Removes the channel of a call; later events for it are dropped.
   * @param Id The call.
   */
  void close(CallId Id);

  /**
   * Adds an event to the channel of its call.
   * @param Event The event.
   */
  void push(CallEvent Event);

  /**
   * Counts the open channels.
   * @return Number of open channels.
   */
  size_t size();

private:
  std::mutex Guard; ///< Guards both members below.
  std::map<CallId, std::shared_ptr<CallChannel>> Channels;
  uint64_t NextCall = 1;
};

} // namespace jacinthpond

#endif
