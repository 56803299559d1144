/** @file leaving_test.cpp A leaving backend server gets no new work. */
// Labels: promise-7

#include "loaded_fleet.h"

#include <csignal>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

FleetPlan twoPlatforms() {
  FleetPlan Plan;
  Plan.Platforms = 2;
  return Plan;
}

struct Loaded : LoadedFleet {
  Loaded() : LoadedFleet(twoPlatforms()) { startCallers(); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Leaving, Loaded)

BOOST_AUTO_TEST_CASE(AHostThatTheListNames) {
  for (const char *Name : {"platform", "platform-1"})
    All.control(Name, {{"hosts", {{"m0", "leaving"}, {"m1", "live"}}}});
  changed();
  waitSilentLimit();
  checkSilent({0});
}

// A host that leaves goes on getting requests from two of three entries, whose
// copies of the list lag. Cause: what one entry reads was not told on.
BOOST_AUTO_TEST_CASE(AHostThatOnlyOneEntrySeesLeaving) {
  All.control("platform-1", {{"hosts", {{"m0", "leaving"}}}});
  changed();
  waitSilentLimit();
  checkSilent({0});
  All.control("platform-1", {{"hosts", {{"m0", "live"}}}});
  const size_t Before = workAt(0); // And it may come back.
  BOOST_TEST(waitFor(20s, [&] { return workAt(0) > Before; }));
}

BOOST_AUTO_TEST_CASE(AnAgentThatIsToldToStop) {
  All.process("agent-m0").signal(SIGTERM);
  changed();
  waitSilentLimit();
  checkSilent({0});
  BOOST_TEST(All.process("agent-m0").waitExit(20s).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
