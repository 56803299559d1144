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

/** A stream that is forwarded, of which only complete events are passed on. */
struct EventStream {
  std::string Partial;            ///< Start of an incomplete event.
  std::optional<uint64_t> LastId; ///< Id of the last forwarded event.
};

/** Result of adding bytes to a stream. */
enum class EventStreamStatus : uint8_t {
  Good,       ///< The stream is valid so far.
  OutOfOrder, ///< An event id does not follow the one before.
  TooLarge    ///< An event exceeds MaxEventBytes.
};

} // namespace jacinthpond

#endif
