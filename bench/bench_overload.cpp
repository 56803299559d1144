/** @file bench_overload.cpp Three times the capacity is offered. */

#include "bench.h"
#include "fleet/open_load.h"
#include "fleet/overload_plan.h"
#include "fleet/steady_callers.h"

#include <thread>

namespace jacinthpond::bench {

namespace {

constexpr std::chrono::seconds Limit{30};
/** Whole answers after which all workers are warm. */
constexpr size_t WarmAnswers = 60;
/** Times the capacity that is offered. */
constexpr double Factor = 3;

/** Latencies in milliseconds of answers or of refusals. */
std::vector<double> latencies(const std::vector<fleet::Offered> &All,
                              bool Good) {
  std::vector<double> Found;
  for (const fleet::Offered &One : All)
    if ((One.Status == 200) == Good)
      Found.push_back((One.End - One.Begin) * 1000);
  return Found;
}

} // namespace

int benchOverload(const BenchOptions &Options) {
  fleet::FleetPlan Plan = fleet::overloadPlan();
  if (Options.Baseline) {
    Plan.EntrySettings = {{"random_routing", true}};
    Plan.AgentSettings["fifo_queue"] = true;
    Plan.AgentSettings["cold_limit"] = Plan.AgentSettings["warm_limit"];
  }
  fleet::Fleet All(Plan);
  if (!All.waitServing(Limit))
    return 1;
  {
    fleet::SteadyCallers Warming(All, 24, [](size_t n, size_t i) {
      return fleet::overloadAsk(n * 37 + i);
    });
    if (!fleet::waitFor(Limit, [&] { return Warming.Good >= WarmAnswers; }))
      return 1;
  }
  const double Retries = All.entryCounter("jacinthpond_retries_total");
  const auto Seconds = static_cast<double>(Options.Seconds);
  const auto Offered = fleet::offerLoad(
      All, {Factor * fleet::OverloadCapacity, Seconds, 256,
            [&](size_t n) { return fleet::overloadAsk(n + Options.Seed); }});
  size_t NoTime = 0;
  for (const fleet::Offered &One : Offered)
    NoTime += One.Status != 200 && One.RetryAfter == 0 ? 1 : 0;
  const double Tried = All.entryCounter("jacinthpond_retries_total") - Retries;
  const auto Refusals = latencies(Offered, false);
  printRun(
      "overload", Options,
      {{"capacity", fleet::OverloadCapacity},
       {"goodput", fleet::goodput(Offered, 1, Seconds)},
       {"small_answered",
        fleet::answeredShare(Offered, fleet::LargeWorkspace, false)},
       {"large_answered",
        fleet::answeredShare(Offered, fleet::LargeWorkspace, true)},
       {"answer_p95_ms", quantile(latencies(Offered, true), 0.95)},
       {"refusal_p50_ms", quantile(Refusals, 0.5)},
       {"refusal_p99_ms", quantile(Refusals, 0.99)},
       {"refused_without_time", NoTime},
       {"retries_per_request", Tried / static_cast<double>(Offered.size())}});
  return 0;
}

} // namespace jacinthpond::bench
