/** @file bench_coldstart.cpp An engine restarts while others are loaded. */

#include "bench.h"
#include "fleet/open_load.h"

#include <string>
#include <thread>

namespace jacinthpond::bench {

namespace {

constexpr std::chrono::seconds Limit{30};
/** Requests a second: half of what four warm engines bear. */
constexpr double Rate = 80;
/** Entries that the requests come through. */
constexpr size_t Entries = 8;

fleet::FleetPlan planFor(bool Baseline) {
  fleet::FleetPlan Plan;
  Plan.Entries = Entries;
  Plan.ModelWorkers = 4;
  Plan.ServiceWorkers = 0;
  Plan.EngineOptions = {
      {"bears", 8}, {"cold_bears", 2}, {"warm_after", 20}, {"token_ms", 20}};
  Plan.AgentSettings = {{"warm_limit", 8}};
  if (Baseline) {
    Plan.EntrySettings = {{"random_routing", true}};
    Plan.AgentSettings["cold_limit"] = 8;
  }
  return Plan;
}

fleet::Ask report(size_t n) {
  fleet::Ask What;
  What.Body = {{"prompt", "pass " + std::to_string(n)}, {"max_tokens", 10}};
  return What;
}

/** Latencies of requests sent in a part of the run, and how many failed. */
Json phase(const std::vector<fleet::Offered> &All, double From, double Until) {
  std::vector<double> Good;
  size_t Bad = 0;
  for (const fleet::Offered &One : All) {
    if (One.Begin < From || One.Begin >= Until)
      continue;
    if (One.Status == 200)
      Good.push_back((One.End - One.Begin) * 1000);
    else
      ++Bad;
  }
  return {{"p50_ms", quantile(Good, 0.5)},
          {"p95_ms", quantile(Good, 0.95)},
          {"answered", Good.size()},
          {"refused", Bad}};
}

} // namespace

int benchColdstart(const BenchOptions &Options) {
  fleet::Fleet All(planFor(Options.Baseline));
  if (!All.waitServing(Limit))
    return 1;
  const auto Seconds = static_cast<double>(Options.Seconds);
  const auto Next = [&](size_t n) { return report(n + Options.Seed); };
  fleet::offerLoad(All, {Rate / 4, 6, 256, Next}); // Warms all engines.
  std::vector<fleet::Offered> Offered;
  std::thread Load([&] {
    Offered = fleet::offerLoad(All, {Rate, Seconds, 256, Next});
  });
  const double Restart = Seconds / 3;
  std::this_thread::sleep_for(std::chrono::duration<double>(Restart));
  All.restart("engine-0");
  Load.join();
  const Json Engine = All.look("engine-0");
  printRun("coldstart", Options,
           {{"before", phase(Offered, 1, Restart)},
            {"after", phase(Offered, Restart, Seconds)},
            {"cold_bears", 2},
            {"max_running_cold", Engine["max_running_cold"]},
            {"cold_overstarts", Engine["cold_overstarts"]},
            {"completed_by_restarted", Engine["completed"]}});
  return 0;
}

} // namespace jacinthpond::bench
