/** @file cold_start_test.cpp How many requests an engine that turns cold gets.
 */
// Labels: promise-2

#include "cold_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

// Guards against an engine that is kept cold by work that goes on being
// started.
BOOST_AUTO_TEST_CASE(WarmEngineTurnsColdWithoutWarning) {
  Fleet All(planFor(1));
  BOOST_REQUIRE(All.waitServing(30s));
  SteadyCallers Load(All, 24, hutReport);
  BOOST_REQUIRE(warmUp(All, "engine-0", 15));
  const size_t Before = Load.Good;
  BOOST_REQUIRE(waitFor(20s, [&] { return Load.Good > Before + 100; }));
  All.control("engine-0",
              {{"cold", true}, {"hide_cold", 1}, {"warm_after", 40}});
  const auto State = [&] { return All.look("engine-0"); };
  BOOST_REQUIRE(waitFor(20s, [&] { return State()["completed"] >= 40; }));
  Load.stop();
  // The 16 under way end; until the slowness shows some more may begin.
  BOOST_TEST(State()["cold_overstart_ms"].size() <= 12U);
  BOOST_TEST(Load.Other == 0U);
}
