/** @file cold_engine_test.cpp A back end gets no more work than it bears. */
// Labels: promise-2

#include "cold_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <climits>
#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Callers that each ask once, by turns through all entries. */
std::vector<Answer> ask(const Fleet &All, size_t Callers) {
  return All.askTogether(Callers, [&](size_t n) {
    Ask What;
    What.Body = {{"prompt", "pass " + std::to_string(n)}, {"max_tokens", 10}};
    return All.ask(n % Entries, What);
  });
}

size_t answered(const std::vector<Answer> &All) {
  return static_cast<size_t>(std::ranges::count(All, 200, &Answer::Status));
}

/** Every answer is whole, or a refusal that says when to come back. */
void checkAnswers(const std::vector<Answer> &All) {
  for (const Answer &One : All) {
    if (One.Status == 200)
      continue;
    const Json Why = One.json();
    BOOST_TEST_INFO(One.Body);
    BOOST_TEST(One.Status == 503);
    BOOST_TEST(Why["error"]["ran"] == "no");
    BOOST_TEST(Why["error"].value("retry_after_ms", 0) > 0);
  }
}

} // namespace

// An engine is restarted by its supplier. 50 callers ask at once through all
// 8 entries. It bears 2 requests while its caches are cold, and 16 later: 50
// at once, or a limit that grows too early, would make all of them crawl.
BOOST_AUTO_TEST_CASE(FiftyCallersAtARestartedEngine) {
  Fleet All(planFor(1));
  BOOST_REQUIRE(All.waitServing(30s));
  All.restart("engine-0");
  BOOST_REQUIRE(All.waitServing(30s));
  // Until the next heartbeats, entries still tell of the time before.
  BOOST_REQUIRE(waitFor(30s, [&] { return All.ask(0, {}).Status == 200; }));
  const auto Answers = ask(All, 50);
  checkAnswers(Answers);
  BOOST_TEST(answered(Answers) > 12U);
  BOOST_TEST(All.look("engine-0")["max_running_cold"] <= ColdBears);
  BOOST_TEST(All.look("engine-0")["max_running"] <= 16);
}

// A warm engine loses its caches under full load and says nothing of it. Its
// tokens come ten times as late. Work that goes on being started would keep
// it in that state: only the slow tokens can tell.
BOOST_AUTO_TEST_CASE(WarmEngineTurnsColdWithoutWarning) {
  const TurnedCold Fleet;
  const std::vector<int> Starts = Fleet.state()["cold_overstart_ms"];
  BOOST_TEST_MESSAGE("starts, in ms after the engine turned: " << Json(Starts));
  const auto StartsIn = [&](int From, int To) {
    return std::ranges::count_if(
        Starts, [&](int Millis) { return Millis >= From && Millis < To; });
  };
  // Answers whose last token the engine was at when it turned still end in
  // time, all 16 of them if they keep step. What takes their places begins
  // while no token is late. Before a slow token's time has passed no other
  // answer can end.
  constexpr int SlowToken = TokenMillis * CollapseFactor;
  BOOST_TEST(StartsIn(0, SlowToken) <= WarmBears);
  BOOST_TEST(Fleet.state()["max_running"] <= WarmBears);
  // Then nothing begins until those under way have ended, and until eight more,
  // of ten tokens each and two at a time, are completed after them.
  constexpr int FirstTry = SlowToken + 8 / ColdBears * 10 * TokenMillis;
  BOOST_TEST(StartsIn(SlowToken, FirstTry) == 0);
  // Later starts may only be two tries of the agent whether the engine bears
  // twice as much, and one more in each, in the place of an answer that was at
  // its last token. The engine is warm before there is work for a third try.
  BOOST_TEST(StartsIn(FirstTry, INT_MAX) <= 2 * (ColdBears + 1));
  BOOST_TEST(Fleet.Other == 0U);
}

// An agent is killed and started again while its engine goes on with the
// requests that the old one had given it. The new agent knows none of them:
// work that it starts comes on top.
BOOST_AUTO_TEST_CASE(RestartedAgentCountsWhatItsEngineRuns) {
  Fleet All(planFor(1));
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("engine-0", {{"warm_after", 0}, {"run_on", 1}});
  BOOST_REQUIRE(answered(ask(All, 2)) == 2U);
  {
    std::vector<std::thread> Lost;
    for (size_t n = 0; n < 2; ++n)
      Lost.emplace_back([&, n] {
        Ask Long;
        Long.DeadlineMillis = 1500;
        Long.Body = {{"prompt", n}, {"max_tokens", 300}};
        All.ask(n, Long);
      });
    waitFor(10s, [&] { return All.look("engine-0")["running"] == 2; });
    All.restart("agent-m0");
    All.control("engine-0", {{"reset_max", true}});
    for (std::thread &One : Lost)
      One.join();
  }
  BOOST_REQUIRE(All.waitServing(30s));
  ask(All, 8);
  BOOST_TEST(All.look("engine-0")["max_running"] <= ColdBears);
}

// All entries are replaced at once under load. New ones know no load and no
// affinity; if they all chose alike, one worker would get everything.
BOOST_AUTO_TEST_CASE(AllEntriesRestartedAtOnce) {
  Fleet All(planFor(3));
  BOOST_REQUIRE(All.waitServing(30s));
  for (size_t n = 0; n < Entries; ++n)
    All.restart("entry-" + std::to_string(n));
  SteadyCallers Load(All, 50, hutReport);
  BOOST_REQUIRE(waitFor(20s, [&] { return Load.Good > 200; }));
  Load.stop();
  for (size_t n = 0; n < 3; ++n) {
    const Json State = All.look("engine-" + std::to_string(n));
    BOOST_TEST(State["max_running_cold"] <= ColdBears);
    BOOST_TEST(State["max_running"] <= 16);
    BOOST_TEST(State["completed"] > 20);
  }
}

// A whole domain returns with cold engines while the others are under load.
// It must not be stampeded, and nobody may be failed because of it.
BOOST_AUTO_TEST_CASE(WholeDomainReturns) {
  Fleet All(planFor(4));
  BOOST_REQUIRE(All.waitServing(30s));
  SteadyCallers Load(All, 24, hutReport);
  All.Document["domains_out"] = {All.domainOf(0)};
  All.publish();
  BOOST_REQUIRE(waitFor(20s, [&] {
    return All.look("engine-0")["running"] == 0 &&
           All.look("engine-3")["running"] == 0;
  }));
  All.restart("engine-0");
  All.restart("engine-3");
  All.Document["domains_out"] = Json::array();
  All.publish();
  BOOST_REQUIRE(waitFor(25s, [&] {
    return All.look("engine-0")["completed"] > 30 &&
           All.look("engine-3")["completed"] > 30;
  }));
  Load.stop();
  for (const char *Engine : {"engine-0", "engine-3"})
    BOOST_TEST(All.look(Engine)["max_running_cold"] <= ColdBears);
  BOOST_TEST(Load.Other == 0U);
}
