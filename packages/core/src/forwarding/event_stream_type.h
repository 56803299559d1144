/** @file event_stream_type.h Splitting a stream of server-sent events at event
 * boundaries. */

#ifndef JACINTHPOND_CORE_EVENT_STREAM_TYPE_H
#define JACINTHPOND_CORE_EVENT_STREAM_TYPE_H

#include <cstdint>
#include <optional>
#include <string>

namespace jacinthpond {

/** Size limit of an event, in bytes; a back end that exceeds it is faulty. */
constexpr size_t MaxEventBytes = 1 << 20;
/** Most bytes of comments between two events; a comment keeps a connection from
 * looking idle and has a few bytes. */
constexpr size_t MaxCommentBytes = 64 << 10;

/** A stream that is forwarded, of which only complete events are passed on. */
struct EventStream {
  std::string Partial;            ///< Start of an incomplete event.
  std::string Opening;            ///< Comments before the first event.
  size_t CommentBytes = 0;        ///< Comments since the last event.
  bool Begun = false;             ///< An event has come.
  std::optional<uint64_t> LastId; ///< Id of the last forwarded event.
};

/** Result of adding bytes to a stream. */
enum class EventStreamStatus : uint8_t {
  Good,       ///< The stream is valid so far.
  OutOfOrder, ///< An event id does not follow the one before.
  TooLarge    ///< An event or the comments before it exceed their limit.
};

} // namespace jacinthpond

#endif
