/** @file route_model.h Requests on routes through a whole fleet in one thread.
 *
 * Entries with their server pools and agents run as their shells run them; the
 * store, the workers, the network and the callers are simulated, and the clock
 * is moved from event to event. What the workers see is held against the rules;
 * the product's own beliefs are not asked. How a request goes from try to try
 * is written after forward/exchange.cpp, which needs sockets.
 */

#ifndef JACINTHPOND_TESTS_UNIT_ROUTE_MODEL_H
#define JACINTHPOND_TESTS_UNIT_ROUTE_MODEL_H

#include "route_model_type.h"

#include "admission/part_history_func.h"
#include "admission/quarantine_func.h"
#include "attempts/agent_func.h"
#include "attempts/entry_func.h"
#include "base/hash_func.h"
#include "base/overloaded.h"
#include "base/random_func.h"
#include "configuration/config_view_func.h"
#include "configuration/document_func.h"
#include "configuration/reader_rank_func.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/crash_watch_func.h"
#include "forwarding/fleet_snapshot_func.h"
#include "forwarding/liveness_func.h"
#include "forwarding/no_server_func.h"
#include "forwarding/place_search_func.h"
#include "forwarding/rate_share_func.h"
#include "forwarding/repeat_budget_func.h"
#include "forwarding/route_match_func.h"
#include "forwarding/server_notice_func.h"
#include "forwarding/server_pool_func.h"
#include "platform/store_document.h"
#include "settings/settings_func.h"
#include "weights/transfer_func.h"
#include "weights/weights_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jacinthpond::model {

/** The fleet and its surroundings. */
struct Fleet {
  // ---- Time and chance ------------------------------------------------------
  /**
   * @param Seed Draws delays and requests.
   * @param Slots That each worker says it has.
   */
  explicit Fleet(uint64_t Seed, uint32_t Slots) : Seed(Seed), Slots(Slots) {
    addEntry("e0", "z0", 10);
    addEntry("e1", "z1", 11);
    addEntry("e2", "z0", 12);
    addEntry("e3", "z0", 13);
    for (int n = 0; n < 4; ++n)
      addServer("w" + std::to_string(n), n % 2 == 0 ? "z0" : "z1", 20 + n,
                true);
    for (int n = 0; n < 2; ++n)
      addServer("p" + std::to_string(n), n % 2 == 0 ? "z0" : "z1", 40 + n,
                false);
    NamedAt.push_back(Begin);
    writeConfig(true);
    for (auto &[Name, One] : Servers)
      startServer(One, 1);
    for (auto &[Name, One] : Processes)
      start(One);
    ask(0);
  }

  /**
   * Draws a number. It depends on the purpose and the time alone, so that a
   * schedule from which an incident is dropped goes on much as before.
   */
  uint64_t draw(std::string_view What, uint64_t Bound) const {
    uint64_t State =
        checksum64(What) ^ (Seed * 0x9e3779b97f4a7c15ULL) ^
        (static_cast<uint64_t>(toMillis(Now.time_since_epoch()).count())
         << 20U);
    State |= State == 0 ? 1U : 0U;
    for (int n = 0; n < 3; ++n)
      nextRandom(State);
    return (State * 0x2545f4914f6cdd1dULL >> 32U) % Bound;
  }

  Millis delay(std::string_view What, int Least, int Most) const {
    const auto Bound = static_cast<uint64_t>(Most) + 1;
    return Millis(Least) +
           Millis(draw(What, Bound - static_cast<uint64_t>(Least)));
  }

  void at(TimePoint When, std::function<void()> Work) {
    Agenda.push_back({std::max(When, Now), ++Steps, std::move(Work)});
    std::ranges::push_heap(Agenda, std::greater<>{});
  }

  void after(Millis Wait, std::function<void()> Work) {
    at(Now + Wait, std::move(Work));
  }

  /** Runs a step of a process; one that stands still does it on waking, in any
   * order with what else waits. */
  void in(Process &One, Millis Wait, std::function<void()> Work) {
    after(Wait, [this, &One, Life = One.Life, Work = std::move(Work)] {
      resume(One, Life, Work);
    });
  }

  void resume(Process &One, uint64_t Life, const std::function<void()> &Work) {
    if (!One.Alive || One.Life != Life)
      return;
    if (Now >= One.StillUntil) {
      Work();
      return;
    }
    const Millis Late = delay(One.Name + "/wake", 0, 40);
    at(One.StillUntil + Late,
       [this, &One, Life, Work] { resume(One, Life, Work); });
  }

  /** Lets time pass, until a rule is broken. */
  void pass(Millis Length) {
    const TimePoint End = Now + Length;
    while (!Agenda.empty() && Agenda.front().At <= End && !Fault) {
      std::ranges::pop_heap(Agenda, std::greater<>{});
      const Step Next = std::move(Agenda.back());
      Agenda.pop_back();
      Now = Next.At;
      Next.Work();
    }
    if (!Fault)
      Now = End;
  }

  void breakRule(const std::string &Rule, const std::string &Text) {
    if (!Fault)
      Fault = Broken{sinceBegin(Now), Rule, Text};
  }

  Millis sinceBegin(TimePoint When) const { return toMillis(When - Begin); }

  // ---- Disturbances ---------------------------------------------------------
  static std::string pairOf(const std::string &A, const std::string &B) {
    return std::min(A, B) + "-" + std::max(A, B);
  }

  bool isCut(const std::string &A, const std::string &B) const {
    const auto it = CutUntil.find(pairOf(A, B));
    return it != CutUntil.end() && Now < it->second;
  }

  /** Until when nothing gets through; the past when all does. */
  TimePoint heldUntil(const std::string &A, const std::string &B) const {
    const auto it = HeldUntil.find(pairOf(A, B));
    return it == HeldUntil.end() ? TimePoint{} : it->second;
  }

  bool storeAway(const std::string &Who) const {
    const auto it = AwayUntil.find(Who);
    return Now < StoreBack || (it != AwayUntil.end() && Now < it->second);
  }

  void disturb(const std::string &Name, TimePoint Until) {
    if (const auto it = Processes.find(Name); it != Processes.end())
      it->second.CalmSince = std::max(it->second.CalmSince, Until);
  }

  /** Says whether a process has run, and been linked, for long enough. */
  bool isCalm(const Process &One, TimePoint When) const {
    return One.Alive && When - One.CalmSince >= Contact;
  }

  /** Since when neither store nor links were disturbed. */
  TimePoint quietSince() const {
    return std::max(LinksQuiet, StoreBack + Contact);
  }

  void happen(const Incident &One) {
    const TimePoint End = Now + One.Length;
    switch (One.Kind) {
    case Trouble::StandStill:
      standStill(One.Who, End);
      return;
    case Trouble::HostStill:
      standStill(One.Who, End);
      Servers.at(One.Who).StillUntil =
          std::max(Servers.at(One.Who).StillUntil, End);
      unsound(Servers.at(One.Who), End);
      return;
    case Trouble::Restart:
      stop(Processes.at(One.Who));
      disturb(One.Who, End);
      at(End, [this, One] { start(Processes.at(One.Who)); });
      return;
    case Trouble::CutLink:
      CutUntil[pairOf(One.Who, One.Other)] = End;
      CutAt[pairOf(One.Who, One.Other)] = Now;
      breakWires(One.Who, One.Other);
      linkDisturbed(One, End);
      return;
    case Trouble::HoldLink:
      HeldUntil[pairOf(One.Who, One.Other)] = End;
      linkDisturbed(One, End);
      return;
    case Trouble::StoreAway:
      StoreBack = std::max(StoreBack, End);
      if (One.Length < SeenAway || Now < ShortAway + Contact)
        ShortAway = std::max(ShortAway, End);
      at(StoreBack, [this] { lapse(); });
      return;
    case Trouble::StoreAwayFor:
      AwayUntil[One.Who] = End;
      disturb(One.Who, End);
      // A server whose entry lapses while it runs is gone for all others.
      if (const auto it = Servers.find(One.Who); it != Servers.end())
        unsound(it->second, End);
      else
        LinksQuiet = std::max(LinksQuiet, End);
      return;
    case Trouble::NewWeights:
      nameWeights();
      return;
    case Trouble::Drain:
      drain(Servers.at(One.Who), One.Length);
      return;
    case Trouble::WorkerEnds:
      endServer(Servers.at(One.Who));
      at(End, [this, One] { startServer(Servers.at(One.Who), 0); });
      return;
    case Trouble::DomainOut:
      domainOut(One);
      return;
    case Trouble::KeyGone:
      keyGone(One);
      return;
    case Trouble::RateLimit:
      limitRate(Servers.at(One.Who), One.PerSecond, One.Length);
      return;
    case Trouble::Shed:
      shed(Servers.at(One.Who), One.Pause, One.Length);
      return;
    case Trouble::Leaves:
      leave(Servers.at(One.Who), One.Length);
      return;
    case Trouble::Fatal:
    case Trouble::FatalPart:
      sendFatal(One.Who, End, One.Kind == Trouble::FatalPart);
      return;
    case Trouble::Silence:
      // Silences that follow each other at once would make its entry lapse.
      if (Now >= Servers.at(One.Who).StillUntil)
        Servers.at(One.Who).StillUntil = End;
      return;
    case Trouble::Count:
      return;
    }
  }

  void shed(Server &One, Millis Pause, Millis Length) {
    One.Pause = Pause;
    unsound(One, Now + Length + Pause);
    after(Length, [&One, Life = One.Life] {
      if (One.Life == Life)
        One.Pause = Millis(0);
    });
  }

  void limitRate(Server &One, double PerSecond, Millis Length) {
    One.Limit = PerSecond;
    One.LimitSince = Now;
    One.ToldOfLimit.clear();
    One.Limited.clear();
    after(Length, [this, &One, Since = Now, Life = One.Life] {
      if (One.Life != Life || One.LimitSince != Since)
        return;
      One.Limit.reset();
      unsound(One, Now);
    });
  }

  void standStill(const std::string &Who, TimePoint Until) {
    Process &One = Processes.at(Who);
    ++One.Stills;
    One.StillUntil = std::max(One.StillUntil, Until);
    disturb(Who, Until);
  }

  static void unsound(Server &One, TimePoint Until) {
    One.SoundSince = std::max(One.SoundSince, Until);
  }

