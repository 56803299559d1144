/** @file overload_plan.h One large tenant beside four small ones. */

#ifndef JACINTHPOND_BENCH_FLEET_OVERLOAD_PLAN_H
#define JACINTHPOND_BENCH_FLEET_OVERLOAD_PLAN_H

#include "fleet/fleet.h"

namespace jacinthpond::fleet {

/** Name of the tenant that offers most of the load. */
inline const std::string LargeWorkspace = "large";
/** Requests of each small tenant for every hundred offered. */
constexpr size_t SmallPercent = 5;
/** Number of small tenants. */
constexpr size_t SmallWorkspaces = 4;
/** Answers a second that the engines of the plan cannot exceed. */
constexpr double OverloadCapacity = 40;

/**
 * Plans two workers that bear 8 requests of 400 ms each: 40 a second.
 * @return The plan.
 */
inline FleetPlan overloadPlan() {
  FleetPlan Plan;
  Plan.Entries = 4;
  Plan.ModelWorkers = 2;
  Plan.ServiceWorkers = 0;
  Plan.EngineOptions = {{"bears", 8}, {"token_ms", 20}};
  Plan.AgentSettings = {{"warm_limit", 8}, {"queue_limit", 24}};
  return Plan;
}

/**
 * Gives the n-th request: four small tenants send 5 in a hundred each, each
 * below a fifth of the capacity when three times it is offered.
 * @param n Number of the request.
 * @return The request.
 */
inline Ask overloadAsk(size_t n) {
  Ask What;
  const size_t Slot = n % (100 / SmallPercent);
  What.Workspace =
      Slot < SmallWorkspaces ? "small-" + std::to_string(Slot) : LargeWorkspace;
  What.Body = {{"prompt", "report " + std::to_string(n)}, {"max_tokens", 20}};
  return What;
}

} // namespace jacinthpond::fleet

#endif
