/** @file caller_wait.cpp How long a caller waits for the next part of an
 * answer. */

#include "forwarding/caller_wait_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Allowance for the transit of the request and of the answer: the caller's
 * clock starts when it sends the request. */
constexpr Millis TransitTime{100};

} // namespace

TimePoint answerDeadline(const Route &Matched, TimePoint Deadline,
                         TimePoint LastDeliveryAt) {
  if (Matched.Kind != RouteKind::Stream ||
      Matched.LongestSilence <= TransitTime)
    return Deadline;
  return std::min(Deadline,
                  LastDeliveryAt + Matched.LongestSilence - TransitTime);
}

} // namespace jacinthpond
