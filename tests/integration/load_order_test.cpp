/** @file load_order_test.cpp An engine loads what was checked, and that alone.
 */
// Labels: weights platform

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Loads of the first worker that took other bytes than their version's. */
size_t tornLoads(const RouteFleet &All) {
  const Json Loads = All.look("model-0")["loads"];
  return static_cast<size_t>(std::ranges::count_if(
      Loads, [](const Json &One) { return !One["whole"].get<bool>(); }));
}

/** Runs of a worker on weights that were loaded from other bytes. */
size_t tornRuns(const RouteFleet &All, const std::string &Name) {
  const Json Runs = All.look(Name)["runs"];
  return static_cast<size_t>(std::ranges::count_if(
      Runs, [](const Json &One) { return !One["whole"].get<bool>(); }));
}

/** Two workers that serve version 1. */
struct Serving {
  Serving() : All(RoutePlan{}) { BOOST_REQUIRE(All.waitServing(30s)); }

  /** Names a version in the store. */
  void name(int Version) {
    const Json Named = {{"model", "trail"}, {"version", Version}};
    All.store({{"put", {{"op/version/trail", Named.dump()}}}});
  }

  /** The first worker leaves its next order unread for a while; version 2 is
   * named, and version 3 once the order for it lies there. */
  void nameTwoVersions(int OrderWaitMillis) {
    All.control("model-0", {{"order_wait_ms", OrderWaitMillis}});
    name(2);
    BOOST_REQUIRE(waitFor(20s, [&] {
      return All.look("model-0").value("orders_waiting", 0) == 1;
    }));
    name(3);
  }

  bool allLoaded(int Version) const {
    return All.look("model-0").value("version", 0) == Version &&
           All.look("model-1").value("version", 0) == Version &&
           All.look("model-0").value("orders_waiting", 0) == 0;
  }

  /** The first worker leaves a write of version 2 unread; version 3 is named.
   */
  void leaveAWriteUnread() {
    All.control("model-0", {{"hold_put", 0}});
    name(2);
    BOOST_REQUIRE(waitFor(
        20s, [&] { return All.look("model-0").value("puts_held", 0) == 1; }));
    name(3);
  }

  /** Sends requests until the first worker serves a version, and goes on for a
   * moment. */
  void askUntilServed(int Version) {
    const auto Served = [&] {
      All.ask(0, writeAsk());
      const Json Runs = All.look("model-0")["runs"];
      return std::ranges::any_of(Runs, [&](const Json &One) {
        return One["version"] == Version && One["whole"].get<bool>();
      });
    };
    BOOST_TEST(waitFor(30s, Served));
  }

  RouteFleet All;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadOrders, Serving)

BOOST_AUTO_TEST_CASE(ChunksOfTheNextVersionWaitForTheOrder) {
  // Callers got tokens made with weights that were partly the next version's.
  // An engine loads what lies staged when it takes an order. Version 3 was
  // named while the order for version 2 stood at the engine, and its chunks
  // were staged over those that had been checked.
  nameTwoVersions(1200);
  BOOST_TEST(waitFor(20s, [&] { return allLoaded(3); }));
  BOOST_TEST(tornLoads(All) == 0U);
}

BOOST_AUTO_TEST_CASE(AnOrderWithoutAnAnswerMayBeTakenLater) {
  // The same with an engine that stood still for longer than its agent waits
  // for an answer. The agent took the order for failed and staged version 3;
  // the engine woke, and took the order for version 2 with what lay there.
  nameTwoVersions(2600);
  BOOST_TEST(waitFor(20s, [&] { return allLoaded(3); }));
  BOOST_TEST(tornLoads(All) == 0U);
}

BOOST_AUTO_TEST_CASE(ChunksComeWhileTheEngineLoads) {
  // New weights came late at a host and at all that fetch chunks from it. The
  // engine had taken the order for the version before and was busy with it, and
  // until it was done every chunk of the next one waited to be staged.
  All.control("model-0", {{"load_ms", 4000}});
  name(2);
  BOOST_REQUIRE(waitFor(
      20s, [&] { return All.look("model-0").value("version", 0) == 2; }));
  name(3);
  BOOST_TEST(waitFor(3s, [&] {
    const Json Look = All.look("model-0");
    return Look.value("busy", false) && Look.value("staged_of", 0) == 3;
  }));
  BOOST_TEST(waitFor(20s, [&] { return allLoaded(3); }));
  BOOST_TEST(tornLoads(All) == 0U);
}

// Guards against tokens made with weights that a late write had changed between
// the last look and the order.
BOOST_AUTO_TEST_CASE(AWriteWithoutAnAnswerMayBeReadAtTheOrder) {
  leaveAWriteUnread();
  askUntilServed(3);
  BOOST_TEST(tornLoads(All) == 1U); // The write did come in between.
  BOOST_TEST(tornRuns(All, "model-0") == 0U);
}

// Guards against the same where the agent that sent the write was killed.
BOOST_AUTO_TEST_CASE(AWriteOfAnAgentThatWasKilledMayBeReadAtTheOrder) {
  leaveAWriteUnread();
  All.restart("agent-0");
  askUntilServed(3);
  BOOST_TEST(tornLoads(All) == 1U);
  BOOST_TEST(tornRuns(All, "model-0") == 0U);
}

// Guards against the same where another process writes while the order waits,
// as a second agent does when the first one wakes between look and order. The
// version that was loaded wrongly is the one that is wanted.
BOOST_AUTO_TEST_CASE(AnotherProcessMayWriteBeforeTheOrderIsTaken) {
  All.control("model-0", {{"order_wait_ms", 1000}});
  name(2);
  BOOST_REQUIRE(waitFor(20s, [&] {
    return All.look("model-0").value("orders_waiting", 0) == 1;
  }));
  All.control("model-0", {{"spoil", 3}});
  askUntilServed(2);
  BOOST_TEST(tornLoads(All) == 1U);
  BOOST_TEST(tornRuns(All, "model-0") == 0U);
}

// Guards against an agent that completes what its predecessor was loading anew
// and keeps the layers that were wrong.
BOOST_AUTO_TEST_CASE(ALoadThatBrokeOffHalfwayIsDoneAnew) {
  All.control("model-0", {{"halfway", true}});
  const size_t Before = All.look("model-0")["runs"].size();
  BOOST_TEST(waitFor(30s, [&] {
    All.ask(0, writeAsk());
    return All.look("model-0")["runs"].size() > Before;
  }));
  BOOST_TEST(tornRuns(All, "model-0") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(AChunkThatTurnsBadDuringALongLookIsNotLoaded) {
  // Callers got tokens made with damaged weights of a host that was far too
  // slow. Its agent took over four seconds to read the staged chunks back; the
  // first turned bad as soon as it had been read, and the order went out when
  // the last one was found good.
  RoutePlan Plan;
  Plan.ModelWorkers = 1;
  RouteFleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("model-0",
              {{"slow_reads", 14}, {"read_ms", 700}, {"rot_after_read", true}});
  const Json Named = {{"model", "trail"}, {"version", 2}};
  All.store({{"put", {{"op/version/trail", Named.dump()}}}});
  BOOST_TEST(waitFor(
      40s, [&] { return All.look("model-0").value("version", 0) == 2; }));
  BOOST_TEST(tornLoads(All) == 0U);
  BOOST_TEST(!All.look("model-0").value("rot_after_read", true));
}
