/** @file route_faults.cpp Random failures of a fleet that serves routes. */

#include "chaos/route_faults.h"

#include "chaos/route_callers.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace jacinthpond::chaos {

using fleet::Json;
using namespace std::chrono_literals;

namespace {

/** Bounds of how long a failure lasts. */
constexpr int MinFaultMillis = 100;
constexpr int MaxFaultMillis = 4000;
/** Longest pause of a process; longer than any gap that shows a pause. */
constexpr int MaxPauseMillis = 7000;
/** Bounds of failures of the origin; the longer ones go beyond the time for a
 * change of weights, so that workers still have the former ones when nothing
 * may begin on them. */
constexpr int MinOriginMillis = 2000;
constexpr int MaxOriginMillis = 12000;
/** Bounds of the usual time between two failures. */
constexpr int MinPaceMillis = 150;
constexpr int MaxPaceMillis = 3000;
/** Longest graceful end: the routes' timeout, the notice to callers, and room
 * for a busy machine. */
constexpr auto StopLimit = 8s;
constexpr auto StopPoll = 100ms;
constexpr auto ReturnPoll = 100ms;
/** Longest time from the stop signal to the kill, where one follows. */
constexpr int MaxGraceMillis = 600;
/** Time after which the list lets go of a server that vanished. */
constexpr auto LapseTime = 1000ms;
/** Kinds of failures that a run has at least. */
constexpr size_t MinKinds = 4;
/** Bounds of how long a back end limits its rate, and of the time between. */
constexpr int MinLimitMillis = 5000;
constexpr int MaxLimitMillis = 12000;
constexpr int MinLimitPause = 1500;
constexpr int MaxLimitPause = 5000;
/** Limits that they name, as they are sent. */
constexpr std::array<const char *, 3> RateLimits = {"0.5", "2.5", "6"};
/** Bounds of how long a back end sheds all its load, and of the time between.
 */
constexpr int MinShedMillis = 1000;
constexpr int MaxShedMillis = 5000;
constexpr int MinShedPause = 1000;
constexpr int MaxShedPause = 4000;
/** Pauses that it asks for meanwhile, in seconds, as they are sent. */
constexpr std::array<const char *, 3> ShedPauses = {"1", "2.5", "4"};
/** Refusals of a back end that sheds all its load. */
constexpr int ShedAll = 1000000;
/** Bounds of how long a sound server stands still, and of the time between. */
constexpr int MinSilenceMillis = 700;
constexpr int MaxSilenceMillis = 1200;
constexpr int MinSilencePause = 500;
constexpr int MaxSilencePause = 2500;
/** Of so many seeds, those from the second number on have such servers. */
constexpr uint64_t SilenceEvery = 10;
constexpr uint64_t SilenceFrom = 6;
/** Every so many seeds, a run has all kinds. */
constexpr uint64_t AllKindsEvery = 4;
/** Every so many seeds, a run spares no entry. */
constexpr uint64_t SpareNoneEvery = 3;

/** Every so many seeds, back ends crash on some requests. */
constexpr uint64_t CrashingEvery = 4;
/** Time from the begin of such a request to the crash: the fault is noted by
 * then. */
constexpr int CrashMillis = 200;
/** The same for a part of a prompt: sooner than an answer counts as begun. */
constexpr int PartCrashMillis = 100;

std::string zoneOf(const std::string &Zone) { return "zone " + Zone; }

std::vector<std::string> numbered(const std::string &Kind, size_t Count) {
  std::vector<std::string> Names;
  for (size_t n = 0; n < Count; ++n)
    Names.push_back(Kind + std::to_string(n));
  return Names;
}

void append(std::vector<std::string> &To,
            const std::vector<std::string> &From) {
  To.insert(To.end(), From.begin(), From.end());
}

} // namespace