  void linkDisturbed(const Incident &One, TimePoint Until) {
    disturb(One.Who, Until);
    disturb(One.Other, Until);
    LinksQuiet = std::max(LinksQuiet, Until);
  }

  // ---- Store ----------------------------------------------------------------
  void put(const std::string &Key, const std::string &Value) {
    const auto it = Items.Items.find(Key);
    if (it != Items.Items.end() && it->second.Value == Value)
      return;
    Items.Items[Key] = {Value, ++Items.Revision};
  }

  void erase(const std::string &Key) {
    if (Items.Items.erase(Key) > 0)
      ++Items.Revision;
  }

  /** The operator tries until the store answers. */
  void whenStored(std::function<void()> Work) {
    if (Now < StoreBack)
      at(StoreBack, [this, Work = std::move(Work)] { whenStored(Work); });
    else
      Work();
  }

  void writeConfig(bool WithKey) {
    const auto RouteOf = [](const char *Name, const char *Kind,
                            const char *Service) {
      return Json{{"name", Name},
                  {"host", "h.example"},
                  {"prefix", std::string("/") + Name + "/"},
                  {"kind", Kind},
                  {"timeout_ms", 3000},
                  {"target_latency_ms", 300},
                  {"max_attempts", MaxAttempts},
                  {"service", Service},
                  {"resume_streams", std::string(Name) == "write"}};
    };
    Json Keys = {"k0"};
    if (WithKey)
      Keys.push_back("k1");
    const Json Config = {{"routes",
                          {RouteOf("write", "streaming", "llm"),
                           RouteOf("chat", "streaming", "llm"),
                           RouteOf("book", "non_idempotent", "slots"),
                           RouteOf("look", "idempotent", "slots")}},
                         {"services",
                          {{{"name", "llm"},
                            {"max_connections", 100},
                            {"cold_per_s", ColdRate},
                            {"engine", {{"models", {{{"name", "trail"}}}}}}},
                           {{"name", "slots"}, {"max_connections", 100}},
                           {{"name", "weights"}, {"origin", "10.0.9.9:80"}}}},
                         {"tenants", {{{"name", "huts"}, {"api_keys", Keys}}}}};
    put("op/config", Config.dump());
  }

  void nameWeights() {
    whenStored([this] {
      NamedAt.push_back(Now);
      put("op/version/trail",
          Json{{"model", "trail"}, {"version", NamedAt.size()}}.dump());
    });
  }

  void domainOut(const Incident &One) {
    whenStored([this, One] {
      put("op/evacuate/" + One.Who, "{}");
      OutSince.try_emplace(One.Who, Now);
      after(One.Length, [this, One] {
        whenStored([this, One] {
          erase("op/evacuate/" + One.Who);
          OutSince.erase(One.Who);
          for (auto &[Name, Each] : Servers)
            if (Each.Zone == One.Who)
              unsound(Each, Now);
        });
      });
    });
  }

  void keyGone(const Incident &One) {
    whenStored([this, One] {
      writeConfig(false);
      KeyGoneSince = Now;
      after(One.Length, [this] {
        whenStored([this] {
          writeConfig(true);
          KeyGoneSince.reset();
        });
      });
    });
  }

  /** Gives what the store's items stand for. */
  const std::string &documentNow() {
    if (ShownRevision != Items.Revision)
      ShownDocument = buildDocument(Items, {{"z0=r", "z1=r"}, 7});
    ShownRevision = Items.Revision;
    return ShownDocument;
  }

  /** Entries of servers that did not renew them. */
  void lapse() {
    if (Now < StoreBack)
      return;
    for (auto &[Name, One] : Servers) {
      if (!One.LeaseEnd || Now < *One.LeaseEnd)
        continue;
      One.LeaseEnd.reset();
      One.BackAt = Now + delay(One.Name + "/back", 0, 1800);
      erase("servers/" + One.Id.Value);
      GoneSince.try_emplace(One.Id, Now);
    }
  }

  /** A server tells the store of itself. */
  void registerServer(Server &One) {
    if (!One.Alive || Now < One.StillUntil || storeAway(One.Name) ||
        Now < One.BackAt)
      return;
    Json Entry = {
        {"service", One.Model ? "llm" : "slots"},
        {"address", One.Address},
        {"zone", One.Zone},
        {"slots", Slots},
        {"state", One.Draining ? "draining" : "ready"},
        {"born", One.Life},
        {"cold_remaining_ms",
         std::max<int64_t>(0, toMillis(One.ColdUntil - Now).count())}};
    if (One.Model && One.Version > 0)
      Entry["models"] = {{{"name", "trail"}, {"version", One.Version}}};
    const std::string Key = "servers/" + One.Id.Value;
    const auto it = Items.Items.find(Key);
    // What is left of the cold time is told once.
    if (it != Items.Items.end())
      Entry["cold_remaining_ms"] =
          Json::parse(it->second.Value)["cold_remaining_ms"];
    put(Key, Entry.dump());
    One.LeaseEnd = Now + Millis(3000);
    if (!One.Draining)
      GoneSince.erase(One.Id);
    else
      GoneSince.try_emplace(One.Id, Now);
  }

  // ---- Processes ------------------------------------------------------------
  static Settings settingsOf(const std::string &Name, const std::string &Zone,
                             bool Entry) {
    Json File = {{"name", Name}, {"domain", Zone}, {"platform", "store"}};
    File[Entry ? "config_url" : "engine_url"] = "http://10.0.9.1:80";
    const auto Read = outcomeOf([&] {
      return parseSettings(File.dump(), "model",
                           Entry ? SettingOwner::Entry : SettingOwner::Agent);
    });
    if (!Read.Value)
      throw std::runtime_error(Read.Why.Detail);
    return *Read.Value;
  }

  void addEntry(const std::string &Name, const std::string &Zone, int n) {
    Process &One = Processes[Name];
    One.Name = Name;
    Settings Config = settingsOf(Name, Zone, true);
    const std::string Host = "10.0.0." + std::to_string(n);
    Config.PeerListen = Host + ":5";
    Config.RouteListen = Host + ":80";
    Config.SeedPeers = {"10.0.0.10:5", "10.0.0.11:5"};
    Config.ServeCutOff = true;
    Config.RepeatRatio = RepeatRatio;
    Config.RepeatSlack = RepeatSlack;
    Config.RepeatWindowSeconds = RepeatWindow.count() / 1000;
    Configs[Name] = Config;
    NameAt[Config.PeerListen] = Name;
  }

  void addServer(const std::string &Name, const std::string &Zone, int n,
                 bool Model) {
    Server &One = Servers[Name];
    One.Name = Name;
    One.Zone = Zone;
    One.Model = Model;
    One.Reports = n % 4 > 1;
    const std::string Host = "10.0.1." + std::to_string(n);
    One.Address = Host + ":80";
    ServerAt[One.Address] = Name;
    if (!Model)
      return;
    Processes[Name].Name = Name;
    Settings Config = settingsOf(One.Address, Zone, false);
    Config.PeerListen = Host + ":7";
    Config.WeightsFromPeers = false;
    Configs[Name] = Config;
    NameAt[Config.PeerListen] = Name;
  }

  void start(Process &One) {
    const Settings &Config = Configs.at(One.Name);
    const Incarnation Run{++Runs};
    ++One.Life;
    One.Alive = true;
    One.CalmSince = std::max(One.CalmSince, Now);
    One.Highest = {};
    if (Servers.contains(One.Name)) {
      One.Agent = makeAgent(Config, Run, Now);
      One.OrdersEnded = 0;
      in(One, delay(One.Name, 0, 50), [this, &One] { tickAgent(One); });
      in(One, delay(One.Name, 0, 50), [this, &One] { watchEngine(One); });
      return;
    }
    One.Entry = makeEntry(Config, Run, Now);
    startTraffic(One, Config);
    in(One, delay(One.Name, 0, 50), [this, &One] { tickEntry(One); });
    readTurn(One);
  }

  void startTraffic(Process &One, const Settings &Config) const {
    One.Pool = {};
    One.Pool.Options = {{Config.Name},
                        {Config.Domain},
                        replacedWeightsTime(Config),
                        Millis(Config.LapseGraceMillis)};
    One.Pool.Random ^= draw(One.Name + "/random", 1U << 30U) | 1U;
    One.Repeats = {};
    One.Repeats.Limits = {RepeatRatio, RepeatSlack, RepeatWindow};
    One.Doc = nullptr;
    One.Index = {};
    One.Fleet = {};
    One.Told = {};
    One.Waiting.clear();
    One.Copied = 0;
    One.Last = {};
  }

  void stop(Process &One) {
    if (!One.Alive)
      return;
    One.Alive = false;
    ++One.Life;
    for (Wire &Link : Wires)
      for (const size_t n : {size_t{0}, size_t{1}})
        if (Link.Ends.at(n).Open && Link.Ends.at(n).Who == One.Name) {
          Link.Ends.at(n).Open = false;
          enqueue(Link, 1 - n, std::nullopt);
        }
  }

  void tickEntry(Process &One) {
    Effects Out;
    handleEntryTick(*One.Entry, Now, Out);
    showDocument(One);
    tellRoutes(One);
    perform(One, Out);
    in(One, delay(One.Name, 45, 60), [this, &One] { tickEntry(One); });
  }

  void tickAgent(Process &One) {
    Effects Out;
    handleAgentTick(*One.Agent, Now, Out);
    finishAgent(One, Out);
    in(One, delay(One.Name, 45, 60), [this, &One] { tickAgent(One); });
  }

  /** Ends a step of an agent, as its shell does. */
  void finishAgent(Process &One, Effects &Out) {
    attachCurrentLoad(*One.Agent, Out);
    perform(One, Out);
    checkVersion(One, versionInForce(One.Agent->View));
  }

  /** Runs a step of an agent that came about outside, as its shell does. */
  template <typename Work>
  void agentStep(Process &One, Millis Wait, Work Body) {
    in(One, Wait, [this, &One, Body] {
      Effects Out;
      detectAgentPause(*One.Agent, Now, Out);
      Body(*One.Agent, Out);
      finishAgent(One, Out);
    });
  }

  void checkVersion(Process &One, ConfigVersion Has) {
    if (Has < One.Highest)
      breakRule("back", One.Name + " went back from version " +
                            std::to_string(One.Highest.Value) + " to " +
                            std::to_string(Has.Value));
    One.Highest = std::max(One.Highest, Has);
  }

