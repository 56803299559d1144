/** @file time_type.h Units of time used by all decisions. */

#ifndef JACINTHPOND_CORE_TIME_TYPE_H
#define JACINTHPOND_CORE_TIME_TYPE_H

#include <chrono>

namespace jacinthpond {

/**
 * A point on the clock of one process, which never goes back; never sent to
 * another process. The programs' clock is RuntimeClock, which also counts the
 * time for which a host is suspended: compare it with no other one.
 */
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
