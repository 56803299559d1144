/** @file route_soak.cpp Random failures of a fleet that serves routes. */

#include "chaos/route_soak.h"

#include "chaos/route_callers.h"
#include "chaos/route_checks.h"
#include "chaos/route_faults.h"
#include "fleet/route_fleet.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace jacinthpond::chaos {

using fleet::Json;
using namespace std::chrono_literals;

namespace {

constexpr auto ReadyLimit = 30s;
/** Time until everything is served again once the failures are over. */
constexpr auto RecoveryLimit = 12s;
constexpr auto StepPeriod = 25ms;
constexpr auto LookPeriod = 500ms;
/** Time in which work that nobody waits for any more could still begin. */
constexpr auto AfterTime = 1s;
/** Time before each event of a stream, and callers that ask for streams. */
constexpr int GapMillis = 30;
constexpr size_t Writers = 6;
/** The same where streams take all slots; the callers for each worker. */
constexpr int BusyGapMillis = 100;
constexpr size_t BusyWritersEach = 8;
/** Violations that the result repeats; the rest is only counted. */
constexpr size_t MaxShown = 20;

fleet::RoutePlan fleetPlan(const SoakPlan &Wanted) {
  fleet::RoutePlan Plan;
  Plan.Entries = Wanted.Entries;
  Plan.ModelWorkers = Wanted.Models;
  Plan.PlainServers = Wanted.Plains;
  Plan.WeightsChangeMillis = 5000;
  Plan.Proxies = true;
  Plan.WorkerOptions = {{"tell", true},
                        {"events", StreamEvents},
                        {"gap_ms", Wanted.Busy ? BusyGapMillis : GapMillis}};
  return Plan;
}

std::vector<std::string> entryAddresses(const fleet::RouteFleet &All,
                                        size_t Entries) {
  std::vector<std::string> At;
  for (size_t n = 0; n < Entries; ++n)
    At.push_back(All.addressOf(n, "route"));
  return At;
}

/**
 * Notes when this process itself got no processor. Answers that seem late by
 * then may have lain here unread, which no log of an entry could tell.
 */
class StallWatch {
public:
  StallWatch() : Watching([this] { watch(); }) {}
  ~StallWatch() {
    Stop = true;
    Watching.join();
  }
  StallWatch(const StallWatch &) = delete;
  StallWatch &operator=(const StallWatch &) = delete;

  /** Gives the longest stall so far. @return Its length in milliseconds. */
  int64_t longestMillis() const { return Longest; }

private:
  void watch() {
    while (!Stop) {
      const auto Begin = Clock::now();
      std::this_thread::sleep_for(StepPeriod);
      const auto Stalled =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Clock::now() - Begin - StepPeriod);
      Longest = std::max(Longest.load(), int64_t{Stalled.count()});
    }
  }

  std::atomic<bool> Stop{false};
  std::atomic<int64_t> Longest{0};
  std::thread Watching;
};

/** Lets time pass, with failures, while everything is watched. */
void runFaults(RouteFaults &Chaos, RouteChecks &Checks,
               std::chrono::seconds Length) {
  const auto End = Clock::now() + Length;
  auto NextLook = Clock::now();
  while (Clock::now() < End) {
    Chaos.step();
    Chaos.lookForExits();
    if (Clock::now() >= NextLook) {
      Checks.look();
      NextLook = Clock::now() + LookPeriod;
    }
    std::this_thread::sleep_for(StepPeriod);
  }
}

Json resultOf(const SoakPlan &Plan, const RouteFaults &Chaos,
              const RouteChecks &Checks) {
  Json Statuses = Json::object();
  for (const auto &[Status, Count] : Checks.Statuses)
    Statuses[std::to_string(Status)] = Count;
  std::vector<std::string> Broken = Chaos.Broken;
  Broken.insert(Broken.end(), Checks.Broken.begin(), Checks.Broken.end());
  Json Result = {{"routes", Plan.Seed},        {"seconds", Plan.Length.count()},
                 {"injected", Chaos.Injected}, {"statuses", Statuses},
                 {"judged", Checks.Judged},    {"broken", Broken.size()}};
  Broken.resize(std::min(Broken.size(), MaxShown));
  Result["violations"] = Broken;
  return Result;
}

} // namespace

Json soakRoutes(const SoakPlan &Plan) {
  const fleet::RoutePlan Planned = fleetPlan(Plan);
  fleet::RouteFleet All(Planned);
  if (!All.waitServing(ReadyLimit))
    return {{"violations", {"the fleet did not come up"}},
            {"logs", All.keepFolder()}};
  const StallWatch Stalls;
  RouteLedger Seen;
  RouteHistory History;
  RouteChecks Checks(All, Planned, Seen, History);
  RouteFaults Chaos(All, Planned, Plan.Seed, Plan.Only, History);
  {
    const RouteCallers Asking(entryAddresses(All, Plan.Entries), Plan.Seed,
                              Seen, Chaos.crashingRequests(),
                              Plan.Busy ? BusyWritersEach * Plan.Models
                                        : Writers);
    runFaults(Chaos, Checks, Plan.Length);
    Chaos.healAll();
    if (!All.waitServing(RecoveryLimit))
      Checks.Broken.emplace_back("not everything is served again");
    Checks.look();
  }
  std::this_thread::sleep_for(AfterTime);
  Chaos.lookForExits();
  Checks.finish();
  Json Result = resultOf(Plan, Chaos, Checks);
  Result["longest_stall_ms"] = Stalls.longestMillis();
  if (!Result["violations"].empty()) {
    Result["faults"] = Chaos.Log;
    Result["logs"] = All.keepFolder();
  }
  return Result;
}

} // namespace jacinthpond::chaos