  void showDocument(Process &One) {
    const DocumentPtr &Doc = One.Entry->View.InForce;
    if (One.Doc == Doc)
      return;
    checkVersion(One, versionInForce(One.Entry->View));
    One.Doc = Doc;
    One.Index = makeRouteIndex(*Doc);
    applyPoolDocument(One.Pool, Doc, One.Entry->View.PublishedAfter, Now);
  }

  void tellRoutes(Process &One) {
    for (const AgentReport &News : collectAgentReports(*One.Entry, One.Told))
      applyAgentReport(One.Pool, News, Now);
    One.Fleet = fleetSnapshot(*One.Entry, Now);
    setListingUnavailable(One.Pool, One.Fleet.ListingUnavailable, Now);
    One.Pool.Entries = One.Fleet.Sharers;
    One.Pool.Sharers = One.Fleet.SharerNames;
  }

  // ---- Reading the store ----------------------------------------------------
  void readTurn(Process &One) {
    const ReadPlan Turn =
        nextRead(One.Entry->View, One.Entry->Fleet, One.Reads++);
    in(One, Turn.Delay, [this, &One, Turn] {
      if (Turn.Reader)
        read(One, Turn, Now, Now + Turn.Wait);
      else
        readTurn(One);
    });
  }

  /** Waits at the store for a change; whether the reader runs is all one. */
  void read(Process &One, const ReadPlan &Turn, TimePoint Began,
            TimePoint Until) {
    if (storeAway(One.Name)) {
      readEnds(One, Began, delay(One.Name + "/away", 300, 1000),
               {std::nullopt, {ErrorKind::Unreachable, "away", {}}});
      return;
    }
    if (One.Copied > 0 && One.Copied == Items.Revision && Now < Until) {
      after(Millis(20), [this, &One, Turn, Began, Until, Life = One.Life] {
        if (One.Life == Life)
          read(One, Turn, Began, Until);
      });
      return;
    }
    One.Copied = Items.Revision;
    readEnds(One, Began, delay(One.Name + "/read", 5, 60),
             {documentToOffer(One.Last, documentNow(), Items.Revision,
                              Turn.After, Turn.InForce),
              {}});
  }

  void readEnds(Process &One, TimePoint Began, Millis Wait,
                const Outcome<std::string> &Read) {
    in(One, Wait, [this, &One, Began, Read] {
      Effects Out;
      handleEntryConfigRead(*One.Entry, Read, Began, Now, Out);
      showDocument(One);
      perform(One, Out);
      readTurn(One);
    });
  }

  // ---- Links ----------------------------------------------------------------
  /** Time on the way; longer between domains, and often longer still. */
  Millis onTheWay(const std::string &From, const std::string &To) const {
    const std::string What = From + ">" + To;
    return draw(What, 20) == 0 ? delay(What + "/late", 20, 120)
                               : delay(What, 1, 12);
  }

  void open(Process &From, LinkId Link, const std::string &At) {
    const auto it = NameAt.find(At);
    Process *To = it == NameAt.end() ? nullptr : &Processes.at(it->second);
    if (To == nullptr || !To->Alive || isCut(From.Name, To->Name)) {
      in(From, Millis(5), [this, &From, Link] { closed(From, Link); });
      return;
    }
    const TimePoint Held = heldUntil(From.Name, To->Name);
    if (Now < Held) {
      at(Held, [this, &From, Link, At, Life = From.Life] {
        if (From.Alive && From.Life == Life)
          open(From, Link, At);
      });
      return;
    }
    in(*To, onTheWay(From.Name, To->Name),
       [this, &From, To, Link, Life = From.Life] {
         if (!From.Alive || From.Life != Life || isCut(From.Name, To->Name))
           return;
         Wire &One = Wires.emplace_back();
         One.Ends = {WireEnd{From.Name, From.Life, Link, true},
                     WireEnd{To->Name, To->Life, LinkId{NextEnd++}, true}};
         WireAt[{From.Name, Link}] = {&One, 0};
         WireAt[{To->Name, One.Ends[1].Link}] = {&One, 1};
         opened(*To, One.Ends[1].Link);
         in(From, Millis(1), [this, &From, Link] { opened(From, Link); });
       });
  }

  void opened(Process &One, LinkId Link) {
    Effects Out;
    if (One.Entry) {
      handleEntryLinkOpened(*One.Entry, Link, Now, Out);
      showDocument(One);
      perform(One, Out);
      return;
    }
    detectAgentPause(*One.Agent, Now, Out);
    handleAgentLinkOpened(*One.Agent, Link, Now, Out);
    finishAgent(One, Out);
  }

  void closed(Process &One, LinkId Link) {
    Effects Out;
    if (One.Entry) {
      handleEntryLinkClosed(*One.Entry, Link, Now, Out);
      showDocument(One);
      perform(One, Out);
      return;
    }
    detectAgentPause(*One.Agent, Now, Out);
    handleAgentLinkClosed(*One.Agent, Link, Now);
    finishAgent(One, Out);
  }

  /** Puts a message, or the close, on its way to an end. */
  void enqueue(Wire &One, size_t To, std::optional<Message> m) {
    TimePoint &Last = One.LastDue.at(To);
    Last = std::max(
        Last, Now + onTheWay(One.Ends.at(1 - To).Who, One.Ends.at(To).Who));
    One.Queues.at(To).push_back(std::move(m));
    at(Last, [this, &One, To] { arrive(One, To); });
  }

  void arrive(Wire &One, size_t To) {
    WireEnd &End = One.Ends.at(To);
    if (!End.Open || One.Queues.at(To).empty())
      return;
    const TimePoint Held = heldUntil(One.Ends[0].Who, One.Ends[1].Who);
    if (Now < Held) {
      at(Held, [this, &One, To] { arrive(One, To); });
      return;
    }
    Process &Who = Processes.at(End.Who);
    in(Who, Millis(0), [this, &One, &Who, To] { deliver(Who, One, To); });
  }

  void deliver(Process &Who, Wire &One, size_t To) {
    WireEnd &End = One.Ends.at(To);
    if (!End.Open || End.Life != Who.Life || One.Queues.at(To).empty())
      return;
    const std::optional<Message> m = std::move(One.Queues.at(To).front());
    One.Queues.at(To).pop_front();
    if (!m) {
      End.Open = false;
      closed(Who, End.Link);
      return;
    }
    if (Who.Entry) {
      if (const auto *Said = std::get_if<SlotAnswer>(&*m)) {
        recordAgentActivity(Who.Pool, End.Link);
        placeAnswered(Who, *Said);
        return;
      }
      if (std::holds_alternative<Pong>(*m)) {
        recordAgentActivity(Who.Pool, End.Link);
        return;
      }
      Effects Out;
      if (const auto *Heard = std::get_if<RateLimitNotice>(&*m)) {
        if (recordPeerRate(Who.Pool, *Heard, Now) != RateChange::None)
          broadcastNotice(Who.Entry->Fleet, *Heard, Role::Entry, Out);
        perform(Who, Out);
        return;
      }
      if (const auto *Heard = std::get_if<ServerLeavingNotice>(&*m)) {
        if (recordPeerLeaving(Who.Pool, *Heard, Now))
          broadcastNotice(Who.Entry->Fleet, *Heard, Role::Entry, Out);
        perform(Who, Out);
        return;
      }
      handleEntryMessage(*Who.Entry, End.Link, *m, Now, Out);
      showDocument(Who);
      perform(Who, Out);
      return;
    }
    Effects Out;
    detectAgentPause(*Who.Agent, Now, Out);
    handleAgentMessage(*Who.Agent, End.Link, *m, Now, Out);
    finishAgent(Who, Out);
  }

  void send(const Process &From, LinkId Link, const Message &m) {
    const auto it = WireAt.find({From.Name, Link});
    if (it == WireAt.end())
      return;
    const auto [One, n] = it->second;
    if (One->Ends.at(n).Open && One->Ends.at(n).Life == From.Life)
      enqueue(*One, 1 - n, m);
  }

  void drop(const Process &From, LinkId Link) {
    const auto it = WireAt.find({From.Name, Link});
    if (it == WireAt.end())
      return;
    const auto [One, n] = it->second;
    if (!One->Ends.at(n).Open || One->Ends.at(n).Life != From.Life)
      return;
    One->Ends.at(n).Open = false;
    enqueue(*One, 1 - n, std::nullopt);
  }

  /** Resets all connections between two hosts. */
  void breakWires(const std::string &A, const std::string &B) {
    for (Wire &One : Wires) {
      if (pairOf(One.Ends[0].Who, One.Ends[1].Who) != pairOf(A, B))
        continue;
      for (size_t n = 0; n < One.Ends.size(); ++n) {
        One.Queues.at(n).clear();
        if (One.Ends.at(n).Open)
          enqueue(One, n, std::nullopt);
      }
    }
  }

  void perform(Process &One, const Effects &Todo) {
    for (const Effect &Each : Todo)
      std::visit(
          Overloaded{
              [&](const OpenLink &e) { open(One, e.Link, e.To.Value); },
              [&](const CloseLink &e) { drop(One, e.Link); },
              [&](const SendMessage &e) { send(One, e.Link, e.Content); },
              [&](const ReadChunkList &e) { giveList(One, e.Version); },
              [&](const FetchFromOrigin &e) { giveChunk(One, e.Chunk); },
              [&](const StageChunk &e) { stage(One, e.Chunk); },
              [&](const FindStagedChunks &e) { giveStaged(One, e.Chunks); },
              [&](const ReadSlot &e) { giveSlot(One, e.Slot); },
              [&](const LoadWeights &e) { load(One, e.Order); },
              [&](const LogNote &e) {
                if (OnLog)
                  OnLog(sinceBegin(Now), One.Name, e.Text);
              },
              [](const auto &) {
                // What callers of the product's own interface get.
              }},
          Each);
  }

  // ---- Weights --------------------------------------------------------------
  static std::string chunkOf(const std::string &Version) {
    return "trail " + Version;
  }

