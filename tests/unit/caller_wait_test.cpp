/** @file caller_wait_test.cpp How long a caller waits for the next part of an
 * answer. */
// Labels: routes

#include "forwarding/caller_wait_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

constexpr TimePoint Arrival{std::chrono::hours(1)};
constexpr TimePoint Deadline = Arrival + Millis(6000);

/** Makes a route of streams whose callers accept a silence of 2.4 s. */
Route makeStreamRoute() {
  Route One;
  One.Kind = RouteKind::Stream;
  One.LongestSilence = Millis(2400);
  return One;
}

} // namespace

// Guards against streams that run until a deadline for which their callers do
// not wait.
BOOST_AUTO_TEST_CASE(AStreamIsAnsweredBeforeItsCallerLeaves) {
  const TimePoint By = answerDeadline(makeStreamRoute(), Deadline, Arrival);
  BOOST_TEST((By < Arrival + Millis(2400)));
  BOOST_TEST((By >= Arrival + Millis(2250)));
}

BOOST_AUTO_TEST_CASE(EachPartRestartsTheWait) {
  const TimePoint Given = Arrival + Millis(3000);
  BOOST_TEST((answerDeadline(makeStreamRoute(), Deadline, Given) >
              Arrival + Millis(5000)));
  const TimePoint Late = Arrival + Millis(4000);
  BOOST_TEST((answerDeadline(makeStreamRoute(), Deadline, Late) == Deadline));
}

BOOST_AUTO_TEST_CASE(OtherRequestsHaveTheirDeadline) {
  Route One = makeStreamRoute();
  One.Kind = RouteKind::Idempotent;
  BOOST_TEST((answerDeadline(One, Deadline, Arrival) == Deadline));
  One = makeStreamRoute();
  One.LongestSilence = Millis{0};
  BOOST_TEST((answerDeadline(One, Deadline, Arrival) == Deadline));
}
