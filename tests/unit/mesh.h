/** @file mesh.h Entries and agents in one thread, over wires that fail.
 *
 * It runs the decisions of core only: messages travel over queues that a test
 * holds, drops, repeats or cuts, and time moves when the test says so.
 */

#ifndef JACINTHPOND_TESTS_UNIT_MESH_H
#define JACINTHPOND_TESTS_UNIT_MESH_H

#include "attempts/agent_func.h"
#include "attempts/entry_func.h"
#include "base/overloaded.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond::mesh {

using Json = nlohmann::json;

/** A connection between two processes. */
struct Wire {
  std::string From, To;  ///< Who opened it, and to whom.
  LinkId FromEnd, ToEnd; ///< Its number at either end.
  bool Open = true;      ///< Carries messages.
  bool Held = false;     ///< Messages wait; neither end notices.
  std::deque<std::pair<bool, Message>> Queue; ///< True: towards To.
};

/** Final answer to a caller. */
struct Final {
  std::string Text;                  ///< All parts.
  bool Whole = false;                ///< Ended as whole.
  ErrorKind Kind = ErrorKind::Count; ///< Else: why not.
  std::string Token;                 ///< Fresh home token; may be empty.
  Ran Executed = Ran::Unknown;       ///< Else: whether it ran.
};

/** All processes and wires of one test. */
struct Mesh {
  TimePoint Now{std::chrono::hours(1)};
  std::map<std::string, EntryState> Entries;
  std::map<std::string, AgentState> Agents;
  std::deque<Wire> Wires;
  std::set<std::string> Dead, Paused;
  std::vector<std::pair<std::string, ServiceCall>>
      Records;                                             ///< Service records.
  std::vector<std::pair<std::string, EngineRequest>> Runs; ///< Engine records.
  std::map<uint64_t, std::string> Texts;
  std::map<uint64_t, Final> Finals;
  std::set<std::string> SlowServices; ///< Their calls stay unanswered.
  std::function<void(Wire &, bool, const Message &)> OnDelivery;
  uint64_t NextRun = 1, NextEnd = FirstAcceptedLink, NextCall = 1;
  Json Doc = {{"version", 1},
              {"classes",
               {{{"name", "reports"}, {"model", "trail"}},
                {{"name", "bookings"},
                 {"service", "slots"},
                 {"repeatable", false},
                 {"deadline_ms", 5000}},
                {{"name", "status"}, {"service", "slots"}}}},
              {"tenants", {{{"name", "huts"}}}},
              {"models",
               {{{"name", "trail"},
                 {"version", "v1"},
                 {"chunk_bytes", 1},
                 {"total_bytes", 1},
                 {"chunks", {std::string(64, 'a')}}}}},
              {"workers", Json::array()},
              {"entries", Json::array()}};

  std::map<std::string, std::string> NameAt; ///< Process behind an address.

  /** Gives a process an address. */
  std::string addressOf(const std::string &Name) {
    const std::string At = "127.0.0.1:" + std::to_string(10000 + NameAt.size());
    NameAt[At] = Name;
    return At;
  }

  static Settings settingsOf(const std::string &Name) {
    Settings Config;
    Config.Name = Name;
    Config.Domain = "d";
    Config.HeartbeatMillis = 500;
    Config.LinkSilenceMillis = 2500;
    Config.ReconnectMillis = 300;
    Config.PauseGapMillis = 2000;
    Config.CutOffMillis = 3000;
    Config.JoinWaitMillis = 500;
    Config.WarmLimit = Config.ColdLimit = 16;
    Config.QueueLimit = 32;
    return Config;
  }

  /** Starts or restarts an agent. */
  void startAgent(const std::string &Name, bool Model) {
    Settings Config = settingsOf(Name);
    (Model ? Config.EngineUrl : Config.ServiceUrl) = "http://back-end";
    Agents[Name] = makeAgent(Config, Incarnation{NextRun++}, Now);
    Dead.erase(Name);
    Effects Out;
    if (!Model)
      servicePinged(Agents[Name], Outcome<std::string>{Name, {}}, Now, Out);
    perform(Name, Out);
  }