RouteFaults::RouteFaults(fleet::RouteFleet &All, const fleet::RoutePlan &Plan,
                         uint64_t Seed, const std::string &Only,
                         RouteHistory &Into)
    : Fleet(All), History(Into), Random(Seed),
      Entries(numbered("entry-", Plan.Entries)),
      Agents(numbered("agent-", Plan.ModelWorkers)),
      ServerNames(fleet::serverNames(Plan)), Start(Clock::now()), Next(Start),
      RateRandom(~Seed), NextLimit(Start), NoticeRandom(Seed ^ (Seed << 32U)),
      NextShed(Start), SilenceRandom(Seed ^ (~Seed << 32U)),
      NextSilence(Start) {
  append(Links, numbered("link-agent-", Plan.ModelWorkers));
  append(Links, numbered("link-store-", Plan.Entries));
  for (const std::string &Name : ServerNames) {
    Links.push_back("link-" + Name);
    Servers[Name].Id = Name;
  }
  chooseKinds(Seed, Only);
  Pace = between(MinPaceMillis, MaxPaceMillis);
  // An entry that is never disturbed shows the bounds that disturbed ones
  // rarely are calm for long enough to show.
  if (Seed % SpareNoneEvery != 0)
    Entries.erase(Entries.begin() +
                  static_cast<std::ptrdiff_t>(Random() % Entries.size()));
  // A booking may go to a second server where the first did not run it; with
  // one attempt only, no booking could run twice whatever the entry believes.
  Fleet.Config["routes"][1]["max_attempts"] = 2;
  publishRoute(false);
  if (Crashing == CrashAsk::Nothing)
    return;
  for (const std::string &Name : ServerNames)
    All.control(Name,
                {{"crash_on", CrashSign},
                 {"crash_part", {CrashPart}},
                 {"crash_ms",
                  Crashing == CrashAsk::Parts ? PartCrashMillis : CrashMillis},
                 {"crash_link", All.controlAddress("link-" + Name)}});
}

void RouteFaults::chooseKinds(uint64_t Seed, const std::string &Only) {
  static const std::vector<std::pair<std::string, Kind>> Table = {
      {"kill", &RouteFaults::killProcess},
      {"pause", &RouteFaults::pauseProcess},
      {"stop", &RouteFaults::stopProcess},
      {"reload", &RouteFaults::reloadProcess},
      {"pause-server", &RouteFaults::pauseServer},
      {"link", &RouteFaults::faultLink},
      {"store", &RouteFaults::faultStore},
      {"origin", &RouteFaults::faultOrigin},
      {"server", &RouteFaults::faultServer},
      {"version", &RouteFaults::newVersion},
      {"drain", &RouteFaults::drainServer},
      {"lose", &RouteFaults::loseServer},
      {"zone", &RouteFaults::takeZoneOut},
      {"key", &RouteFaults::takeKeyAway},
      {"route", &RouteFaults::takeRouteAway},
      {"unseen", &RouteFaults::changeUnseen}};
  Limiting = Only.empty() || Only.find("rate") != std::string::npos;
  Shedding = Only.empty() || Only.find("shed") != std::string::npos;
  Silencing = Only.empty() ? Seed % SilenceEvery >= SilenceFrom
                           : Only.find("silence") != std::string::npos;
  const auto Wanted = [&](uint64_t Rest, const char *Word) {
    return Only.empty() ? Seed % CrashingEvery == Rest
                        : Only.find(Word) != std::string::npos;
  };
  if (Wanted(2, "crash"))
    Crashing = CrashAsk::Copies;
  else if (Wanted(3, "part"))
    Crashing = CrashAsk::Parts;
  for (const auto &[Name, One] : Table)
    if (Only.empty() ||
        ("," + Only + ",").find("," + Name + ",") != std::string::npos)
      Enabled.push_back(One);
  if (!Only.empty() || Seed % AllKindsEvery == 0)
    return;
  std::ranges::shuffle(Enabled, Random);
  Enabled.resize(MinKinds + Random() % (Enabled.size() - MinKinds));
}

