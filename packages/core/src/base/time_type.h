/** @file time_type.h Time types of the decision logic. */

#ifndef JACINTHPOND_CORE_TIME_TYPE_H
#define JACINTHPOND_CORE_TIME_TYPE_H

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace jacinthpond {

/**
 * Time on the monotonic clock of one process; never sent to another process.
 * The programs use RuntimeClock, which also counts the time while the host is
 * suspended; do not compare its times with those of another clock.
 */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

/**
 * Converts a duration to whole milliseconds.
 * @param Length Any duration.
 * @return The duration in milliseconds, rounded towards zero.
 */
inline Millis toMillis(Duration Length) {
  return std::chrono::duration_cast<Millis>(Length);
}

/**
 * Gives the delay after repeated failures.
 * @param First Delay after the first one.
 * @param Doublings How often it doubles by now.
 * @param MaxDoublings How often it may double at most.
 * @return The delay.
 */
inline Millis doubledDelay(Millis First, uint32_t Doublings,
                           uint32_t MaxDoublings) {
  return First * (int64_t{1} << std::min(Doublings, MaxDoublings));
}

} // namespace jacinthpond

#endif