  /** Starts entries e0.. and agents m0.. and s0.., all linked. */
  Mesh(size_t EntryCount, size_t ModelCount, size_t ServiceCount) {
    const auto Row = [this](const std::string &Name) {
      return Json{{"name", Name}, {"domain", "d"}, {"agent", addressOf(Name)}};
    };
    for (size_t n = 0; n < ModelCount + ServiceCount; ++n) {
      const bool Model = n < ModelCount;
      const std::string Name = Model ? "m" + std::to_string(n)
                                     : "s" + std::to_string(n - ModelCount);
      Json One = Row(Name);
      One[Model ? "model" : "service"] = Model ? "trail" : "slots";
      Doc["workers"].push_back(One);
      startAgent(Name, Model);
    }
    for (size_t n = 0; n < EntryCount; ++n) {
      const std::string Name = "e" + std::to_string(n);
      Doc["entries"].push_back({{"name", Name},
                                {"domain", "d"},
                                {"callers", addressOf(Name)},
                                {"peers", addressOf(Name)}});
      Entries[Name] = makeEntry(settingsOf(Name), Incarnation{NextRun++}, Now);
    }
    publish();
    pass(Millis(1000));
    for (auto &[Name, Agent] : Agents)
      if (!Agent.Config.EngineUrl.empty())
        warm(Name);
    pass(Millis(1000));
  }

  /** Makes an engine report the wanted weights as loaded. */
  void warm(const std::string &Name) {
    AgentState &Agent = Agents[Name];
    EngineState State;
    State.Run = "run";
    State.Weights = Agent.Weights.Wanted.Set;
    Effects Out;
    engineStateRead(Agent, Outcome<EngineState>{State, {}},
                    Agent.Weights.OrdersEnded, Now, Out);
    perform(Name, Out);
  }

  /** Gives the document to some entries, or to all. */
  void publish(const std::string &Only = "") {
    for (auto &[Name, Entry] : Entries) {
      if (!Only.empty() && Only != Name)
        continue;
      Effects Out;
      entryConfigRead(Entry, Outcome<std::string>{Doc.dump(), {}}, Now, Now,
                      Out);
      perform(Name, Out);
    }
  }

  /** Sends a request to an entry. */
  uint64_t ask(const std::string &Entry, const std::string &Class,
               const std::string &Key = "", const std::string &Token = "",
               const std::string &Body = "{}") {
    CallRequest Asked;
    Asked.Call.Value = NextCall++;
    Asked.Class.Value = Class;
    Asked.Tenant.Value = "huts";
    Asked.Key.Value = Key;
    Asked.Token = Token;
    Asked.Body = Body;
    Effects Out;
    entryCall(Entries.at(Entry), Asked, Now, Out);
    perform(Entry, Out);
    pump();
    return Asked.Call.Value;
  }

  /** Lets time pass in ticks. */
  void pass(Millis Length) {
    const TimePoint End = Now + Length;
    while (Now < End) {
      Now += Millis(50);
      for (auto &Row : Entries)
        tick(Row.first, [&](Effects &e) { entryTick(Row.second, Now, e); });
      for (auto &Row : Agents)
        tick(Row.first, [&](Effects &e) { agentTick(Row.second, Now, e); });
      pump();
    }
  }

  template <typename Step> void tick(const std::string &Name, Step Body) {
    if (Dead.contains(Name) || Paused.contains(Name))
      return;
    Effects Out;
    Body(Out);
    perform(Name, Out);
  }

  /** Ends a process: its wires break at once. */
  void kill(const std::string &Name) {
    Dead.insert(Name);
    for (Wire &One : Wires)
      if (One.Open && (One.From == Name || One.To == Name))
        cut(One);
  }

  /** Breaks a wire; both ends notice, what was under way is lost. */
  void cut(Wire &One) {
    One.Open = false;
    One.Queue.clear();
    closed(One.From, One.FromEnd);
    closed(One.To, One.ToEnd);
  }

  /** Finds the newest open wire between two processes. */
  Wire &wire(const std::string &From, const std::string &To) {
    const auto it =
        std::find_if(Wires.rbegin(), Wires.rend(), [&](const Wire &One) {
          return One.Open && One.From == From && One.To == To;
        });
    if (it == Wires.rend())
      throw std::runtime_error("no wire " + From + " " + To);
    return *it;
  }