void RouteFaults::note(const std::string &What) {
  const auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - Start);
  Log.push_back(std::to_string(Time.count()) + " ms: " + What);
}

std::chrono::milliseconds RouteFaults::between(int Least, int Most) {
  return std::chrono::milliseconds(
      Least +
      static_cast<int>(Random() % static_cast<uint64_t>(Most - Least + 1)));
}

const std::string &RouteFaults::pick(const std::vector<std::string> &From) {
  return From[Random() % From.size()];
}

const std::string &RouteFaults::pickProcess() {
  return Random() % 3 == 0 || Entries.empty() ? pick(Agents) : pick(Entries);
}

void RouteFaults::step() {
  Failing.runDue();
  if (Limiting && Clock::now() >= NextLimit)
    limitRates();
  if (Shedding && Clock::now() >= NextShed)
    shedLoad();
  if (Silencing && Clock::now() >= NextSilence)
    silenceServer();
  if (Crashing != CrashAsk::Nothing)
    loseCrashed();
  if (Clock::now() < Next || Enabled.empty())
    return;
  Next = Clock::now() + Pace / 2 + between(0, static_cast<int>(Pace.count()));
  (this->*Enabled[Random() % Enabled.size()])();
}

void RouteFaults::restart(const std::string &Name) {
  note("start " + Name);
  try {
    Fleet.restart(Name);
  } catch (const std::runtime_error &Error) {
    Broken.push_back(Name + " did not start: " + Error.what());
  }
  Ending.erase(Name);
  History.Harm.end(Name);
  History.Harm.end(Name + " stop");
}

void RouteFaults::killProcess() {
  const std::string Name = pickProcess();
  if (Failing.isFaulty(Name))
    return;
  ++Injected["kill"];
  note("kill " + Name);
  History.Harm.begin(Name);
  Ending.insert(Name);
  Fleet.process(Name).kill();
  Failing.later(Name, between(MinFaultMillis, MaxFaultMillis),
                [this, Name] { restart(Name); });
}

void RouteFaults::pauseProcess() { pause(pickProcess()); }

void RouteFaults::pause(const std::string &Name) {
  if (Failing.isFaulty(Name))
    return;
  ++Injected["pause"];
  note("pause " + Name);
  History.Harm.begin(Name);
  Fleet.process(Name).signal(SIGSTOP);
  const bool Killed = Random() % 4 == 0;
  Failing.later(Name, between(MinFaultMillis, MaxPauseMillis),
                [this, Name, Killed] {
                  if (Killed) {
                    Ending.insert(Name);
                    return restart(Name);
                  }
                  note("continue " + Name);
                  Fleet.process(Name).signal(SIGCONT);
                  History.Harm.end(Name);
                });
}

void RouteFaults::stopProcess() {
  const std::string Name = pickProcess();
  if (Failing.isFaulty(Name))
    return;
  const bool Killed = Random() % 4 == 0;
  ++Injected[Killed ? "stop and kill" : "stop"];
  note("stop " + Name);
  History.Harm.begin(Name + " stop");
  Ending.insert(Name);
  Fleet.process(Name).signal(SIGTERM);
  if (!Killed)
    return awaitStop(Name, Clock::now() + StopLimit);
  Failing.later(Name, between(0, MaxGraceMillis), [this, Name] {
    History.Harm.begin(Name);
    restart(Name);
  });
}

void RouteFaults::awaitStop(const std::string &Name, Clock::time_point Limit) {
  const auto Code = Fleet.process(Name).waitExit(10ms);
  if (!Code && Clock::now() < Limit)
    return Failing.later(Name, StopPoll,
                         [this, Name, Limit] { awaitStop(Name, Limit); });
  if (Code != 0) {
    note(Name + " ended badly");
    Broken.push_back(Name + " did not end gracefully, code " +
                     (Code ? std::to_string(*Code) : "none"));
  }
  Failing.later(Name, between(MinFaultMillis, MaxFaultMillis),
                [this, Name] { restart(Name); });
}

