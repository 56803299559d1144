/** @file caller_wait.cpp How long a caller waits for the next part. */

#include "forwarding/caller_wait_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** The caller's clock starts when it sends; its answer takes a while, too. */
constexpr Millis WayToCaller{100};

} // namespace

TimePoint answerNeededBy(const Route &From, TimePoint Deadline,
                         TimePoint LastGiven) {
  if (From.Kind != RouteKind::Stream || From.LongestSilence <= WayToCaller)
    return Deadline;
  return std::min(Deadline, LastGiven + From.LongestSilence - WayToCaller);
}

} // namespace jacinthpond
