/** @file come_back.cpp Retry delays for refused callers. */

#include "forwarding/come_back_func.h"

#include "base/random_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Divisor of the remaining time for the longest retry delay. */
constexpr int RetryDelayDivisor = 3;
/** Random part of a delay, in percent of its fixed part. */
constexpr uint64_t JitterPercent = 60;

} // namespace

Millis spreadRetryAfter(const Failure &Why, Duration Left, uint64_t &Random) {
  const Millis MaxDelay =
      std::max(toMillis(Left / RetryDelayDivisor), Millis{0});
  const auto Percent =
      static_cast<int64_t>(100 + nextRandom(Random) % (JitterPercent + 1));
  const Millis Delay = retryAfter(Why) * Percent / 100;
  // The upper bound is randomized as well: a fixed one would give all callers
  // above it the same delay.
  return std::min(Delay, MaxDelay * Percent /
                             static_cast<int64_t>(100 + JitterPercent));
}

} // namespace jacinthpond
