/** @file refusal_episode_type.h Series of refusals that are logged as one. */

#ifndef JACINTHPOND_CORE_REFUSAL_EPISODE_TYPE_H
#define JACINTHPOND_CORE_REFUSAL_EPISODE_TYPE_H

#include "base/time_type.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace jacinthpond {

/** Why a connection of a caller was closed, or its request refused, before the
 * request was complete. */
enum class CallerRefusal : uint8_t {
  Malformed,    ///< It is no valid HTTP.
  TooLarge,     ///< The body exceeds its limit.
  HeadTooLarge, ///< The headers exceed their limit.
  Slow,         ///< It was not complete in time.
  Memory,       ///< Connections hold all memory that they may.
  Connections,  ///< There are too many connections.
  Unread,       ///< The caller does not read its answers.
  Count         ///< Number of values; not a value.
};

/** Names of CallerRefusal in logs and metrics, in enum order. */
constexpr std::array<const char *, static_cast<size_t>(CallerRefusal::Count)>
    CallerRefusalNames = {"malformed", "too_large",   "head_too_large", "slow",
                          "memory",    "connections", "unread"};

/** Refusals for one reason without a long pause between them. */
struct RefusalEpisode {
  uint64_t Refused = 0; ///< Refusals so far; 0: no episode.
  TimePoint Last;       ///< The last of them.
};

/** The current episode for each reason. */
using RefusalEpisodes =
    std::array<RefusalEpisode, static_cast<size_t>(CallerRefusal::Count)>;

} // namespace jacinthpond

#endif
