/** @file cold_start_test.cpp How many requests an engine that turns cold gets.
 */
// Labels: promise-2

#include "cold_fleet.h"

using namespace jacinthpond::fleet;

// Guards against an engine that is kept cold by work that goes on being
// started.
BOOST_AUTO_TEST_CASE(WarmEngineTurnsColdWithoutWarning) {
  const TurnedCold Fleet;
  // The 16 under way end; until the slowness shows some more may begin.
  BOOST_TEST(Fleet.state()["cold_overstart_ms"].size() <= 12U);
  BOOST_TEST(Fleet.Other == 0U);
}
