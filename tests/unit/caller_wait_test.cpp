/** @file caller_wait_test.cpp How long a caller waits for the next part. */
// Labels: routes

#include "forwarding/caller_wait_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

constexpr TimePoint Came{std::chrono::hours(1)};
constexpr TimePoint Deadline = Came + Millis(6000);

Route stream() {
  Route One;
  One.Kind = RouteKind::Stream;
  One.LongestSilence = Millis(2400);
  return One;
}

} // namespace

// Guards against streams that are worked on until a deadline which their
// callers do not wait for.
BOOST_AUTO_TEST_CASE(AStreamIsAnsweredBeforeItsCallerLeaves) {
  const TimePoint By = answerNeededBy(stream(), Deadline, Came);
  BOOST_TEST((By < Came + Millis(2400)));
  BOOST_TEST((By >= Came + Millis(2250)));
}

BOOST_AUTO_TEST_CASE(EachPartBeginsTheWaitAnew) {
  const TimePoint Given = Came + Millis(3000);
  BOOST_TEST((answerNeededBy(stream(), Deadline, Given) > Came + Millis(5000)));
  const TimePoint Late = Came + Millis(4000);
  BOOST_TEST((answerNeededBy(stream(), Deadline, Late) == Deadline));
}

BOOST_AUTO_TEST_CASE(OtherRequestsHaveTheirDeadline) {
  Route One = stream();
  One.Kind = RouteKind::Idempotent;
  BOOST_TEST((answerNeededBy(One, Deadline, Came) == Deadline));
  One = stream();
  One.LongestSilence = Millis{0};
  BOOST_TEST((answerNeededBy(One, Deadline, Came) == Deadline));
}
