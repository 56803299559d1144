/** @file time_type.h Units of time used by all decisions. */

#ifndef JACINTHPOND_CORE_TIME_TYPE_H
#define JACINTHPOND_CORE_TIME_TYPE_H

#include <chrono>

namespace jacinthpond {

/** A point on the monotonic clock of one process; never sent to another. */
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Millis = std::chrono::milliseconds;

/**
 * Cuts a duration to whole milliseconds.
 * @param Length Any duration.
 * @return The duration in milliseconds, rounded towards zero.
 */
inline Millis toMillis(Duration Length) {
  return std::chrono::duration_cast<Millis>(Length);
}

} // namespace jacinthpond

#endif
