/** @file chunk_slots_test.cpp Each slot of an engine gets its chunk, wherever
 * the same content stands in this version or the one before. */
// Labels: weights platform

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <functional>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr size_t Chunks = 24;

/** Says which chunk of which version a chunk of version 2 is the same as. */
using SameAs = std::function<std::pair<int, size_t>(size_t)>;

/** Two workers whose second version has chunks that repeat or have moved. */
struct Fleet {
  explicit Fleet(const SameAs &Second, Json OriginOptions = Json::object())
      : All(plan(Second, std::move(OriginOptions))) {
    BOOST_REQUIRE(All.waitServing(30s));
    Before = sent();
  }

  static RoutePlan plan(const SameAs &Second, Json OriginOptions) {
    RoutePlan Plan;
    Plan.Chunks = Chunks;
    for (size_t n = 0; n < Chunks; ++n) {
      const auto [Version, Number] = Second(n);
      Plan.SameChunks["2"].push_back({Version, Number});
    }
    Plan.OriginOptions = std::move(OriginOptions);
    return Plan;
  }

  /** Chunks that the origin has sent. */
  int sent() const { return All.look("origin").value("pieces", 0); }

  void publishSecond() {
    const Json Item = {{"model", "trail"}, {"version", 2}};
    All.store({{"put", {{"op/version/trail", Item.dump()}}}});
  }

  bool isSecondLoaded() const {
    return All.look("model-0").value("version", 0) == 2 &&
           All.look("model-1").value("version", 0) == 2;
  }

  /** Every load was from the bytes of its version. */
  bool areLoadsWhole() const {
    for (const char *Name : {"model-0", "model-1"})
      for (const Json &One : All.look(Name)["loads"])
        if (!One["whole"].get<bool>())
          return false;
    return true;
  }

  /** Requires that version 2 is loaded and served soon.
   * @param Most Copies that the origin may send for it. */
  void requireSecond(int Most) {
    BOOST_TEST(waitFor(8s, [&] { return isSecondLoaded(); }));
    BOOST_TEST(areLoadsWhole());
    BOOST_TEST(sent() - Before <= Most);
    BOOST_TEST(
        waitFor(5s, [&] { return All.ask(0, writeAsk()).status == 200; }));
  }

  RouteFleet All;
  int Before = 0;
};

std::pair<int, size_t> distinct(size_t n) { return {2, n}; }

std::pair<int, size_t> moved(size_t n) { return {1, (n + 1) % Chunks}; }

} // namespace

BOOST_AUTO_TEST_SUITE(ChunkSlots)

// Guards against versions that are never loaded: the last two chunks are equal,
// and only the first of them was staged.
BOOST_AUTO_TEST_CASE(TwoEqualChunksAreStagedTwice) {
  Fleet Test([](size_t n) {
    return std::pair<int, size_t>(2, std::min(n, Chunks - 2));
  });
  Test.publishSecond();
  Test.requireSecond(Chunks + Chunks / 5);
}

// Guards against the same where all chunks are equal.
BOOST_AUTO_TEST_CASE(AllEqualChunksAreFetchedOnce) {
  Fleet Test([](size_t) { return std::pair<int, size_t>(2, 0); });
  Test.publishSecond();
  Test.requireSecond(2);
}

// Guards against the same where the chunks of the version before have moved:
// they counted as staged, but under other numbers.
BOOST_AUTO_TEST_CASE(MovedChunksAreNotFetchedAgain) {
  Fleet Test(moved);
  Test.publishSecond();
  Test.requireSecond(0);
}

// Guards against slots that are overwritten while they have the only copy of
// another chunk, and a kill in between that loses it.
BOOST_AUTO_TEST_CASE(MovedChunksAreLoadedAfterAKill) {
  Fleet Test(moved);
  Test.publishSecond();
  // Both versions are partly staged, or the second one wholly.
  BOOST_REQUIRE(waitFor(
      8s, [&] { return Test.All.look("model-0").value("staged_of", 0) != 1; }));
  for (const char *Name : {"agent-0", "agent-1"})
    Test.All.restart(Name);
  BOOST_TEST(waitFor(12s, [&] { return Test.isSecondLoaded(); }));
  BOOST_TEST(Test.areLoadsWhole());
}

// Guards against loads that fail once for each wrong slot, with ever longer
// waits in between: an engine came back without what was staged there.
BOOST_AUTO_TEST_CASE(AnEngineWithoutStagedChunksIsFilledAtOnce) {
  Fleet Test(distinct);
  Test.All.control("model-0", {{"lose_staged", true}, {"restart", true}});
  BOOST_TEST(waitFor(8s, [&] {
    const Json Look = Test.All.look("model-0");
    return Look.value("version", 0) == 1 && Look.value("staged", 0) == Chunks;
  }));
  BOOST_TEST(Test.areLoadsWhole());
}

// Guards against versions that are never loaded, and an origin that is asked
// for their chunks for ever: a list has its digests in upper case.
BOOST_AUTO_TEST_CASE(DigestsInUpperCaseAreTheSameValues) {
  Fleet Test(distinct, {{"upper_digests", true}});
  Test.publishSecond();
  Test.requireSecond(2 * Chunks);
}

// Guards against an origin whose link is filled with a chunk that is wrong
// there.
BOOST_AUTO_TEST_CASE(AChunkThatComesWrongIsAskedForSeldom) {
  Fleet Test(distinct);
  const auto Spoilt = [&] {
    return Test.All.look("origin").value("spoilt", 0);
  };
  Test.All.control("origin", {{"spoils", 5}});
  Test.publishSecond();
  std::this_thread::sleep_for(5s);
  const int Early = Spoilt();
  std::this_thread::sleep_for(4s);
  BOOST_TEST(Early > 0);
  BOOST_TEST(Early <= 20);
  BOOST_TEST(Spoilt() - Early <= 8);
  BOOST_TEST(!Test.isSecondLoaded());
  Test.All.control("origin", Json::object());
  BOOST_TEST(waitFor(8s, [&] { return Test.isSecondLoaded(); }));
  BOOST_TEST(Test.areLoadsWhole());
}

BOOST_AUTO_TEST_SUITE_END()
