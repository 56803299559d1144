/** @file config_test.cpp One version everywhere, whatever the service does. */
// Labels: promise-9

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

/** The promise of the users: in force everywhere within this time. */
constexpr auto InForceLimit = 6s;

bool everywhere(const Fleet &All, uint64_t Version) {
  for (size_t n = 0; n < All.Plan.Entries; ++n) {
    const Json State = All.health(n);
    if (State.value("version", uint64_t{0}) != Version ||
        !State.value("fresh", false) || State.value("links_behind", 1) != 0 ||
        State.value("ready_workers", size_t{0}) !=
            All.Plan.ModelWorkers + All.Plan.ServiceWorkers)
      return false;
  }
  return true;
}

uint64_t published(const Fleet &All) { return All.Document["version"]; }

FleetPlan plan(size_t Entries, size_t Workers) {
  FleetPlan Plan;
  Plan.Entries = Entries;
  Plan.ModelWorkers = 0;
  Plan.ServiceWorkers = Workers;
  Plan.SharedService = true;
  return Plan;
}

struct Small {
  Small() : All(plan(4, 6)) {
    BOOST_REQUIRE(waitFor(20s, [&] { return everywhere(All, 1); }));
  }
  Fleet All;
};

} // namespace

// The configuration service is overrun when the fleet grows. Cause: every
// process watched it. With 16 entries and 24 agents the calls are counted.
BOOST_AUTO_TEST_CASE(FortyProcessesFollowWithinTheLimitWithFewCalls) {
  Fleet All(plan(16, 24));
  BOOST_REQUIRE(waitFor(20s, [&] { return everywhere(All, 1); }));
  const uint64_t CallsBefore = All.look("platform")["calls"];
  const auto Begin = Clock::now();
  for (int n = 0; n < 4; ++n) {
    All.publish();
    BOOST_TEST(
        waitFor(InForceLimit, [&] { return everywhere(All, published(All)); }));
  }
  const std::chrono::duration<double> Took = Clock::now() - Begin;
  const uint64_t Calls =
      All.look("platform")["calls"].get<uint64_t>() - CallsBefore;
  // Two readers in each of three domains: one call for each publication and
  // one for each watch of 1.5 s, and the one that ends after the count.
  const double Bound = 6 * (4 + Took.count() / 1.5 + 1);
  BOOST_TEST(static_cast<double>(Calls) <= Bound);
}

BOOST_FIXTURE_TEST_SUITE(Config, Small)

// A taken-out domain comes back by itself. The service has gone back to an
// older version, then entries are replaced. Cause: a new process believed the
// service alone.
BOOST_AUTO_TEST_CASE(AServiceThatGoesBackTakesNobodyAlong) {
  const std::string Old = All.Document.dump();
  All.publish();
  BOOST_REQUIRE(waitFor(InForceLimit, [&] { return everywhere(All, 2); }));
  All.control("platform", {{"document", Old}});
  All.process("entry-0").kill();
  All.restart("entry-0");
  const bool Joined = waitFor(10s, [&] {
    const Json State = All.health(0);
    if (State.value("fresh", false))
      BOOST_TEST(State["version"] == 2);
    return State.value("fresh", false);
  });
  BOOST_TEST(Joined);
  BOOST_TEST(waitFor(10s, [&] { return everywhere(All, 2); }));
}

// Callers find no entry that serves while the service is down. Most of the
// processes are replaced in that time; the last entry knows the version.
BOOST_AUTO_TEST_CASE(ReplacedProcessesLearnFromPeersWhileTheServiceIsDown) {
  All.publish();
  BOOST_REQUIRE(waitFor(InForceLimit, [&] { return everywhere(All, 2); }));
  All.control("platform", {{"down", true}});
  for (const char *Name : {"entry-0", "entry-1", "entry-2", "agent-s0",
                           "agent-s1", "agent-s2", "agent-s3"}) {
    All.process(Name).kill();
    All.restart(Name);
  }
  BOOST_TEST(waitFor(10s, [&] { return everywhere(All, 2); }));
  Ask Status;
  Status.Class = "status";
  BOOST_TEST(All.ask(0, Status).Status == 200);
}

BOOST_AUTO_TEST_CASE(AnInvalidDocumentChangesNothing) {
  All.control("platform", {{"document", "{\"version\": 7, \"clases\": []}"}});
  All.process("entry-1").kill();
  All.restart("entry-1"); // A new process rejects it like the others.
  BOOST_TEST(waitFor(10s, [&] { return everywhere(All, 1); }));
  All.publish();
  BOOST_TEST(waitFor(InForceLimit, [&] { return everywhere(All, 2); }));
}

BOOST_AUTO_TEST_SUITE_END()

// An agent goes on with an old version after its network came back. It was
// partitioned while the version was published.
BOOST_AUTO_TEST_CASE(APartitionedAgentCatchesUpOnReturn) {
  FleetPlan Plan = plan(3, 3);
  Plan.ProxyAgents = true;
  Fleet All(Plan);
  BOOST_REQUIRE(waitFor(20s, [&] { return everywhere(All, 1); }));
  All.control("proxy-s0", {{"mode", "freeze"}});
  All.publish();
  BOOST_TEST(waitFor(InForceLimit, [&] {
    const Json State = All.health(0);
    return State["version"] == 2 && State["ready_workers"] == 2;
  }));
  All.control("proxy-s0", {{"mode", "pass"}});
  BOOST_TEST(waitFor(10s, [&] { return everywhere(All, 2); }));
}

// An agent is never told a version though its entries think it is linked. Its
// open connections went silent for good while new ones work.
BOOST_AUTO_TEST_CASE(SilentlyLostLinksAreReplacedInTime) {
  FleetPlan Plan = plan(3, 3);
  Plan.ProxyAgents = true;
  Fleet All(Plan);
  BOOST_REQUIRE(waitFor(20s, [&] { return everywhere(All, 1); }));
  All.control("proxy-s0", {{"lose", true}});
  All.publish();
  BOOST_TEST(waitFor(InForceLimit, [&] { return everywhere(All, 2); }));
}
