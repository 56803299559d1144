/** @file token_pace_type.h Time between tokens, as a sign of a cold engine. */

#ifndef JACINTHPOND_CORE_TOKEN_PACE_TYPE_H
#define JACINTHPOND_CORE_TOKEN_PACE_TYPE_H

#include "base/time_type.h"

#include <array>
#include <cstddef>

namespace jacinthpond {

/** Gaps that are looked at together. */
constexpr size_t PaceWindow = 32;

/** Gaps between the tokens of one back end's answers. */
struct TokenPace {
  std::array<Duration, PaceWindow> Recent{}; ///< Last gaps, a ring.
  size_t Seen = 0;                           ///< Gaps since the last reset.
  Duration Warm{0}; ///< Usual gap while warm; 0: not known yet.
};

} // namespace jacinthpond

#endif
