/** @file crash_checks.cpp Whether requests that crash back ends are kept from
 * them. Part of RouteChecks.
 */

#include "chaos/route_checks.h"

#include <algorithm>
#include <set>
#include <vector>

namespace jacinthpond::chaos {

using namespace std::chrono_literals;

namespace {

/** Crashes after which a request, and a part of prompts, is known to cause
 * them. */
constexpr size_t KnownCrashOfCopies = 3;
constexpr size_t KnownCrashOfPart = 5;
/** Time after the last of these runs began at which all entries in touch know:
 * the crash comes 0.2 s after the begin. */
constexpr auto KnownAfter = 700ms;
/** Time for which an entry must not have been disturbed. */
constexpr auto ContactTime = 3s;
/** Arrivals from entries in touch after that, of all entries together. */
constexpr size_t MostLateCopies = 2;
constexpr size_t MostLateOfPart = 3;

} // namespace

void RouteChecks::judgeCrashes() {
  for (const char *Route : {"/write/", "/read/"})
    judgeCrashes(Route + std::string(CrashSign), KnownCrashOfCopies,
                 MostLateCopies);
  judgeCrashes(PartSign, KnownCrashOfPart, MostLateOfPart);
}

void RouteChecks::judgeCrashes(const std::string &Sign, size_t KnownCrash,
                               size_t MostLate) {
  std::set<std::pair<std::string, std::string>> Crashed;
  std::vector<WorkerRun> All;
  for (const auto &[Attempt, Own] : Runs)
    for (const WorkerRun &Run : Own)
      if (Run.Path.find(Sign) != std::string::npos)
        All.push_back(Run);
  std::ranges::sort(All, {}, &WorkerRun::At);
  std::vector<WorkerRun> Late;
  Moment Known = Moment::max();
  for (const WorkerRun &Run : All) {
    Crashed.insert({Run.Worker, Run.Id});
    if (Crashed.size() == KnownCrash && Known == Moment::max())
      Known = Run.At + KnownAfter;
    const auto Asked = exchangeOf(Run.Attempt);
    const auto Calm = Asked ? calmEntry(Asked->Entry, Run.At) : std::nullopt;
    if (Run.At > Known && Calm && *Calm + ContactTime <= Run.At)
      Late.push_back(Run);
  }
  if (Crashed.size() < KnownCrash)
    return;
  ++Judged["crashing requests"];
  if (Late.size() > MostLate)
    broken(std::to_string(Late.size()) + " arrivals of " + Sign + " after " +
           timeOf(Known) +
           ", crashes in all: " + std::to_string(Crashed.size()) + "; first " +
           describe(Late.front()));
}

} // namespace jacinthpond::chaos