void RouteFaults::reloadProcess() {
  const std::string Name = pickProcess();
  if (Ending.contains(Name))
    return;
  ++Injected["reload"];
  note("reload " + Name);
  for (int n = 0; n < 3; ++n)
    Fleet.process(Name).signal(SIGHUP);
}

void RouteFaults::pauseServer() {
  const std::string Name = pick(ServerNames);
  if (Failing.isFaulty(Name))
    return;
  ++Injected["pause server"];
  note("pause " + Name);
  History.Harm.begin(Name);
  Fleet.process(Name).signal(SIGSTOP);
  Paused.insert(Name);
  Failing.later(Name, between(MinFaultMillis, MaxFaultMillis), [this, Name] {
    note("continue " + Name);
    Fleet.process(Name).signal(SIGCONT);
    Paused.erase(Name);
    History.Harm.end(Name);
  });
}

void RouteFaults::faultLink() {
  static const std::vector<Json> Kinds = {{{"cut", true}},
                                          {{"reset", true}},
                                          {{"lose", true}},
                                          {{"mode", "freeze"}},
                                          {{"mode", "freeze_up"}},
                                          {{"mode", "freeze_down"}},
                                          {{"mode", "refuse"}, {"cut", true}},
                                          {{"delay_ms", 100}},
                                          {{"bytes_per_second", 20000}}};
  fault(pick(Links), Kinds[Random() % Kinds.size()]);
}

void RouteFaults::fault(const std::string &Name, const Json &What) {
  if (Failing.isFaulty(Name))
    return;
  ++Injected["link"];
  note(Name + " " + What.dump());
  History.Harm.begin(Name);
  Fleet.control(Name, What);
  Failing.later(Name, between(MinFaultMillis, MaxPauseMillis), [this, Name] {
    note(Name + " passes");
    Fleet.control(Name,
                  {{"mode", "pass"}, {"delay_ms", 0}, {"bytes_per_second", 0}});
    History.Harm.end(Name);
  });
}

void RouteFaults::faultStore() {
  static const std::vector<Json> Kinds = {{{"status", 503}},
                                          {{"silent_ms", 600}},
                                          {{"silent_ms", 5000}},
                                          {{"forget", true}}};
  if (Failing.isFaulty("store"))
    return;
  const Json &What = Kinds[Random() % Kinds.size()];
  ++Injected["store"];
  note("store " + What.dump());
  History.Harm.begin("store");
  Fleet.store(What);
  Failing.later("store", between(MinFaultMillis, MaxFaultMillis), [this] {
    note("store serves");
    Fleet.store({{"status", 0}, {"silent_ms", 0}});
    History.Harm.end("store");
  });
}

void RouteFaults::faultOrigin() {
  if (Failing.isFaulty("origin"))
    return;
  ++Injected["origin"];
  note("origin away");
  Fleet.control("origin", {{"status", 503}});
  Failing.later("origin", between(MinOriginMillis, MaxOriginMillis), [this] {
    note("origin serves");
    Fleet.control("origin", {{"status", 0}});
  });
}

void RouteFaults::faultServer() {
  static const std::vector<Json> Kinds = {{{"fail", 4}},
                                          {{"refuse", 6}},
                                          {{"break_at", 4}},
                                          {{"hang", 1}},
                                          {{"no_signature", true}}};
  const std::string Name = pick(ServerNames);
  if (Failing.isFaulty(Name))
    return;
  const Json &What = Kinds[Random() % Kinds.size()];
  ++Injected["server"];
  note(Name + " " + What.dump());
  History.Harm.begin(Name);
  Fleet.control(Name, What);
  Failing.later(Name, between(MinFaultMillis, MaxFaultMillis), [this, Name] {
    note(Name + " behaves");
    Fleet.control(Name, {{"fail", 0},
                         {"refuse", 0},
                         {"break_at", 0},
                         {"hang", 0},
                         {"no_signature", false}});
    History.Harm.end(Name);
  });
}

