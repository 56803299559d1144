/** @file faults.cpp Random failures of a running fleet, chosen by a seed. */

#include "chaos/faults.h"

#include <csignal>

namespace jacinthpond::chaos {

using fleet::Json;
using namespace std::chrono_literals;

namespace {

/** Bounds of how long a failure lasts. */
constexpr int MinFaultMillis = 200;
constexpr int MaxFaultMillis = 4000;
/** After this a domain taken out may get no new work; the brief's "few
 * seconds" plus the time to read all records. */
constexpr auto SilentAfter = 3500ms;
/** Longest graceful shutdown under test settings. */
constexpr auto StopLimit = 15s;

} // namespace

Faults::Faults(fleet::Fleet &All, uint64_t Seed) : Fleet(All), Random(Seed) {
  for (size_t n = 0; n < All.Plan.Entries; ++n)
    Entries.push_back("entry-" + std::to_string(n));
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n) {
    Engines.push_back("engine-" + std::to_string(n));
    Agents.push_back("agent-m" + std::to_string(n));
    Proxies.push_back("proxy-m" + std::to_string(n));
  }
  for (size_t n = 0; n < All.Plan.ServiceWorkers; ++n) {
    Agents.push_back("agent-s" + std::to_string(n));
    Proxies.push_back("proxy-s" + std::to_string(n));
  }
  Published.insert(All.newModel("v1"));
}

const std::string &Faults::pick(const std::vector<std::string> &From) {
  return From[Random() % From.size()];
}

void Faults::healLater(const std::string &Target,
                       std::function<void()> Action) {
  const auto Length = std::chrono::milliseconds(
      MinFaultMillis +
      static_cast<int>(Random() % (MaxFaultMillis - MinFaultMillis)));
  Failing.later(Target, Length, std::move(Action));
}

void Faults::step() {
  watchDomain();
  Failing.runDue();
  switch (Random() % 12) {
  case 0:
    return killProcess(pick(Agents));
  case 1:
    return killProcess(pick(Entries));
  case 2:
    return pauseProcess(pick(Agents));
  case 3:
    return pauseProcess(pick(Entries));
  case 4:
    return stopProcess(Random() % 2 == 0 ? pick(Agents) : pick(Entries));
  case 5:
  case 6:
    return faultLink(pick(Proxies));
  case 7:
    return faultPlatform();
  case 8:
    return faultEngine(pick(Engines));
  case 9:
    return publishModel();
  case 10:
    return takeDomainOut();
  default:
    return returnDomain();
  }
}

void Faults::killProcess(const std::string &Name) {
  if (isFaulty(Name))
    return;
  ++Injected["kill"];
  Fleet.process(Name).kill();
  healLater(Name, [this, Name] { Fleet.restart(Name); });
}

void Faults::pauseProcess(const std::string &Name) {
  if (isFaulty(Name))
    return;
  ++Injected["pause"];
  Fleet.process(Name).signal(SIGSTOP);
  healLater(Name, [this, Name] { Fleet.process(Name).signal(SIGCONT); });
}

void Faults::stopProcess(const std::string &Name) {
  if (isFaulty(Name))
    return;
  ++Injected["stop"];
  Fleet.process(Name).signal(SIGTERM);
  const auto Code = Fleet.process(Name).waitExit(StopLimit);
  if (Code != 0)
    Violations.push_back("8: " + Name + " did not end gracefully, code " +
                         (Code ? std::to_string(*Code) : "none"));
  healLater(Name, [this, Name] { Fleet.restart(Name); });
}

void Faults::faultLink(const std::string &Name) {
  if (isFaulty(Name))
    return;
  static const std::vector<Json> Kinds = {{{"cut", true}},
                                          {{"lose", true}},
                                          {{"mode", "freeze"}},
                                          {{"mode", "refuse"}, {"cut", true}},
                                          {{"delay_ms", 100}},
                                          {{"corrupt_every", 20}},
                                          {{"bytes_per_second", 20000}}};
  const Json &Kind = Kinds[Random() % Kinds.size()];
  ++Injected["link " + Kind.dump()];
  Fleet.control(Name, Kind);
  healLater(Name, [this, Name] {
    Fleet.control(Name, {{"mode", "pass"},
                         {"delay_ms", 0},
                         {"corrupt_every", 0},
                         {"bytes_per_second", 0}});
  });
}

void Faults::faultPlatform() {
  if (isFaulty("platform"))
    return;
  const std::string Kind = Random() % 2 == 0 ? "down" : "stale";
  ++Injected["platform " + Kind];
  Fleet.control("platform", {{Kind, true}});
  healLater("platform", [this, Kind] {
    Fleet.control("platform", {{Kind, false}});
  });
}

void Faults::faultEngine(const std::string &Name) {
  ++Injected["engine restart"];
  Fleet.control(Name, {{"restart", true}});
}

void Faults::publishModel() {
  if (isFaulty("platform"))
    return;
  ++Injected["publish model"];
  // Now and then back to a version that was published before.
  const int n = Random() % 3 == 0 ? 1 : ++Models;
  Published.insert(Fleet.newModel("v" + std::to_string(n)));
  Fleet.publish();
}

std::map<std::string, size_t>
Faults::recordsOf(const std::string &Domain) const {
  std::map<std::string, size_t> Count;
  for (size_t n = 0; n < Fleet.Plan.ModelWorkers; ++n)
    if (Fleet.domainOf(n) == Domain)
      Count[Engines[n]] = Fleet.look(Engines[n])["records"].size();
  for (size_t n = 0; n < Fleet.Plan.ServiceWorkers; ++n) {
    const std::string Name = "service-" + std::to_string(n);
    if (Fleet.domainOf(n) == Domain)
      Count[Name] = Fleet.look(Name)["records"].size();
  }
  return Count;
}

void Faults::takeDomainOut() {
  // Another one may go out only where two stay in.
  if (isFaulty("platform") || !Out.empty())
    return;
  ++Injected["domain out"];
  const std::string Name = pick(Fleet.Plan.Domains);
  Fleet.Document["domains_out"] = {Name};
  Fleet.publish();
  Out.push_back({Name, Clock::now(), {}});
}

void Faults::watchDomain() {
  for (DomainOut &One : Out) {
    if (Clock::now() < One.Since + SilentAfter)
      continue;
    const auto Now = recordsOf(One.Name);
    if (One.Records.empty())
      One.Records = Now;
    if (One.Records == Now)
      continue;
    Violations.push_back("3: new work in " + One.Name + " that is out");
    One.Records = Now;
  }
}

void Faults::returnDomain() {
  if (isFaulty("platform") || Out.empty())
    return;
  watchDomain();
  ++Injected["domain back"];
  Out.clear();
  Fleet.Document["domains_out"] = Json::array();
  Fleet.publish();
}

void Faults::healAll() {
  Failing.runAll();
  Out.clear();
  Fleet.Document["domains_out"] = Json::array();
  Fleet.publish();
}

} // namespace jacinthpond::chaos