  void giveList(Process &One, const ChunkRef &Version) {
    const ChunkList List{{sha256(chunkOf(Version.Version))}, 100};
    agentStep(One, delay(One.Name + "/list", 10, 60),
              [this, Version, List](AgentState &Agent, Effects &Out) {
                handleOriginChunkList(Agent, Version, {List, {}}, Now, Out);
              });
  }

  void giveChunk(Process &One, const ChunkRef &Chunk) {
    const auto Bytes =
        std::make_shared<const std::string>(chunkOf(Chunk.Version));
    const Millis Wait = draw(One.Name + "/slow", 3) == 0
                            ? delay(One.Name + "/origin", 3000, 14000)
                            : delay(One.Name + "/origin", 200, 3000);
    agentStep(One, Wait, [this, Chunk, Bytes](AgentState &Agent, Effects &Out) {
      handleOriginChunk(Agent, Chunk.Content, digestChunk(Bytes), Now, Out);
    });
  }

  void stage(Process &One, const ChunkRef &Chunk) {
    Server &Beside = Servers.at(One.Name);
    const bool Done = Beside.Alive;
    if (Done)
      Beside.Staged.insert(Chunk.Content.Value);
    agentStep(One, Millis(10),
              [this, Chunk, Done](AgentState &Agent, Effects &Out) {
                handleStagedChunk(Agent, Chunk, Done, Now, Out);
              });
  }

  void giveStaged(Process &One, const std::vector<ChunkRef> &Chunks) {
    for (const ChunkRef &Chunk : Chunks)
      if (Servers.at(One.Name).Staged.contains(Chunk.Content.Value))
        agentStep(One, Millis(10),
                  [this, Chunk](AgentState &Agent, Effects &Out) {
                    handleSlotRead(Agent, {Chunk, true, {Chunk.Content, {}}},
                                   Now, Out);
                  });
  }

  void giveSlot(Process &One, const ChunkRef &Slot) {
    SlotRead Read{Slot, true, {}};
    if (Servers.at(One.Name).Staged.contains(Slot.Content.Value))
      Read.Found.Actual = Slot.Content;
    agentStep(One, Millis(10), [this, Read](AgentState &Agent, Effects &Out) {
      handleSlotRead(Agent, Read, Now, Out);
    });
  }

  void load(Process &One, const LoadOrder &Order) {
    in(One, Millis(15), [this, &One, Order, Stills = One.Stills] {
      Server &Beside = Servers.at(One.Name);
      const bool Staged =
          std::ranges::all_of(Order.Chunks, [&](const Digest &Chunk) {
            return Beside.Staged.contains(Chunk.Value);
          });
      if (One.Stills != Stills || !Beside.Alive || !Staged) {
        orderOver(One, Failure{ErrorKind::StaleView, "", {}});
        return;
      }
      Beside.Busy = true;
      beginLoad(One, One.Life, Beside, Beside.Life, std::stoull(Order.Version));
    });
  }

  /** A worker first ends what it runs. */
  void beginLoad(Process &One, uint64_t Life, Server &Beside, uint64_t Run,
                 uint64_t Version) {
    if (Beside.Life != Run)
      return;
    if (Beside.Running > 0) {
      after(Millis(20), [this, &One, Life, &Beside, Run, Version] {
        beginLoad(One, Life, Beside, Run, Version);
      });
      return;
    }
    Beside.Version = 0;
    after(delay(Beside.Name + "/load", 200, 900),
          [this, &One, Life, &Beside, Run, Version] {
            if (Beside.Life != Run)
              return;
            Beside.Version = Version;
            Beside.Busy = false;
            unsound(Beside, Now);
            after(delay(Beside.Name + "/tell", 20, 400),
                  [this, &Beside] { registerServer(Beside); });
            if (One.Alive && One.Life == Life)
              orderOver(One, std::nullopt);
          });
  }

  void orderOver(Process &One, const std::optional<Failure> &Why) {
    agentStep(One, Millis(20),
              [this, &One, Why](AgentState &Agent, Effects &Out) {
                handleLoadResult(Agent, Why, Now, Out);
                ++One.OrdersEnded;
              });
  }

  void watchEngine(Process &One) {
    const Server &Beside = Servers.at(One.Name);
    const uint64_t Orders = One.OrdersEnded;
    Outcome<EngineState> Read{std::nullopt, {ErrorKind::Unreachable, "", {}}};
    if (Beside.Alive && Now >= Beside.StillUntil) {
      EngineState State;
      State.Run = Beside.Id.Value;
      if (Beside.Version > 0)
        State.Weights =
            publishedWeightsId({"trail"}, std::to_string(Beside.Version));
      State.Running = Beside.Running;
      State.Cold = Now < Beside.ColdUntil;
      State.Busy = Beside.Busy;
      if (Beside.Reports)
        State.PerSecond = Beside.Limit;
      Read = {State, {}};
    }
    agentStep(One, delay(One.Name + "/report", 2, 20),
              [this, Read, Orders](AgentState &Agent, Effects &Out) {
                handleEngineReport(Agent, Read, Orders, Now, Out);
              });
    in(One, Millis(200), [this, &One] { watchEngine(One); });
  }

  // ---- Servers --------------------------------------------------------------
  void startServer(Server &One, uint64_t Version) {
    if (One.Alive)
      return;
    ++One.Life;
    One.Alive = true;
    One.Id.Value = One.Name + "." + std::to_string(One.Life);
    One.Version = Version;
    One.Busy = One.Draining = false;
    One.Running = 0;
    One.Staged.clear();
    One.LeaseEnd.reset();
    One.ColdStarts.clear();
    One.Limit.reset();
    One.Pause = Millis(0);
    One.SaysLeaving = false;
    One.PausedFor.clear();
    One.ToldLeaving.clear();
    One.ColdUntil = Version > 0 ? Now : Now + Millis(3000);
    unsound(One, std::max(Now, StoreBack));
    renew(One, One.Life);
  }

  void renew(Server &One, uint64_t Life) {
    if (One.Life != Life || !One.Alive)
      return;
    if (Now < One.StillUntil) {
      at(One.StillUntil, [this, &One, Life] { renew(One, Life); });
      return;
    }
    registerServer(One);
    at(One.BackAt > Now ? One.BackAt : Now + Millis(1000),
       [this, &One, Life] { renew(One, Life); });
    after(Millis(3010), [this] { lapse(); });
  }

  /** Ends at once; its entry in the store lapses. */
  void endServer(Server &One) {
    if (!One.Alive)
      return;
    One.Alive = false;
    ++One.Life;
    One.Running = 0;
    const std::string Key = "servers/" + One.Id.Value;
    if (One.LeaseEnd)
      at(*One.LeaseEnd, [this, Key, Id = One.Id] {
        whenStored([this, Key, Id] {
          erase(Key);
          GoneSince.try_emplace(Id, Now);
        });
      });
    One.LeaseEnd.reset();
  }

  void drain(Server &One, Millis Length) {
    if (!One.Alive)
      return;
    One.Draining = true;
    registerServer(One);
    replaceAfter(One, Length);
  }

  void leave(Server &One, Millis Length) {
    if (!One.Alive)
      return;
    One.SaysLeaving = true;
    unsound(One, Now + Length);
    replaceAfter(One, Length);
  }

  void replaceAfter(Server &One, Millis Length) {
    const uint64_t Life = One.Life;
    after(Length, [this, &One, Life] {
      if (One.Life != Life)
        return;
      endServer(One);
      after(Millis(1500), [this, &One] { startServer(One, 0); });
    });
  }

  // ---- A request at an entry ------------------------------------------------
  /** Callers ask all entries by turns. */
  void ask(uint64_t n) {
    const std::string Name = "e" + std::to_string(n % 4);
    Process &At = Processes.at(Name);
    constexpr std::array<const char *, 4> Paths = {"/write/", "/chat/",
                                                   "/book/", "/look/"};
    // Most requests are for workers with weights.
    const char *Path = Paths.at(draw("path", 5) % 4);
    const std::string Key = draw("key", 3) == 0 ? "k1" : "k0";
    if (At.Alive)
      in(At, Millis(2), [this, &At, Path, Key, Sent = Now, n] {
        takeRequest(At, Path, Key, Sent, n + 1);
      });
    after(delay("ask", 6, 26), [this, n] { ask(n + 1); });
  }

  /** Copies of a request that crashes what runs it, at any entry; or requests
   * that share a part which does so. */
  void sendFatal(const std::string &Path, TimePoint Until, bool Part) {
    if (Now >= Until)
      return;
    Process &At = Processes.at("e" + std::to_string(draw("fatal", 4)));
    if (At.Alive)
      in(At, Millis(2),
         [this, &At, Path, Part, Sent = Now, Id = NextFatalId++] {
           takeRequest(At, Path.c_str(), "k0", Sent, Id, Part);
         });
    after(delay("fatal/next", 40, 250),
          [this, Path, Until, Part] { sendFatal(Path, Until, Part); });
  }

  /** Parts of the prompts of the day's requests, where they have any. */
  std::vector<Digest> partsOf(const Asked &One, const std::string &Path) const {
    if (!WithParts)
      return {};
    const auto Part = [](const std::string &Name, uint64_t n) {
      return Digest{"part/" + Name + std::to_string(n)};
    };
    std::vector<Digest> Parts = {Part("first", 0),
                                 Part("common", One.Id % CommonParts),
                                 Part("rare", One.Id % RareParts)};
    if (One.FatalPart) // It is the first one on some paths.
      Parts.insert(Parts.begin() + (Path == "/chat/" ? 0 : 1),
                   Digest{One.Fatal});
    return Parts;
  }

  void takeRequest(Process &At, const char *Path, const std::string &Key,
                   TimePoint Sent, uint64_t Id, bool FatalPart = false) {
    const auto One = std::make_shared<Asked>();
    One->Id = Id;
    One->FatalPart = FatalPart;
    if (Id >= FirstFatalId)
      One->Fatal = (FatalPart ? "part/fatal" : "") + std::string(Path);
    One->Digests.Content.Value =
        One->Fatal.empty() || FatalPart ? std::to_string(Id) : One->Fatal;
    One->Digests.Parts = partsOf(*One, Path);
    One->Sent = Sent;
    One->Doc = At.Doc;
    if (At.Doc == nullptr || !At.Fleet.Ready)
      return;
    One->From = matchRoute(At.Index, "h.example", Path);
    One->Needs.Owner = matchWorkspace(At.Index, "Bearer " + Key);
    if (One->From == nullptr || One->Needs.Owner == nullptr)
      return;
    One->Limit = Now + std::min(One->From->Timeout, Millis(2000));
    One->Needs.Service = One->From->Targets.front().Service;
    One->Needs.MatchedRoute = One->From;
    KeyOf[Id] = Key;
    countFirstAttempt(At.Repeats, One->Needs.Service, Now);
    Firsts[One->Needs.Service].push_back(Now);
    in(At, toMillis(One->Limit - Now) + Millis(1), [this, &At, One] {
      if (!One->Over)
        limitCame(At, One);
    });
    tryNext(At, One);
  }