void RouteFaults::publishVersion() {
  ++Version;
  note("version " + std::to_string(Version));
  const Json Item = {{"model", "trail"}, {"version", Version}};
  Fleet.store({{"put", {{"op/version/trail", Item.dump()}}}});
  History.Versions.push_back({Version, Clock::now()});
}

void RouteFaults::newVersion() {
  if (Failing.isFaulty("version"))
    return;
  ++Injected["version"];
  if (Random() % 2 == 0)
    faultOrigin();
  publishVersion();
  const bool Overtaken = Random() % 3 == 0;
  Failing.later("version", between(MinFaultMillis, MaxFaultMillis),
                [this, Overtaken] {
                  if (Overtaken)
                    publishVersion();
                });
}

void RouteFaults::removeServer(const std::string &Name) {
  const std::string Id = Servers.at(Name).Id;
  note("remove " + Id);
  const auto Sent = Clock::now();
  Fleet.store({{"remove", {"servers/" + Id}}});
  History.Config.change("server " + Id, false, Sent, Clock::now());
  Failing.later("servers", between(MinFaultMillis, MaxFaultMillis),
                [this, Name] { returnServer(Name); });
}

void RouteFaults::returnServer(const std::string &Name) {
  if (Failing.isFaulty(Name)) // It may stand still, and hear nothing.
    return Failing.later("servers", ReturnPoll,
                         [this, Name] { returnServer(Name); });
  Server &One = Servers.at(Name);
  One.Id = Name + "." + std::to_string(++One.Incarnation);
  note("enter " + One.Id);
  Fleet.control(Name, {{"id", One.Id}, {"restart", true}});
  Fleet.control("link-" + Name, {{"mode", "pass"}});
  Fleet.enterServer(Name, One.Id, "ready");
  History.Harm.end(Name);
  History.Harm.end("link-" + Name);
}

void RouteFaults::sayLeaving(const std::string &Name) {
  if (!Shedding || Failing.isFaulty(Name))
    return;
  ++Injected["leaving"];
  note(Name + " says that it is leaving");
  Fleet.control(Name, {{"leaving", "1"}});
}

void RouteFaults::drainServer() {
  if (Failing.isFaulty("servers"))
    return;
  const std::string Name = pick(ServerNames);
  const std::string Id = Servers.at(Name).Id;
  ++Injected["drain"];
  note("drain " + Id);
  sayLeaving(Name);
  // Some servers never tell the list that they drain.
  if (!Shedding || NoticeRandom() % 3 != 0) {
    const auto Sent = Clock::now();
    Fleet.enterServer(Name, Id, "draining");
    History.Config.change("server " + Id, false, Sent, Clock::now());
  }
  Failing.later("servers", between(MinFaultMillis, MaxFaultMillis),
                [this, Name] {
                  History.Harm.begin(Name);
                  removeServer(Name);
                });
}

void RouteFaults::loseServer() {
  const std::string Name = pick(ServerNames);
  if (Failing.isFaulty("servers") || Failing.isFaulty(Name) ||
      Failing.isFaulty("link-" + Name))
    return;
  ++Injected["server lost"];
  note("lose " + Servers.at(Name).Id);
  History.Harm.begin(Name);
  History.Harm.begin("link-" + Name);
  Fleet.control("link-" + Name, {{"mode", "refuse"}, {"reset", true}});
  Failing.later("servers", LapseTime, [this, Name] { removeServer(Name); });
}

/** Notes back ends that crashed; lets the list lose them, and starts them anew.
 */
void RouteFaults::loseCrashed() {
  for (const std::string &Name : ServerNames) {
    if (Paused.contains(Name)) // It would not answer for seconds.
      continue;
    if (!Fleet.hasCrashed(Name)) {
      Crashed.erase(Name);
      continue;
    }
    const auto [it, New] = Crashed.try_emplace(Name, false);
    if (New) {
      ++Injected["crash"];
      note("crash of " + Servers.at(Name).Id);
      History.Harm.begin(Name);
      History.Harm.begin("link-" + Name);
    }
    if (it->second || Failing.isFaulty("servers") || Failing.isFaulty(Name) ||
        Failing.isFaulty("link-" + Name))
      continue;
    it->second = true;
    Failing.later("servers", LapseTime, [this, Name] { removeServer(Name); });
  }
}

