/** @file broken_answer_test.cpp Answers that break off where no other server
 * can take over at once.
 */
// Labels: routes platform

#include "busy_fleet.h"

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BrokenAnswers)

// Guards against streams that are broken off at the first refusal of a slot,
// though slots become free long before their callers would leave.
BOOST_AUTO_TEST_CASE(ABrokenStreamWaitsForASlot) {
  BusyFleet Busy(16, 100);
  Busy.All.control("model-0", {{"break_at", 3}});
  Busy.fill();
  Busy.checkWhole();
}

// Guards against the error of a back end that is replaced by one of ours, since
// another back end was to be tried and refused.
BOOST_AUTO_TEST_CASE(AnErrorIsPassedOnWhereTheOtherServerRefuses) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("plain-0", {{"fail", 1000}});
  All.control("plain-1", {{"refuse", 1000}});
  for (int n = 0; n < 6; ++n)
    BOOST_TEST(All.ask(0, {}).status == 500);
}

BOOST_AUTO_TEST_SUITE_END()