  void closed(const std::string &Name, LinkId End) {
    if (Dead.contains(Name))
      return;
    Effects Out;
    if (Entries.contains(Name))
      entryLinkClosed(Entries.at(Name), End, Now, Out);
    else
      agentLinkClosed(Agents.at(Name), End, Now);
    perform(Name, Out);
  }

  void opened(const std::string &Name, LinkId End) {
    Effects Out;
    if (Entries.contains(Name))
      entryLinkOpened(Entries.at(Name), End, Now, Out);
    else
      agentLinkOpened(Agents.at(Name), End, Now, Out);
    perform(Name, Out);
  }

  /** Hands a message to a process. */
  void deliver(const std::string &Name, LinkId End, const Message &m) {
    Effects Out;
    if (Entries.contains(Name))
      entryMessage(Entries.at(Name), End, m, Now, Out);
    else
      agentMessage(Agents.at(Name), End, m, Now, Out);
    perform(Name, Out);
  }

  /** Delivers until nothing moves. */
  void pump() {
    for (bool Moved = true; Moved;) {
      Moved = false;
      for (size_t n = 0; n < Wires.size(); ++n) {
        Wire &One = Wires[n];
        if (!One.Open || One.Held || One.Queue.empty())
          continue;
        const auto [Forward, m] = One.Queue.front();
        const std::string To = Forward ? One.To : One.From;
        if (Paused.contains(To))
          continue;
        One.Queue.pop_front();
        Moved = true;
        if (OnDelivery)
          OnDelivery(One, Forward, m);
        if (One.Open && !Dead.contains(To))
          deliver(To, Forward ? One.ToEnd : One.FromEnd, m);
      }
    }
  }

  void open(const std::string &From, LinkId FromEnd, const std::string &To) {
    if (Dead.contains(To)) {
      closed(From, FromEnd);
      return;
    }
    Wires.push_back({From, To, FromEnd, LinkId{NextEnd++}, true, false, {}});
    const LinkId ToEnd = Wires.back().ToEnd;
    opened(From, FromEnd);
    opened(To, ToEnd);
  }

  void send(const std::string &From, LinkId End, const Message &m) {
    for (Wire &One : Wires) {
      if (!One.Open)
        continue;
      if (One.From == From && One.FromEnd == End)
        One.Queue.emplace_back(true, m);
      else if (One.To == From && One.ToEnd == End)
        One.Queue.emplace_back(false, m);
    }
  }

  /** One end drops its link; the other end notices only by silence. */
  void dropped(const std::string &From, LinkId End) {
    for (Wire &One : Wires)
      if (One.Open && ((One.From == From && One.FromEnd == End) ||
                       (One.To == From && One.ToEnd == End)))
        One.Held = true;
  }

  /** Answers a call as the service does. */
  void answer(const std::string &Agent, const AttemptId &Which) {
    Effects Out;
    serviceAnswered(
        Agents.at(Agent), Which,
        Outcome<ServiceAnswer>{ServiceAnswer{200, "done " + Which.Value}, {}},
        Now, Out);
    perform(Agent, Out);
    pump();
  }

  void perform(const std::string &Name, const Effects &Todo) {
    for (const Effect &One : Todo)
      std::visit(
          Overloaded{
              [&](const OpenLink &e) {
                open(Name, e.Link, NameAt.at(e.To.Value));
              },
              [&](const CloseLink &e) { dropped(Name, e.Link); },
              [&](const SendMessage &e) { send(Name, e.Link, e.Content); },
              [&](const CallPart &e) { Texts[e.Call.Value] += e.Data; },
              [&](const CallEnd &e) {
                Finals[e.Call.Value] = {Texts[e.Call.Value], true,
                                        ErrorKind::Count, "", Ran::Yes};
              },
              [&](const CallError &e) {
                Finals[e.Call.Value] = {Texts[e.Call.Value], false, e.Why.Kind,
                                        e.Token, e.Executed};
              },
              [&](const RunService &e) {
                Records.emplace_back(Name, e.Call);
                if (!SlowServices.contains(Name))
                  answer(Name, e.Call.Attempt);
              },
              [&](const RunModel &e) { Runs.emplace_back(Name, e.Request); },
              [](const auto &) {
                // Logs, weights: not part of these tests.
              }},
          One);
  }
};

} // namespace jacinthpond::mesh

#endif