void RouteFaults::takeZoneOut() {
  if (Failing.isFaulty("zone"))
    return;
  const std::string Zone = Random() % 2 == 0 ? "z0" : "z1";
  ++Injected["zone"];
  note("out " + Zone);
  const auto Sent = Clock::now();
  Fleet.store({{"put", {{"op/evacuate/" + Zone, "{}"}}}});
  History.Config.change(zoneOf(Zone), false, Sent, Clock::now());
  Failing.later("zone", between(MinFaultMillis, 2 * MaxPauseMillis),
                [this, Zone] {
                  note("in " + Zone);
                  const auto Sent = Clock::now();
                  Fleet.store({{"remove", {"op/evacuate/" + Zone}}});
                  History.Config.change(zoneOf(Zone), true, Sent, Clock::now());
                });
}

void RouteFaults::publishKeys(bool All) {
  note(All ? "key-2 back" : "key-2 away");
  Json Keys = {"key-1"};
  if (All)
    Keys.push_back("key-2");
  Fleet.Config["tenants"][0]["api_keys"] = Keys;
  const auto Sent = Clock::now();
  Fleet.publish();
  History.Config.change("key key-2", All, Sent, Clock::now());
}

void RouteFaults::takeKeyAway() {
  if (Failing.isFaulty("key"))
    return;
  ++Injected["key"];
  publishKeys(false);
  Failing.later("key", between(MinFaultMillis, MaxPauseMillis),
                [this] { publishKeys(true); });
}

void RouteFaults::publishRoute(bool There) {
  note(There ? "route /extra/ there" : "route /extra/ gone");
  Json &Routes = Fleet.Config["routes"];
  if (There) {
    Json Extra = Routes.back(); // The reads.
    Extra["name"] = "extra";
    Extra["prefix"] = "/extra/";
    Routes.push_back(Extra);
  } else if (Routes.back()["name"] == "extra") {
    Routes.erase(Routes.size() - 1);
  }
  const auto Sent = Clock::now();
  Fleet.publish();
  History.Config.change("route extra", There, Sent, Clock::now());
}

void RouteFaults::takeRouteAway() {
  if (Failing.isFaulty("route"))
    return;
  ++Injected["route"];
  publishRoute(true);
  Failing.later("route", between(MinFaultMillis, 2 * MaxPauseMillis),
                [this] { publishRoute(false); });
}

void RouteFaults::changeUnseen() {
  static const std::array<Kind, 6> Changes = {
      &RouteFaults::newVersion,  &RouteFaults::newVersion,
      &RouteFaults::drainServer, &RouteFaults::takeZoneOut,
      &RouteFaults::takeKeyAway, &RouteFaults::takeRouteAway};
  if (Entries.empty())
    return;
  const std::string Name = pick(Entries);
  if (Random() % 3 == 0)
    fault("link-store-" + Name.substr(Name.rfind('-') + 1),
          {{"mode", "freeze"}});
  else
    pause(Name);
  (this->*Changes.at(Random() % Changes.size()))();
}

void RouteFaults::limitRates() {
  const auto Draw = [&](int Least, int Most) {
    return std::chrono::milliseconds(
        Least + static_cast<int>(RateRandom() %
                                 static_cast<uint64_t>(Most - Least + 1)));
  };
  NextLimit = Clock::now() + Draw(MinLimitPause, MaxLimitPause);
  const std::string Name = ServerNames[RateRandom() % ServerNames.size()];
  const std::string Limit = RateLimits.at(RateRandom() % RateLimits.size());
  const auto Length = Draw(MinLimitMillis, MaxLimitMillis);
  if (Failing.isFaulty("rate " + Name))
    return;
  ++Injected["rate limit"];
  note(Name + " takes " + Limit + " a second");
  Fleet.control(Name, {{"rate_limit", Limit}});
  const size_t n = History.Limits.size();
  History.Limits.push_back(
      {Name, std::stod(Limit), Clock::now(), Clock::time_point::max()});
  Failing.later("rate " + Name, Length, [this, Name, n] {
    note(Name + " takes any rate");
    History.Limits.at(n).End = Clock::now();
    Fleet.control(Name, {{"rate_limit", ""}});
  });
}