  static bool canRepeat(const Asked &One) {
    return One.From->Kind == RouteKind::Idempotent || One.From->Resumable;
  }

  static bool attemptsLeft(const Asked &One) {
    return One.Reached < One.From->MaxAttempts && One.Tries < 5;
  }

  /** Looks for a server for the next try; an open one goes on meanwhile. */
  void tryNext(Process &At, const AskedPtr &One) {
    ++One->Turn;
    if (One->Limit - Now < Millis(10)) {
      if (One->Open.empty())
        limitCame(At, One);
      return;
    }
    if (isQuarantined(At, *One)) {
      unplaced(At, One, NoServerReason::Quarantined);
      return;
    }
    if (!attemptsLeft(*One)) {
      unplaced(At, One, NoServerReason::NoAttemptLeft);
      return;
    }
    if (!mayRequestMoreSlots(One->Search)) {
      unplaced(At, One, NoServerReason::NoPlace);
      return;
    }
    ServerChoice Choice = chooseServer(At.Pool, One->Needs, Now);
    if (Choice.Server == nullptr &&
        reconsiderBusyServers(One->Search, One->Needs))
      Choice = chooseServer(At.Pool, One->Needs, Now);
    if (Choice.Server == nullptr) {
      if (Choice.Why == PoolRefusal::NoneListed && One->Needs.Full.empty() &&
          One->Needs.Tried.empty())
        checkUse(At, One->Needs.Service);
      unplaced(At, One, whyNone(Choice, One->Needs));
      return;
    }
    if (One->Reached > 0 &&
        !hasRepeatsLeft(At.Repeats, One->Needs.Service, At.Pool.Entries, Now)) {
      unplaced(At, One, NoServerReason::RetryBudget);
      return;
    }
    One->Next = std::make_shared<Try>();
    One->Next->At = Choice.Server->Listed.Id;
    recordAttemptStart(At.Pool, One->Next->At);
    if (hasAgent(*Choice.Server))
      askPlace(At, One, *Choice.Server);
    else
      sendTo(At, One, *Choice.Server);
  }

  static NoServerReason whyNone(const ServerChoice &Choice,
                                const ServerNeeds &Needs) {
    if (Choice.Why == PoolRefusal::AllPaused)
      return NoServerReason::AllPaused;
    if (Choice.Limited > 0 && Choice.Limited == Choice.Candidates)
      return NoServerReason::AllAtRate;
    return Choice.Why == PoolRefusal::AllFull || !Needs.Full.empty()
               ? NoServerReason::AllFull
               : NoServerReason::NoneUsable;
  }

  /** No server was found for the next try. */
  void unplaced(Process &At, const AskedPtr &One, NoServerReason Why) {
    switch (unplacedAction({!One->Open.empty(), One->Begun, One->MayHaveRun},
                           Why)) {
    case UnplacedAction::KeepAnswer:
      recordFailedSearch(One->Search, Now, At.Pool.Random);
      return;
    case UnplacedAction::Wait:
      recordFailedSearch(One->Search, Now, At.Pool.Random);
      in(At, toMillis(One->Search.NextAt - Now) + Millis(1),
         [this, &At, One, Turn = One->Turn] {
           if (!One->Over && One->Turn == Turn)
             searchAnew(At, One, false);
         });
      return;
    case UnplacedAction::Fail:
    case UnplacedAction::Refuse:
      if (Why == NoServerReason::Quarantined)
        refuseSuspect(At, One);
      else
        end(At, One, !One->MayHaveRun);
      return;
    }
  }

  void searchAnew(Process &At, const AskedPtr &One, bool SpareOnly) {
    restartSearch(One->Search, One->Needs, SpareOnly);
    tryNext(At, One);
  }

  void askPlace(Process &At, const AskedPtr &One, const ServerView &Server) {
    const TryPtr This = One->Next;
    SlotRequest Ask;
    Ask.SlotId.Value = At.Name + "/" + std::to_string(At.Life) + "/" +
                       std::to_string(++At.Places);
    const Duration Left = One->Sent + One->From->Target - Now;
    Millis Wait = std::max(toMillis(Left), Millis(0));
    if (Wait.count() == 0) {
      Ask.SpareOnly = true;
      Wait =
          One->Search.SpareOnly ? Millis(0) : lateRequestWait(One->Limit - Now);
      reconsiderBusyServers(One->Search, One->Needs);
    }
    Ask.WaitMillis = static_cast<uint64_t>(Wait.count());
    const Millis MaxBacklogToRequest = maxPrefillBacklog(One->Search);
    Ask.MaxPrefillBacklogMillis =
        static_cast<uint32_t>(MaxBacklogToRequest.count());
    recordSlotRequest(One->Search);
    This->Place = Ask.SlotId;
    This->PlaceLink = Server.Agent->Link;
    This->Asking = true;
    At.Waiting[This->Place] = One;
    if (const auto Told = rateNoticeForAgent(Server, Now))
      send(At, This->PlaceLink, *Told);
    send(At, This->PlaceLink, Ask);
    const Millis Until =
        Millis(150) + (MaxBacklogToRequest.count() == 0 ? Wait : Millis(0));
    in(At, Until, [this, &At, One, This] {
      if (One->Next != This || !This->Asking)
        return;
      markAgentSilent(At.Pool, This->At, Now);
      askElsewhere(At, One, false);
    });
  }

  void placeAnswered(Process &At, const SlotAnswer &Said) {
    const auto Node = At.Waiting.extract(Said.SlotId);
    if (!Node)
      return;
    const AskedPtr One = Node.mapped();
    const TryPtr This = One->Next;
    if (This == nullptr || !This->Asking || This->Place != Said.SlotId)
      return;
    This->Asking = false;
    recordServerLoad(At.Pool, This->At, Said.Load.Busy, Now);
    if (Said.Granted && mayStillUse(At.Pool, This->At, One->Needs, Now)) {
      sendTo(At, One, At.Pool.Servers.at(This->At));
      return;
    }
    if (!Said.Granted)
      This->Place = {};
    if (Said.Why == ErrorKind::RateLimited)
      recordRateRefusal(At.Pool, This->At, Millis(Said.RetryAfterMillis), Now);
    askElsewhere(At, One, Said.Why == ErrorKind::Overloaded);
  }

  void askElsewhere(Process &At, const AskedPtr &One, bool OnlyBusy) {
    const InstanceId Refusing = One->Next->At;
    dropNext(At, *One, AttemptEnd::NotSent);
    recordSlotRefusal(One->Search, One->Needs, Refusing, OnlyBusy);
    tryNext(At, One);
  }

  /** Ends the try in preparation: nothing of it was sent. */
  void dropNext(Process &At, Asked &One, AttemptEnd How) {
    const TryPtr This = std::exchange(One.Next, nullptr);
    if (This == nullptr)
      return;
    placeOver(At, *This, false, false);
    recordAttemptEnd(At.Pool, This->At, How, {}, Now);
  }

  /** Ends a try that was sent. */
  void dropOpen(Process &At, Asked &One, const TryPtr &This, AttemptEnd How) {
    std::erase(One.Open, This);
    placeOver(At, *This, How == AttemptEnd::Answered, true);
    recordAttemptEnd(At.Pool, This->At, How, Now - This->CallBegan, Now);
  }

  /** The first try that gives the caller something ends the others. */
  void keepOnly(Process &At, Asked &One, const TryPtr &This) {
    dropNext(At, One, AttemptEnd::NotSent);
    for (const TryPtr &Other : std::vector<TryPtr>(One.Open))
      if (Other != This)
        dropOpen(At, One, Other, AttemptEnd::Dropped);
  }

  void placeOver(Process &At, Try &One, bool Whole, bool Sent) {
    One.Asking = false;
    if (One.Place.Value.empty())
      return;
    At.Waiting.erase(One.Place);
    send(At, One.PlaceLink, SlotRelease{One.Place, Whole, Sent});
    One.Place = {};
  }

  // ---- Crashes, after exchange_suspect.cpp and suspects.cpp -----------------
  /** Days are shorter than the first refusal, so that there are no trials. */
  bool isQuarantined(const Process &At, Asked &One) const {
    const Verdict Found =
        verdictOn(At.Entry->Suspects, At.Crashes, One.Digests, Now);
    One.Needs.Suspect = mustRunAlone(Found.How) ? Found.Suspect : Digest{};
    return Found.How == Suspicion::Refuse || Found.How == Suspicion::Trial;
  }

  bool hasSuspectedPart(const Process &At, Asked &One) const {
    return !isQuarantined(At, One) && !One.Needs.Suspect.Value.empty() &&
           One.Needs.Suspect != One.Digests.Content;
  }

  /** The next try waits until it is known whether the back end has crashed. */
  void retryAfterCheck(Process &At, const AskedPtr &One) {
    in(At, AddressCheckDelay + Millis(30), [this, &At, One, Turn = One->Turn] {
      if (!One->Over && One->Turn == Turn && One->Open.empty())
        searchAnew(At, One, false);
    });
  }

  void reportBegun(Process &At, const Asked &One, Try &This) {
    if (std::exchange(This.BegunReported, true) || !This.BegunAt)
      return;
    Quarantine &Known = At.Entry->Suspects;
    for (const Digest &Part : One.Digests.Parts) {
      recordBegun(Known.Seen, Part, *This.BegunAt, Now);
      forgetBegun(At.Crashes, Part, *This.BegunAt);
      Effects Out;
      for (const SuspectNotice &m : clearPart(Known, Part, *This.BegunAt, Now))
        broadcastNotice(At.Entry->Fleet, m, {}, Out);
      perform(At, Out);
    }
  }

