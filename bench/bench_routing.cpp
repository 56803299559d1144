/** @file bench_routing.cpp Steady load with shared prompt prefixes. */

#include "bench.h"
#include "fleet/open_load.h"

#include <string>

namespace jacinthpond::bench {

namespace {

constexpr std::chrono::seconds Limit{30};
/** Different prompt prefixes; more than one engine caches. */
constexpr size_t Prefixes = 24;
/** Length of a prefix, above what affinity looks at. */
constexpr size_t PrefixBytes = 300;
/** Requests a second: 60 in 100 of what six engines bear without prefill. */
constexpr double Rate = 90;

fleet::FleetPlan planFor(bool Baseline) {
  fleet::FleetPlan Plan;
  Plan.ServiceWorkers = 0;
  Plan.EngineOptions = {{"bears", 8},
                        {"token_ms", 20},
                        {"prefill_ms", 200},
                        {"cache_prefixes", 6}};
  Plan.AgentSettings = {{"warm_limit", 8}};
  if (Baseline)
    Plan.EntrySettings = {{"random_routing", true}};
  return Plan;
}

/** A request whose prefix follows from the seed and its number. */
fleet::Ask prompt(uint64_t Seed, size_t n) {
  const size_t Which = (n * 2654435761U + Seed * 40503U) / 7 % Prefixes;
  const auto Letter = static_cast<char>('a' + static_cast<char>(Which));
  fleet::Ask What;
  What.Body = {
      {"max_tokens", 16},
      {"prompt", std::string(PrefixBytes, Letter) + std::to_string(n)}};
  return What;
}

} // namespace

int benchRouting(const BenchOptions &Options) {
  fleet::Fleet All(planFor(Options.Baseline));
  if (!All.waitServing(Limit))
    return 1;
  const auto Next = [&](size_t n) { return prompt(Options.Seed, n); };
  fleet::offerLoad(All, {Rate / 4, 5, 256, Next}); // Warms all engines.
  const auto Seconds = static_cast<double>(Options.Seconds);
  const auto Offered = fleet::offerLoad(All, {Rate, Seconds, 256, Next});
  std::vector<double> Good;
  for (const fleet::Offered &One : Offered)
    if (One.Status == 200)
      Good.push_back((One.End - One.Begin) * 1000);
  double Hits = 0;
  double Requests = 0;
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n) {
    const Json Engine = All.look("engine-" + std::to_string(n));
    Hits += Engine["prefix_hits"].get<double>();
    Requests += static_cast<double>(Engine["records"].size());
  }
  printRun("routing", Options,
           {{"answered", Good.size()},
            {"refused", Offered.size() - Good.size()},
            {"p50_ms", quantile(Good, 0.5)},
            {"p95_ms", quantile(Good, 0.95)},
            {"p99_ms", quantile(Good, 0.99)},
            {"prefix_hit_share", Hits / Requests}});
  return 0;
}

} // namespace jacinthpond::bench
