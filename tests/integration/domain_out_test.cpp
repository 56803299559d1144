/** @file domain_out_test.cpp A domain that was taken out gets no new work. */
// Labels: promise-3

#include "loaded_fleet.h"

#include <csignal>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/**
 * All times but one are a tenth of the defaults, so that 3 s stand for the
 * 20 s of the issue. Links fall silent only after 6 s: they survive the pause
 * and nothing but the gap in the own clock shows that there was one.
 */
const Json ScaledTimes = {{"heartbeat_ms", 50},
                          {"link_silence_ms", 6000},
                          {"reconnect_ms", 30},
                          {"pause_gap_ms", 200},
                          {"cut_off_ms", 600}};
FleetPlan scaledPlan() {
  FleetPlan Plan;
  Plan.EntrySettings = ScaledTimes;
  Plan.EntrySettings["join_wait_ms"] = 300;
  Plan.AgentSettings = ScaledTimes;
  Plan.Platforms = 2;
  return Plan;
}

/** Worker n is in domain n % 3: engines 0 and 3 are in the first. */
const std::vector<size_t> FirstDomain = {0, 3};

struct Loaded : LoadedFleet {
  Loaded() : LoadedFleet(scaledPlan()) {}

  void publishOut(bool Out) {
    All.Document["domains_out"] = Json::array();
    if (Out)
      All.Document["domains_out"].push_back(All.Plan.Domains[0]);
    All.publish();
    changed();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DomainOut, Loaded)

// A request is answered out of a domain that was taken out long ago. Agents
// there stand still with requests in their sockets, an entry with requests of
// its callers. On waking they go on where they stopped. Cause: old views. No
// request had reached the domain's engines before, so each one is a fault.
BOOST_AUTO_TEST_CASE(AnEntryAndAgentsThatWakeUpLate) {
  for (const char *Name : {"agent-m0", "agent-m3"})
    All.process(Name).pause();
  startCallers();
  BOOST_REQUIRE(waitFor(10s, [&] { return Whole > 0 && openCalls() >= 6; }));
  All.process("entry-0").pause();
  publishOut(true);
  waitSilentLimit();
  for (const char *Name : {"entry-0", "agent-m0", "agent-m3"})
    All.process(Name).signal(SIGCONT);
  BOOST_TEST(waitFor(10s, [&] {
    const Json State = All.health(0);
    return State.value("fresh", false) &&
           State["version"] == All.Document["version"];
  }));
  checkSilent(FirstDomain);
  BOOST_TEST((workAt(0) + workAt(3)) == 0U);
}

BOOST_AUTO_TEST_CASE(TheServiceIsStaleForHalfOfTheReaders) {
  startCallers();
  All.control("platform-1", {{"stale", true}});
  publishOut(true);
  waitSilentLimit();
  checkSilent(FirstDomain);
}

BOOST_AUTO_TEST_CASE(TheServiceGoesDownAfterOneReaderHasRead) {
  startCallers();
  for (const char *Name : {"platform", "platform-1"})
    All.control(Name, {{"down", true}});
  All.control("platform", {{"reads_left", 1}, {"down", false}});
  publishOut(true);
  waitSilentLimit();
  checkSilent(FirstDomain);
}

// Two operators take the domain out, return it and take it out again.
BOOST_AUTO_TEST_CASE(OutInOutInQuickSuccession) {
  startCallers();
  publishOut(true);
  publishOut(false);
  publishOut(true);
  waitSilentLimit();
  checkSilent(FirstDomain);
  const size_t Before = (workAt(0) + workAt(3));
  publishOut(false); // And it does come back.
  BOOST_TEST(waitFor(10s, [&] { return (workAt(0) + workAt(3)) > Before; }));
}

BOOST_AUTO_TEST_SUITE_END()