void RouteFaults::shedLoad() {
  const auto Draw = [&](int Least, int Most) {
    return std::chrono::milliseconds(
        Least + static_cast<int>(NoticeRandom() %
                                 static_cast<uint64_t>(Most - Least + 1)));
  };
  NextShed = Clock::now() + Draw(MinShedPause, MaxShedPause);
  const std::string Name = ServerNames[NoticeRandom() % ServerNames.size()];
  const std::string Pause = ShedPauses.at(NoticeRandom() % ShedPauses.size());
  const auto Length = Draw(MinShedMillis, MaxShedMillis);
  if (Failing.isFaulty(Name) || Failing.isFaulty("shed " + Name))
    return;
  ++Injected["shed"];
  note(Name + " sheds and asks for " + Pause + " s");
  Fleet.control(Name, {{"refuse", ShedAll}, {"retry_after", Pause}});
  Failing.later("shed " + Name, Length, [this, Name] {
    note(Name + " takes requests");
    Fleet.control(Name, {{"refuse", 0}, {"retry_after", ""}});
  });
}

void RouteFaults::silenceServer() {
  const auto Draw = [&](int Least, int Most) {
    return std::chrono::milliseconds(
        Least + static_cast<int>(SilenceRandom() %
                                 static_cast<uint64_t>(Most - Least + 1)));
  };
  NextSilence = Clock::now() + Draw(MinSilencePause, MaxSilencePause);
  const std::string Name = ServerNames[SilenceRandom() % ServerNames.size()];
  const auto Length = Draw(MinSilenceMillis, MaxSilenceMillis);
  if (Failing.isFaulty(Name))
    return;
  ++Injected["silence"];
  note(Name + " is silent for " + std::to_string(Length.count()) + " ms");
  History.Silence.begin(Name);
  Paused.insert(Name);
  fleet::ChildProcess &Process = Fleet.process(Name);
  Process.signal(SIGSTOP);
  // The main thread may wait for another server meanwhile; a longer silence
  // would be a fault.
  Silences[Name] = std::jthread([&Process, Length] {
    std::this_thread::sleep_for(Length);
    Process.signal(SIGCONT);
  });
  Failing.later(Name, Length, [this, Name] {
    Silences.erase(Name);
    note(Name + " goes on");
    Paused.erase(Name);
    History.Silence.end(Name);
  });
}

void RouteFaults::lookForExits() {
  std::vector<std::string> All = Agents;
  append(All, Entries);
  for (const std::string &Name : All) {
    if (Ending.contains(Name))
      continue;
    if (const auto Code = Fleet.process(Name).waitExit(0ms)) {
      note(Name + " ended by itself");
      Broken.push_back(Name + " ended by itself, code " +
                       std::to_string(*Code));
      History.Harm.begin(Name);
      restart(Name);
    }
  }
}

void RouteFaults::healAll() {
  note("heal all");
  if (Crashing != CrashAsk::Nothing)
    for (const std::string &Name : ServerNames)
      Fleet.control(Name,
                    {{"crash_on", ""}, {"crash_part", fleet::Json::array()}});
  Failing.runAll();
  if (Crashing == CrashAsk::Nothing)
    return;
  // Those that crashed while another server was away were left for later.
  for (size_t n = 0; n < ServerNames.size(); ++n) {
    loseCrashed();
    Failing.runAll();
  }
}

} // namespace jacinthpond::chaos
