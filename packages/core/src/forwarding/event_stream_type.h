/** @file event_stream_type.h Server-sent events cut at their boundaries. */

#ifndef JACINTHPOND_CORE_EVENT_STREAM_TYPE_H
#define JACINTHPOND_CORE_EVENT_STREAM_TYPE_H

#include <cstdint>
#include <optional>
#include <string>

namespace jacinthpond {

/** Largest event taken, in bytes; a back end that sends more is broken. */
constexpr size_t MaxEventBytes = 1 << 20;

/** One stream on its way through; only whole events leave it. */
struct EventStream {
  std::string Partial;            ///< Bytes of an event whose end has not come.
  std::optional<uint64_t> LastId; ///< Id of the last event that went through.
};

/** What became of bytes that were put into a stream. */
enum class EventVerdict : uint8_t {
  Good,       ///< Whole events may go out.
  OutOfOrder, ///< An id does not follow the one before.
  TooLarge    ///< An event exceeds the limit.
};

} // namespace jacinthpond

#endif
