/** @file unsent_retry_test.cpp What draws on the retry budget. */
// Labels: routes platform

#include "busy_fleet.h"

using namespace jacinthpond::fleet;

// Guards against a retry budget that is used up by questions for slots, after
// which nothing was sent.
BOOST_AUTO_TEST_CASE(ARefusedSlotDrawsOnNoRetry) {
  BusyFleet Busy(12, 150);
  Busy.fill();
  Busy.silence("model-0");
  Busy.Callers.clear();
  const size_t Sent = Busy.runsOf(0) + Busy.runsOf(1) - Busy.Answers.size();
  BOOST_TEST(Busy.counter("jacinthpond_route_repeats_total") ==
             static_cast<double>(Sent));
}
