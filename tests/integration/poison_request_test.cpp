/** @file poison_request_test.cpp A request that kills what runs it. */
// Labels: quarantine

#include "fleet/steady_callers.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr size_t Entries = 8;
constexpr size_t Workers = 6;

struct PoisonFleet {
  PoisonFleet() : All(plan()) { BOOST_REQUIRE(All.waitServing(30s)); }

  static FleetPlan plan() {
    FleetPlan Plan;
    Plan.Entries = Entries;
    Plan.ModelWorkers = Workers;
    Plan.ServiceWorkers = 0;
    Plan.EngineOptions = {{"poisonable", 1}, {"token_ms", 10}};
    return Plan;
  }

  /** Engines that ended. */
  size_t deaths() {
    size_t Dead = 0;
    for (size_t n = 0; n < Workers; ++n)
      Dead += All.look("engine-" + std::to_string(n)).empty() ? 1 : 0;
    return Dead;
  }

  /** Sends the same fatal request, like a caller that tries again. */
  Answer poison(size_t Entry) const {
    Ask What;
    What.Body = {{"prompt", "poison"}, {"max_tokens", 10}};
    return All.ask(Entry, What);
  }

  /** The last word on it: refused at once, with the time of the refusal. */
  void checkRefused(size_t Entry) const {
    const Json Why = poison(Entry).json();
    BOOST_TEST_INFO(Why.dump());
    BOOST_TEST(Why["error"]["kind"] == "quarantined");
    BOOST_TEST(Why["error"]["ran"] == "no");
    BOOST_TEST(Why["error"].value("retry_after_ms", 0) > 1000);
  }

  /** Logs of all agents, for a failure. */
  std::string logs() const {
    std::string Text;
    for (size_t n = 0; n < Workers; ++n)
      Text += All.logOf("agent-m" + std::to_string(n));
    return Text;
  }

  Fleet All;
};

Ask neighbour(size_t n, size_t i) {
  Ask What;
  What.Body = {{"prompt", std::to_string(n) + "/" + std::to_string(i)},
               {"max_tokens", 10}};
  return What;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Poison, PoisonFleet)

// A caller's request crashes each engine that runs it; the caller sends it
// again through every entry, while others ask for their reports. Without a
// record of what was running at a death, every try would cost an engine.
BOOST_AUTO_TEST_CASE(CostsTwoBackEndsThroughWhicheverEntry) {
  SteadyCallers Neighbours(All, 24, neighbour);
  BOOST_REQUIRE(waitFor(20s, [&] { return Neighbours.Good > 100; }));
  for (size_t n = 0; n < Entries; ++n)
    poison(n);
  for (size_t n = 0; n < Entries; ++n)
    checkRefused(n);
  const size_t Before = Neighbours.Good;
  BOOST_TEST(waitFor(20s, [&] { return Neighbours.Good > Before + 100; }));
  Neighbours.stop();
  BOOST_TEST(deaths() <= 2U);
  BOOST_TEST(Neighbours.Other == 0U);
}

// The first engine has died. Then the same request comes through all entries
// at the same moment: each would try it once more.
BOOST_AUTO_TEST_CASE(CostsTwoBackEndsWhenAllEntriesTryAtOnce) {
  All.askTogether(Entries, [&](size_t n) { return poison(n); });
  for (size_t n = 0; n < Entries; ++n)
    checkRefused(n);
  BOOST_TEST_INFO(logs());
  BOOST_TEST(deaths() <= 2U);
}

// Both deaths are known, and then all entries are replaced by new ones, which
// remember nothing. The caller is still there.
BOOST_AUTO_TEST_CASE(NewEntriesLearnOfIt) {
  poison(0);
  checkRefused(0);
  const size_t Dead = deaths();
  for (size_t n = 0; n < Entries; ++n)
    All.restart("entry-" + std::to_string(n));
  const auto Serving = [&](size_t n) {
    return All.ask(n, neighbour(n, 0)).Status == 200;
  };
  for (size_t n = 0; n < Entries; ++n)
    BOOST_REQUIRE(waitFor(20s, [&] { return Serving(n); }));
  for (size_t n = 0; n < Entries; ++n)
    checkRefused(n);
  BOOST_TEST(deaths() == Dead);
}

// Two engines are restarted by their supplier, one after the other, while all
// callers send the same request. It was running at both deaths and caused
// neither: nobody may be refused for it.
BOOST_AUTO_TEST_CASE(InnocentRequestsAreClearedBetweenTwoDeaths) {
  SteadyCallers Same(All, 16, [](size_t, size_t) { return Ask{}; });
  for (const char *Engine : {"engine-0", "engine-1"}) {
    const size_t Before = Same.Good;
    BOOST_REQUIRE(waitFor(20s, [&] { return Same.Good > Before + 200; }));
    All.restart(Engine);
  }
  const size_t Before = Same.Good;
  BOOST_REQUIRE(waitFor(20s, [&] { return Same.Good > Before + 200; }));
  Same.stop();
  BOOST_TEST(Same.Other == 0U);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(All.ask(n, {}).Status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
