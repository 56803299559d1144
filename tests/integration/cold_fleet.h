/** @file cold_fleet.h Engines that bear little while their caches are cold. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_COLD_FLEET_H
#define JACINTHPOND_TESTS_INTEGRATION_COLD_FLEET_H

#include "fleet/steady_callers.h"

#include <boost/test/unit_test.hpp>

namespace jacinthpond::fleet {

/** Entries before the engines. */
constexpr size_t Entries = 8;
/** Requests that a cold engine bears at a time. */
constexpr int ColdBears = 2;
/** Requests that a warm engine bears at a time. */
constexpr int WarmBears = 16;
/** Time of a token of an engine that gets no more than it bears. */
constexpr int TokenMillis = 10;
/** How many times as long a token takes with more than that. */
constexpr int CollapseFactor = 10;

inline FleetPlan planFor(size_t Workers) {
  FleetPlan Plan;
  Plan.Entries = Entries;
  Plan.ModelWorkers = Workers;
  Plan.ServiceWorkers = 0;
  Plan.EngineOptions = {{"cold_bears", ColdBears},
                        {"warm_after", 12},
                        {"bears", WarmBears},
                        {"collapse_factor", CollapseFactor},
                        {"token_ms", TokenMillis}};
  return Plan;
}

inline Ask hutReport(size_t n, size_t i) {
  Ask What;
  What.Body = {{"prompt", "hut " + std::to_string(n + i)}, {"max_tokens", 10}};
  return What;
}

/** Keeps a worker busy until it runs as much as a warm one may. */
inline bool warmUp(const Fleet &All, const std::string &Engine, int Running) {
  return waitFor(std::chrono::seconds{20},
                 [&] { return All.look(Engine)["running"] >= Running; });
}

/** An engine that lost its caches under full load, and said nothing of it,
 * until it had completed 40 requests more. */
struct TurnedCold {
  TurnedCold() : All(planFor(1)) {
    using std::chrono::seconds;
    BOOST_REQUIRE(All.waitServing(seconds{30}));
    SteadyCallers Load(All, 24, hutReport);
    BOOST_REQUIRE(warmUp(All, "engine-0", 15));
    const size_t Before = Load.Good;
    BOOST_REQUIRE(
        waitFor(seconds{20}, [&] { return Load.Good > Before + 100; }));
    All.control("engine-0",
                {{"cold", true}, {"hide_cold", 1}, {"warm_after", 40}});
    BOOST_REQUIRE(
        waitFor(seconds{20}, [&] { return state()["completed"] >= 40; }));
    Load.stop();
    Other = Load.Other;
  }

  Json state() const { return All.look("engine-0"); }

  Fleet All;
  size_t Other = 0; ///< Answers that were neither whole nor refusals.
};

} // namespace jacinthpond::fleet

#endif
