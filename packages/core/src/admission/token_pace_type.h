/** @file token_pace_type.h Time between tokens, used to detect a cold engine.
 */

#ifndef JACINTHPOND_CORE_TOKEN_PACE_TYPE_H
#define JACINTHPOND_CORE_TOKEN_PACE_TYPE_H

#include "base/time_type.h"

#include <array>
#include <cstddef>

namespace jacinthpond {

/** Number of gaps that a median is computed over. */
constexpr size_t PaceWindow = 32;

/** Gaps between tokens of the answers of one back end. */
struct TokenPace {
  std::array<Duration, PaceWindow> Recent{}; ///< Latest gaps, a ring buffer.
  size_t Seen = 0;                           ///< Gaps since the last reset.
  Duration WarmGap{0}; ///< Typical gap while warm; 0: unknown.
};

} // namespace jacinthpond

#endif