  /** Names what a request is refused for, and its crashes. */
  std::string describeSuspect(const Process &At,
                              const RequestDigests &Request) const {
    const Quarantine &Known = At.Entry->Suspects;
    const Digest Suspect = verdictOn(Known, At.Crashes, Request, Now).Suspect;
    std::string Text = Suspect.Value;
    for (const auto &[Run, One] : Known.Suspects.at(Suspect).Deaths)
      Text += " " + Run + " with " + One.Request.Value;
    return Text;
  }

  void refuseSuspect(Process &At, const AskedPtr &One) {
    if (One->Fatal.empty() && ++WrongRefusals > MostWrongRefusals)
      breakRule("suspect", "request " + std::to_string(One->Id) +
                               " is refused for crashes of others: " +
                               describeSuspect(At, One->Digests));
    end(At, One, !One->MayHaveRun);
  }

  void publish(Process &At, const std::vector<SuspectNotice> &Notices) {
    Effects Out;
    for (const SuspectNotice &Notice : Notices)
      publishSuspectNotice(At.Entry->Suspects, Notice, At.Entry->Fleet, Now,
                           Out);
    perform(At, Out);
  }

  void publishCrashes(Process &At) {
    publish(At, takeCrashNotices(At.Crashes, Now, At.Entry->Suspects.Seen));
  }

  void brokeOff(Process &At, const Passed &Sent, Server &From) {
    const ServerView *View = findServer(At.Pool, Sent.Expected);
    if (View != nullptr && isShuttingDown(*View))
      return;
    dropOldRuns(At.Crashes, Now);
    const Asked &One = *Sent.Of;
    const bool NewRun =
        recordBrokenAnswer(At.Crashes, Sent.Run, One.Digests.Content, Now);
    if (!Sent.This->BegunAt || Now - *Sent.This->BegunAt < AnswerBegunAfter)
      recordUnbegunParts(At.Crashes, Sent.Run, One.Digests);
    if (!NewRun) {
      publishCrashes(At);
      return;
    }
    in(At, AddressCheckDelay, [this, &At, &From, Run = Sent.Run] {
      recordAddressCheck(At.Crashes, Run, checkAddress(At, From));
      publishCrashes(At);
    });
  }

  AddressCheck checkAddress(const Process &At, const Server &From) const {
    if (isCut(At.Name, From.Name) ||
        heldUntil(At.Name, From.Name) > Now + Millis(300))
      return AddressCheck::NoAnswer;
    return From.Alive ? AddressCheck::Accepted : AddressCheck::Refused;
  }

  void completed(Process &At, const Passed &Sent) {
    publish(At, recordSignOfLife(At.Crashes, Sent.Run, Sent.Sent, Now));
    if (!Sent.This->BegunAt)
      Sent.This->BegunAt = Now;
    reportBegun(At, *Sent.Of, *Sent.This);
    forgetCompleted(At.Crashes, Sent.Of->Digests.Content);
    Effects Out;
    clearSuspect(At.Entry->Suspects, Sent.Of->Digests.Content, At.Entry->Fleet,
                 Now, Out);
    perform(At, Out);
  }

  void crash(Server &One, const std::string &By) {
    CrashedBy[By].push_back(Now);
    endServer(One);
    after(CrashDowntime, [this, &One] { startServer(One, 0); });
  }

  /** Says whether nothing kept entries from what the others told since a time.
   */
  bool wereEntriesCalm(TimePoint Since) const {
    return LinksQuiet + Contact <= Since &&
           std::ranges::all_of(Processes, [&](const auto &Row) {
             return !Row.second.Entry || isCalm(Row.second, Since);
           });
  }

  /** Arrivals from entries in touch, after the third crash is known. */
  void checkCrashes(const Passed &Sent, const Server &To) {
    const bool Part = Sent.Of->FatalPart;
    const std::vector<TimePoint> &Crashes = CrashedBy[Sent.Of->Fatal];
    const Process &From = Processes.at(Sent.Entry);
    const size_t Known = Part ? KnownPartCrash : 3;
    if (Part && Crashes.size() >= MostPartCrashes &&
        wereEntriesCalm(Crashes.front()))
      breakRule("part", story(Sent, To) + " after " +
                            std::to_string(Crashes.size()) + " crashes");
    if (Crashes.size() < Known || Now <= Crashes[Known - 1] + CrashKnownAfter ||
        From.Life != Sent.Life || !isCalm(From, Now))
      return;
    if (++AfterCrashes[Sent.Of->Fatal] >
        (Part ? MostAfterPartCrashes : MostAfterCrashes))
      breakRule("crashes", story(Sent, To) + " after " +
                               std::to_string(Crashes.size()) + " crashes");
  }

  /** Opens a connection to the server of the try in preparation. */
  void sendTo(Process &At, const AskedPtr &One, const ServerView &View) {
    const TryPtr This = One->Next;
    if (This->Place.Value.empty())
      countRequestWithoutSlot(At.Pool, This->At, Now);
    ++One->Tries;
    Server &To = Servers.at(ServerAt.at(View.Listed.At.Value));
    const auto Fails = [this, &At, One, This] {
      if (One->Next == This)
        unreached(At, One);
    };
    const TimePoint Held = heldUntil(At.Name, To.Name);
    if (isCut(At.Name, To.Name) || Held > Now + Millis(300)) {
      in(At, Millis(300), Fails);
      return;
    }
    at(std::max(Held, Now) + onTheWay(At.Name, To.Name + "/open"),
       [this, &At, One, This, &To, Fails, Life = At.Life] {
         if (!At.Alive || At.Life != Life)
           return;
         if (!To.Alive || isCut(At.Name, To.Name))
           in(At, Millis(5), Fails);
         else
           in(At, Millis(0), [this, &At, One, This, &To] {
             if (One->Next == This)
               connected(At, One, To);
           });
       });
  }

  void unreached(Process &At, const AskedPtr &One) {
    One->Needs.Tried.insert(One->Next->At);
    dropNext(At, *One, AttemptEnd::Unreached);
    if (!hasSuspectedPart(At, *One))
      tryNext(At, One);
    else if (One->Open.empty())
      retryAfterCheck(At, One);
  }

  /** Sends the request, if it may still be sent; a repeat counts from here. */
  void connected(Process &At, const AskedPtr &One, Server &To) {
    const TryPtr This = One->Next;
    const bool Quarantined = isQuarantined(At, *One);
    if (Quarantined || !mayStillUse(At.Pool, This->At, One->Needs, Now)) {
      dropNext(At, *One, AttemptEnd::NotSent);
      tryNext(At, One);
      return;
    }
    if (One->Reached > 0 &&
        !takeRepeat(At.Repeats, One->Needs.Service, At.Pool.Entries, Now)) {
      dropNext(At, *One, AttemptEnd::NotSent);
      unplaced(At, One, NoServerReason::RetryBudget);
      return;
    }
    const ServerView &View = At.Pool.Servers.at(This->At);
    Passed Sent;
    Sent.Of = One;
    Sent.This = This;
    Sent.Entry = At.Name;
    Sent.Life = At.Life;
    Sent.Expected = This->At;
    Sent.Version = requiredVersion(At.Pool, This->At, Now);
    Sent.Sent = Now;
    Sent.Run = runName(View.Listed);
    Sent.First = One->Reached == 0;
    This->CallBegan = Now;
    This->SentOn = View.Weights;
    ++One->Reached;
    One->Needs.Tried.insert(This->At);
    One->Open.push_back(std::exchange(One->Next, nullptr));
    at(std::max(heldUntil(At.Name, To.Name), Now) +
           onTheWay(At.Name, To.Name + "/data"),
       [this, Sent, &To, Life = To.Life] { reach(Sent, To, Life, Now); });
    if (One->From->Kind == RouteKind::Stream)
      watchBegin(At, One, This);
    if (canRepeat(*One))
      watchLater(At, One, This, One->From->Target);
  }

  static bool isOpen(const Asked &One, const TryPtr &This) {
    return std::ranges::find(One.Open, This) != One.Open.end();
  }

  /** A stream that has not begun is given up when it may not begin any more;
   * until when that is may be learned later. */
  void watchBegin(Process &At, const AskedPtr &One, const TryPtr &This) {
    in(At, Millis(50), [this, &At, One, This] {
      if (One->Begun || !isOpen(*One, This))
        return;
      const auto Until = latestStartTime(At.Pool, This->At, This->SentOn);
      if (!Until || Now < *Until) {
        watchBegin(At, One, This);
        return;
      }
      One->GivenUp.push_back(This);
      answered(At, One, This, Answer::Broke);
    });
  }

  void watchLater(Process &At, const AskedPtr &One, const TryPtr &This,
                  Millis Wait) {
    in(At, Wait, [this, &At, One, This, Due = Now + Wait] {
      // A reply that came while this entry stood still was not read.
      if (Now - Due > Millis(100))
        discardProbe(At.Pool, This->At);
      watchSilence(At, One, This);
    });
  }

  /** While the only answer is silent, another server is looked for. */
  void watchSilence(Process &At, const AskedPtr &One, const TryPtr &This) {
    if (One->Begun || !isOpen(*One, This))
      return;
    const Duration Silent = Now - This->CallBegan;
    const Millis Target = One->From->Target;
    const auto Unresponsive = unresponsiveFrom(At.Pool, This->At);
    const bool Urgent =
        (Unresponsive && Now >= *Unresponsive) || Silent >= Target * 9 / 2;
    if ((Urgent || Silent >= Target * 2) && One->Open.size() == 1 &&
        One->Next == nullptr && Now >= One->Search.NextAt &&
        attemptsLeft(*One) && couldGoElsewhere(At, *One, Urgent))
      searchAnew(At, One, !Urgent);
    else if (!This->Place.Value.empty() &&
             recordHostProbe(At.Pool, This->At, Now))
      send(At, This->PlaceLink, Ping{});
    watchLater(At, One, This, Millis(50));
  }

  bool couldGoElsewhere(Process &At, const Asked &One, bool Urgent) const {
    ServerNeeds Other = One.Needs;
    Other.Full.clear();
    const auto HasLeft = Urgent ? hasRepeatsLeft : hasRepeatsForSilence;
    return chooseServer(At.Pool, Other, Now).Server != nullptr &&
           HasLeft(At.Repeats, One.Needs.Service, At.Pool.Entries, Now);
  }

