/** @file chaos.cpp Program jp-chaos: random failures against all promises.
 *
 * With --routes, the fleet serves the routes of the users' platform; else:
 *
 * Callers ask without pause while processes are killed, paused and stopped,
 * links cut, lost, frozen and corrupted, the platform is down or stale, and
 * models and domains are published. Afterwards everything is healed and the
 * records of the stand-ins are compared with what callers were told. Prints
 * one JSON line; exit code 1 when a promise was broken.
 */

#include "chaos/callers.h"
#include "chaos/checks.h"
#include "chaos/faults.h"
#include "chaos/route_soak.h"

#include <popt.h>

#include <csignal>
#include <iostream>
#include <memory>

namespace jacinthpond::chaos {

using fleet::Json;
using namespace std::chrono_literals;

namespace {

constexpr auto ReadyLimit = 30s;
/** Time between two failures. */
constexpr auto StepPeriod = 400ms;
/** Violations that the line repeats; the rest is only counted. */
constexpr size_t MaxShown = 20;

fleet::FleetPlan makePlan() {
  fleet::FleetPlan Plan;
  Plan.Entries = 4;
  Plan.ModelWorkers = 6;
  Plan.ServiceWorkers = 3;
  Plan.ProxyAgents = true;
  Plan.EngineOptions = {{"warm_after", 6}, {"cold_bears", 2}, {"bears", 16}};
  Plan.ServiceOptions = {{"call_ms", 10}};
  Plan.EntrySettings = {{"link_silence_ms", 1500}, {"cut_off_ms", 2000}};
  Plan.AgentSettings = {{"link_silence_ms", 1500}, {"cut_off_ms", 2000}};
  return Plan;
}

std::vector<std::string> entryAddresses(const fleet::Fleet &All) {
  std::vector<std::string> At;
  for (size_t n = 0; n < All.Plan.Entries; ++n)
    At.push_back(All.address("entry-" + std::to_string(n), "callers"));
  return At;
}

void runFaults(fleet::Fleet &All, Faults &Chaos, std::chrono::seconds Length) {
  VersionWatch Versions;
  const auto End = Clock::now() + Length;
  while (Clock::now() < End) {
    Chaos.step();
    for (const std::string &Line : Versions.look(All))
      Chaos.Violations.push_back(Line);
    std::this_thread::sleep_for(StepPeriod);
  }
  Chaos.healAll();
}

Json summary(const Ledger &Seen) {
  const auto Count = [](const auto &All, Told What) {
    return std::ranges::count_if(
        All, [&](const auto &Row) { return Row.second == What; });
  };
  return {{"requests", Seen.Requests},
          {"model_answers", Seen.Answers.size()},
          {"calls", Seen.Calls.size()},
          {"calls_answered", Count(Seen.Calls, Told::Answered)},
          {"bookings", Seen.Bookings.size()},
          {"bookings_answered", Count(Seen.Bookings, Told::Answered)},
          {"bookings_unknown", Count(Seen.Bookings, Told::Unknown)},
          {"unknown_share",
           static_cast<double>(Seen.UnknownAnswers) /
               static_cast<double>(std::max<uint64_t>(Seen.Requests, 1))},
          {"errors", Seen.Errors}};
}

int run(uint64_t Seed, std::chrono::seconds Length) {
  fleet::Fleet All(makePlan());
  if (!All.waitServing(ReadyLimit)) {
    std::cerr << "the fleet did not come up\n";
    return 1;
  }
  Ledger Seen;
  Faults Chaos(All, Seed);
  {
    const Callers Asking(entryAddresses(All), Seed, Seen);
    runFaults(All, Chaos, Length);
  }
  std::vector<std::string> Broken = Chaos.Violations;
  if (!All.waitServing(ReadyLimit))
    Broken.emplace_back("0: the healed fleet does not serve again");
  for (const std::string &Line : checkPromises(All, Seen, Chaos.Published))
    Broken.push_back(Line);
  Json Line = {{"chaos", Seed},
               {"seconds", Length.count()},
               {"faults", Chaos.Injected},
               {"seen", summary(Seen)},
               {"broken", Broken.size()}};
  Broken.resize(std::min(Broken.size(), MaxShown));
  Line["violations"] = Broken;
  std::cout << Line.dump() << std::endl;
  return Broken.empty() ? 0 : 1;
}

int runRoutes(const SoakPlan &Plan) {
  const Json Result = soakRoutes(Plan);
  const bool Held = Result["violations"].empty();
  std::cout << Result.dump(Held ? -1 : 1) << std::endl;
  return Held ? 0 : 1;
}

int parseAndRun(int Count, const char **Arguments) {
  long long Seed = 1;
  int Seconds = 20;
  int Minutes = 0;
  int Routes = 0;
  int Entries = 3;
  int Servers = 3;
  int Busy = 0;
  const char *Only = nullptr;
  const std::vector<poptOption> Options = {
      {"seed", 0, POPT_ARG_LONGLONG, &Seed, 0, "Seed of all choices", "N"},
      {"seconds", 0, POPT_ARG_INT, &Seconds, 0, "Length of the run", "N"},
      {"minutes", 0, POPT_ARG_INT, &Minutes, 0, "Length of the run", "M"},
      {"routes", 0, POPT_ARG_NONE, &Routes, 0, "Serve routes", nullptr},
      {"entries", 0, POPT_ARG_INT, &Entries, 0, "Entries, with routes", "N"},
      {"servers", 0, POPT_ARG_INT, &Servers, 0,
       "Model workers, and as many plain back ends, with routes", "N"},
      {"busy", 0, POPT_ARG_NONE, &Busy, 0,
       "Streams take all slots, with routes", nullptr},
      {"only", 0, POPT_ARG_STRING, &Only, 0, "Kinds of failures, with routes",
       "NAMES"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("jp-chaos", Count, Arguments, Options.data(), 0),
      poptFreeContext);
  const int rc = poptGetNextOpt(Context.get());
  if (rc < -1 || poptPeekArg(Context.get()) != nullptr || Entries < 1 ||
      Servers < 1) {
    std::cerr << "jp-chaos: not understood; see --help\n";
    return 2;
  }
  const auto Length = Minutes > 0 ? std::chrono::minutes(Minutes)
                                  : std::chrono::seconds(Seconds);
  if (Routes != 0)
    return runRoutes(
        {static_cast<uint64_t>(Seed), Length, static_cast<size_t>(Entries),
         static_cast<size_t>(Servers), static_cast<size_t>(Servers),
         Only == nullptr ? "" : Only, Busy != 0});
  return run(static_cast<uint64_t>(Seed), Length);
}

} // namespace

} // namespace jacinthpond::chaos

int main(int Count, char **Arguments) {
  // Processes are killed while they are being written to.
  std::signal(SIGPIPE, SIG_IGN);
  return jacinthpond::chaos::parseAndRun(Count,
                                         const_cast<const char **>(Arguments));
}