  /** A try that was sent is over. */
  void answered(Process &At, const AskedPtr &One, const TryPtr &This,
                Answer How) {
    switch (How) {
    case Answer::Whole:
      keepOnly(At, *One, This);
      dropOpen(At, *One, This, AttemptEnd::Answered);
      One->Over = true;
      return;
    case Answer::Misdirected:
      avoidMismatchedServer(At.Pool, This->At, Now);
      [[fallthrough]];
    case Answer::NotRun:
      dropOpen(At, *One, This, AttemptEnd::Refused);
      break;
    case Answer::Broke:
      dropOpen(At, *One, This, AttemptEnd::Broken);
      One->MayHaveRun = true;
      break;
    }
    if (!One->Open.empty())
      return;
    if (One->Next != nullptr) {
      One->Search.SpareOnly = false; // Nothing else is open any more.
      return;
    }
    // Events that were passed on are not taken back; going on with them
    // elsewhere is no part of the model.
    if (How == Answer::Broke && (!canRepeat(*One) || One->Begun))
      end(At, One, false);
    else if (How == Answer::Broke && hasSuspectedPart(At, *One))
      retryAfterCheck(At, One);
    else
      searchAnew(At, One, false);
  }

  /** An answer names the limit of its worker, or none. */
  void hearRate(Process &At, Try &One, Server &From, uint64_t Life,
                std::optional<double> Limit, bool Refusal) {
    if (Limit && From.Life == Life)
      From.ToldOfLimit.try_emplace(At.Name, Now);
    if (!Limit && (Refusal || !isRateLimited(At.Pool, One.At)))
      return;
    const RateChange Change =
        recordAnswerRate(At.Pool, One.At, Limit, One.CallBegan, Now);
    const auto it = At.Pool.Servers.find(One.At);
    if (it == At.Pool.Servers.end())
      return;
    const Millis Age = Limit ? Millis(0) : toMillis(Now - One.CallBegan);
    const RateLimitNotice Told{One.Place, One.At, Limit,
                               static_cast<uint64_t>(Age.count())};
    Effects Out;
    if (hasAgent(it->second))
      Out.push_back(SendMessage{it->second.Agent->Link, Told});
    else if (Change != RateChange::None)
      broadcastNotice(At.Entry->Fleet, Told, Role::Entry, Out);
    perform(At, Out);
  }

  /** An answer asks for a pause, or says that its back end shuts down. */
  void hearNotices(Process &At, Try &One, Server &From, uint64_t Life,
                   const Notices &Said, bool Misdirected) {
    if (Said.Pause.count() > 0) {
      recordPause(At.Pool, One.At, Said.Pause, Now);
      if (From.Life == Life)
        From.PausedFor[At.Name] = {Now, At.Life, Said.At + Said.Pause, 0};
    }
    if (!Said.Leaving)
      return;
    if (From.Life == Life)
      From.ToldLeaving.try_emplace(At.Name, Told{Now, At.Life, {}, 0});
    Effects Out;
    std::vector<ServerLeavingNotice> News;
    if (Misdirected)
      News = recordMisdirectedLeaving(At.Pool, One.At, One.CallBegan, Now);
    else if (const auto Own = recordLeaving(At.Pool, One.At, Now))
      News.push_back(*Own);
    for (const ServerLeavingNotice &Each : News)
      broadcastNotice(At.Entry->Fleet, Each, Role::Entry, Out);
    perform(At, Out);
  }

  void limitCame(Process &At, const AskedPtr &One) {
    end(At, One, !One->MayHaveRun && One->Reached == 0);
  }

  /** The caller is refused, which says that it did not run, or told nothing. */
  void end(Process &At, const AskedPtr &One, bool NotRun) {
    if (!NotRun && One->Limit - Now >= Millis(10))
      checkLost(At, *One);
    keepOnly(At, *One, nullptr);
    One->Over = true;
    ++One->Turn;
    if (!NotRun)
      return;
    Refused.insert(One->Id);
    ++Refusals;
    if (Begins.contains(One->Id))
      breakRule("refused", "request " + std::to_string(One->Id) +
                               " was refused as not run and had run");
  }

  // ---- A request at a worker ------------------------------------------------
  /** Does something at a worker, on waking when it stands still. */
  void whenAwake(Server &To, const std::function<void()> &Work) {
    if (Now < To.StillUntil)
      at(To.StillUntil + delay(To.Name + "/wake", 0, 20),
         [this, &To, Work] { whenAwake(To, Work); });
    else
      Work();
  }

  /** A worker that stands still reads the request on waking. */
  void reach(const Passed &Sent, Server &To, uint64_t Life, TimePoint Arrived) {
    if (To.Life != Life) {
      reply(Sent, To, Answer::Broke, Millis(5));
      return;
    }
    if (Now < To.StillUntil) {
      whenAwake(To, [this, Sent, &To, Life, Arrived] {
        reach(Sent, To, Life, Arrived);
      });
      return;
    }
    // A call that is given up resets its connection: what waits here is lost.
    if (Now - Arrived > Millis(50) && isGivenUp(Sent))
      return;
    if (!Sent.First)
      checkBudget(Sent.Of->Needs.Service);
    checkRate(Sent, To);
    checkNotices(Sent, To);
    if (Sent.Expected != To.Id ||
        (!Sent.Version.empty() && Sent.Version != std::to_string(To.Version))) {
      reply(Sent, To, Answer::Misdirected, Millis(2));
      return;
    }
    if ((To.Model && (To.Version == 0 || To.Busy)) || To.Running >= 16 ||
        To.Pause.count() > 0) {
      reply(Sent, To, Answer::NotRun, Millis(2));
      return;
    }
    if (!Sent.Of->Fatal.empty())
      checkCrashes(Sent, To);
    checkCold(Sent, To);
    begin(Sent, To, Arrived);
    if (To.Model)
      tellBegun(Sent, To);
    ++To.Running;
    const Millis Length = draw(To.Name + "/long", 15) == 0
                              ? delay(To.Name + "/run", 300, 1500)
                              : delay(To.Name + "/run", 20, 150);
    if (!Sent.Of->Fatal.empty()) {
      after(delay(To.Name + "/crash", 20, 100), [this, Sent, &To, Life] {
        if (To.Life == Life)
          crash(To, Sent.Of->Fatal);
        reply(Sent, To, Answer::Broke, Millis(0));
      });
      return;
    }
    after(Length, [this, Sent, &To, Life] {
      whenAwake(To, [this, Sent, &To, Life] {
        if (To.Life == Life && To.Running > 0)
          --To.Running;
        reply(Sent, To, To.Life == Life ? Answer::Whole : Answer::Broke,
              Millis(0));
      });
    });
  }

  bool isGivenUp(const Passed &Sent) const {
    const Process &From = Processes.at(Sent.Entry);
    return From.Alive && From.Life == Sent.Life && !isOpen(*Sent.Of, Sent.This);
  }

  void tellBegun(const Passed &Sent, Server &From) {
    Process &To = Processes.at(Sent.Entry);
    const uint64_t Life = From.Life;
    const std::optional<double> Limit = From.Limit;
    const Notices Said{Millis(0), From.SaysLeaving, Now};
    const TimePoint Held = heldUntil(Sent.Entry, From.Name);
    after(onTheWay(From.Name + "/data", Sent.Entry) +
              toMillis(std::max(Held, Now) - Now),
          [this, Sent, &To, &From, Life, Limit, Said] {
            in(To, Millis(0), [this, Sent, &To, &From, Life, Limit, Said] {
              if (To.Life != Sent.Life || !isOpen(*Sent.Of, Sent.This))
                return;
              keepOnly(To, *Sent.Of, Sent.This);
              Sent.Of->Begun = true;
              Sent.This->BegunAt = Now;
              in(To, AnswerBegunAfter, [this, Sent, &To] {
                if (isOpen(*Sent.Of, Sent.This))
                  reportBegun(To, *Sent.Of, *Sent.This);
              });
              hearNotices(To, *Sent.This, From, Life, Said, false);
              recordAcceptedRequest(To.Pool, Sent.This->At, Now);
              hearRate(To, *Sent.This, From, Life, Limit, false);
            });
          });
  }

  void reply(const Passed &Sent, Server &From, Answer How, Millis Wait) {
    Process &To = Processes.at(Sent.Entry);
    const uint64_t Life = From.Life;
    const std::optional<double> Limit = From.Limit;
    const Notices Said{How == Answer::NotRun ? From.Pause : Millis(0),
                       From.SaysLeaving && How != Answer::Broke, Now};
    const TimePoint Held = heldUntil(Sent.Entry, From.Name);
    const Millis Way = onTheWay(From.Name + "/data", Sent.Entry);
    const Millis Longer = toMillis(std::max(Held, Now) - Now);
    after(Wait + Way + Longer, [this, Sent, How, &To, &From, Life, Limit,
                                Said] {
      const auto Cut = CutAt.find(pairOf(Sent.Entry, From.Name));
      const bool Lost = Cut != CutAt.end() && Cut->second >= Sent.Sent;
      in(To, Millis(0), [this, Sent, How, &To, &From, Life, Limit, Said, Lost] {
        if (To.Life != Sent.Life || !isOpen(*Sent.Of, Sent.This))
          return;
        const bool Refusal = How == Answer::NotRun;
        if (!Lost && (Refusal || (How == Answer::Whole && !From.Model)))
          hearRate(To, *Sent.This, From, Life, Limit, Refusal);
        if (!Lost)
          hearNotices(To, *Sent.This, From, Life, Said,
                      How == Answer::Misdirected);
        if (!Lost && How == Answer::Whole)
          recordAcceptedRequest(To.Pool, Sent.This->At, Now);
        if (Lost || How == Answer::Broke)
          brokeOff(To, Sent, From);
        else if (How == Answer::Whole)
          completed(To, Sent);
        answered(To, Sent.Of, Sent.This, Lost ? Answer::Broke : How);
      });
    });
  }

  // ---- Rules ----------------------------------------------------------------
  std::string story(const Passed &Sent, const Server &To) const {
    return "request " + std::to_string(Sent.Of->Id) + " of " + Sent.Entry +
           " at " + To.Id.Value;
  }

  /** One that is refused as meant for another run of it costs a cold worker
   * nothing. */
  void checkCold(const Passed &Sent, Server &To) {
    if (!To.Model || Now >= To.ColdUntil)
      return;
    To.ColdStarts.push_back(Now);
    while (Now - To.ColdStarts.front() >= Millis(1000))
      To.ColdStarts.pop_front();
    if (To.ColdStarts.size() > ColdRate)
      breakRule("cold", story(Sent, To) + " is the " +
                            std::to_string(To.ColdStarts.size()) +
                            "th in a second while cold");
  }

  /** Counts what entries send that have known of the limit for a while. */
  void checkRate(const Passed &Sent, Server &To) {
    const auto it = To.ToldOfLimit.find(Sent.Entry);
    const Process &From = Processes.at(Sent.Entry);
    if (!To.Limit || it == To.ToldOfLimit.end() ||
        Now - it->second < RateHeardFor || From.Life != Sent.Life ||
        !isCalm(From, Now))
      return;
    To.Limited.push_back(Now);
    while (Now - To.Limited.front() >= RateWindow)
      To.Limited.pop_front();
    const double Seconds = static_cast<double>(RateWindow.count()) / 1000;
    const double Most = RateOvershoot * *To.Limit * Seconds + RateSlack;
    if (Now - To.LimitSince >= Contact &&
        static_cast<double>(To.Limited.size()) > Most)
      breakRule("rate", story(Sent, To) + " is the " +
                            std::to_string(To.Limited.size()) +
                            "th in a window, its limit is " +
                            std::to_string(*To.Limit) + " a second");
  }

  /** An entry that heard a notice keeps to it for as long as it runs. */
  void checkNotices(const Passed &Sent, Server &To) {
    if (Sent.Expected != To.Id)
      return; // Refused as meant for another run.
    const auto Heard = [&](const std::map<std::string, Told> &All) {
      const auto it = All.find(Sent.Entry);
      return it != All.end() && it->second.Life == Sent.Life &&
                     Sent.Sent >= it->second.At + NoticeHeardFor
                 ? it
                 : All.end();
    };
    if (Heard(To.ToldLeaving) != To.ToldLeaving.end())
      breakRule("leaving", story(Sent, To) + " came after it had said that it "
                                             "shuts down");
    const auto it = Heard(To.PausedFor);
    if (it == To.PausedFor.end() || Now >= it->second.Until)
      return;
    const uint32_t Later = ++To.PausedFor.at(Sent.Entry).Later;
    if (Later > MostInPause)
      breakRule("pause", story(Sent, To) + " is the " + std::to_string(Later) +
                             "th in its pause");
  }

  void checkBudget(const ServiceName &Service) {
    std::deque<TimePoint> &Again = Agains[Service];
    Again.push_back(Now);
    while (Now - Again.front() >= RepeatWindow)
      Again.pop_front();
    const auto Within = [&](TimePoint From) {
      return static_cast<double>(
          std::ranges::count_if(Firsts[Service], [&](const TimePoint When) {
            return When >= From && When < From + RepeatWindow;
          }));
    };
    const double Most =
        std::max({Within(Now - RepeatWindow), Within(Now - RepeatWindow * 2),
                  Within(Now - RepeatWindow * 3 / 2)});
    if (static_cast<double>(Again.size()) > RepeatRatio * Most + RepeatSlack)
      breakRule("budget", Service.Value + " got " +
                              std::to_string(Again.size()) +
                              " repeats in a window with " +
                              std::to_string(Most) + " requests");
  }

  void begin(const Passed &Sent, const Server &To, TimePoint Arrived) {
    const Asked &One = *Sent.Of;
    const uint32_t Count = ++Begins[One.Id];
    ++Started;
    if (Count > 1 && !canRepeat(One))
      breakRule("once", story(Sent, To) + " runs a second time");
    if (Count > One.From->MaxAttempts)
      breakRule("attempts", story(Sent, To) + " runs too often");
    if (Refused.contains(One.Id))
      breakRule("refused", story(Sent, To) + " runs after it was refused");
    const Process &From = Processes.at(Sent.Entry);
    if (From.Life != Sent.Life || !isCalm(From, Arrived) ||
        !isCalm(From, Sent.Sent))
      return;
    checkWeights(Sent, To);
    checkPlace(Sent, To, Arrived);
  }

  /** One that waited while the worker stood still begins when it wakes. */
  void checkWeights(const Passed &Sent, const Server &To) {
    if (!To.Model || To.Version >= NamedAt.size() ||
        !isCalm(Processes.at(Sent.Entry), Now))
      return;
    const TimePoint Replaced = NamedAt.at(To.Version);
    const TimePoint Since = std::max(Replaced, quietSince());
    if (Now > Since + WeightsBound)
      breakRule("weights",
                story(Sent, To) + " begins on version " +
                    std::to_string(To.Version) + ", replaced " +
                    std::to_string(toMillis(Now - Replaced).count()) +
                    " ms ago");
  }

  void checkPlace(const Passed &Sent, const Server &To, TimePoint Arrived) {
    const auto Late = [&](std::optional<TimePoint> Since, TimePoint When,
                          Millis Bound) {
      return Since && When > std::max(*Since, quietSince()) + Bound;
    };
    const auto find = [](const auto &Map, const auto &Key) {
      const auto it = Map.find(Key);
      return it == Map.end() ? std::optional<TimePoint>{} : it->second;
    };
    if (Late(find(GoneSince, To.Id), Arrived, ConfigBound))
      breakRule("drain", story(Sent, To) +
                             " begins though it drains or is "
                             "gone since " +
                             std::to_string(
                                 sinceBegin(*find(GoneSince, To.Id)).count()));
    if (Late(find(OutSince, To.Zone), Arrived, DomainBound))
      breakRule("domain", story(Sent, To) + " begins in a domain that is out");
    if (KeyOf.at(Sent.Of->Id) == "k1" &&
        Late(KeyGoneSince, Sent.Of->Sent, ConfigBound))
      breakRule("key", story(Sent, To) + " begins with a key that is gone");
  }

  /** Says whether nothing came between a try and its server. */
  bool wasSound(const Process &At, const Try &This) const {
    const auto it = std::ranges::find(
        Servers, This.At,
        [](const auto &Row) -> const auto & { return Row.second.Id; });
    if (it == Servers.end() || !isCalm(At, This.CallBegan) || !isCalm(At, Now))
      return false;
    const Server &One = it->second;
    return One.Alive && !One.Draining && !One.Busy &&
           One.SoundSince <= This.CallBegan && !OutSince.contains(One.Zone) &&
           (!One.Model || One.Version == NamedAt.size());
  }

  /** A request has no answer, and its servers would have given one. */
  void checkLost(const Process &At, const Asked &One) {
    std::vector<TryPtr> All = One.Open;
    All.insert(All.end(), One.GivenUp.begin(), One.GivenUp.end());
    if (!All.empty() && std::ranges::all_of(All, [&](const TryPtr &Each) {
          return wasSound(At, *Each);
        }))
      breakRule("lost", "request " + std::to_string(One.Id) + " of " + At.Name +
                            " has no answer though " + All.front()->At.Value +
                            " is sound; " +
                            std::to_string(toMillis(One.Limit - Now).count()) +
                            " ms are left");
  }

  bool isSound(const Server &One) const {
    return One.Alive && !One.Draining && !One.Busy &&
           Now - One.SoundSince >= SoundFor && !OutSince.contains(One.Zone) &&
           (!One.Model || One.Version == NamedAt.size());
  }

  /** An entry knows no back end that may be used at all. */
  void checkUse(const Process &At, const ServiceName &Service) {
    if (!isCalm(At, Now) || Now < LinksQuiet + Contact ||
        Now < ShortAway + Contact)
      return;
    // One that it knows and leaves alone for a moment after failures is no
    // matter of this rule.
    const auto IsKnown = [&](const Server &One) {
      const auto it = At.Pool.Servers.find(One.Id);
      return it != At.Pool.Servers.end() && !it->second.UnlistedSince;
    };
    for (const auto &[Name, One] : Servers)
      if (One.Model == (Service.Value == "llm") && isSound(One) &&
          !IsKnown(One))
        breakRule("unused", At.Name + " knows no back end though " +
                                One.Id.Value + " has been well for long");
  }

  // ---- State ----------------------------------------------------------------
  const TimePoint Begin{std::chrono::hours(1)};
  TimePoint Now = Begin;
  uint64_t Seed;
  uint32_t Slots;
  uint64_t Steps = 0, Runs = 0, NextEnd = FirstAcceptedLink;
  std::vector<Step> Agenda; ///< A heap, the next step first.
  std::map<std::string, Process> Processes;
  std::map<std::string, Settings> Configs;
  std::map<std::string, Server> Servers;
  std::map<std::string, std::string> NameAt;   ///< Process at an address.
  std::map<std::string, std::string> ServerAt; ///< Server at an address.
  std::deque<Wire> Wires;
  std::map<std::pair<std::string, LinkId>, std::pair<Wire *, size_t>> WireAt;
  std::map<std::string, TimePoint> CutUntil, CutAt, HeldUntil, AwayUntil;
  TimePoint StoreBack, LinksQuiet, ShortAway;
  StoreItems Items;
  uint64_t ShownRevision = 0;
  std::string ShownDocument;
  std::vector<TimePoint> NamedAt; ///< When each version was named; 1 first.
  std::map<InstanceId, TimePoint> GoneSince;
  std::map<std::string, TimePoint> OutSince;
  std::optional<TimePoint> KeyGoneSince;
  std::map<uint64_t, std::string> KeyOf;
  std::map<uint64_t, uint32_t> Begins;
  std::set<uint64_t> Refused;
  std::map<ServiceName, std::vector<TimePoint>> Firsts;
  std::map<ServiceName, std::deque<TimePoint>> Agains;
  uint64_t Started = 0, Refusals = 0;
  std::map<std::string, std::vector<TimePoint>> CrashedBy; ///< By content.
  std::map<std::string, uint32_t> AfterCrashes;            ///< Late arrivals.
  uint64_t NextFatalId = FirstFatalId, WrongRefusals = 0;
  bool WithParts = false; ///< Prompts have parts that requests share.
  std::optional<Broken> Fault;
  std::function<void(Millis, const std::string &, const std::string &)>
      OnLog; ///< Hears the lines of all processes.
};

} // namespace jacinthpond::model

#endif
