/** @file mesh.h Simulates a fleet of entries and agents in one thread.
 *
 * Only the logic of core runs. Messages travel through queues that a test can
 * hold, drop, repeat or cut, and time advances when the test says so.
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

/** A simulated connection between two processes. */
struct Wire {
  std::string From, To;  ///< Process that opened it, and its peer.
  LinkId FromEnd, ToEnd; ///< Link identifier at either end.
  bool Open = true;      ///< False after the connection was broken.
  bool Held = false;     ///< Messages wait; neither end notices.
  std::deque<std::pair<bool, Message>> Queue; ///< Messages; true: towards To.
};

/** What a caller got in the end. */
struct FinalAnswer {
  std::string Text;                  ///< All parts of the answer, joined.
  bool Whole = false;                ///< The answer is complete.
  ErrorKind Kind = ErrorKind::Count; ///< Error of an incomplete answer.
  std::string Token;                 ///< Home token in the error; may be empty.
  Ran Executed = Ran::Unknown;       ///< Whether the request ran.
};

/** A simulated fleet: its processes, their connections and the clock. */
struct Mesh {
  TimePoint Now{std::chrono::hours(1)};
  std::map<std::string, EntryState> Entries;
  std::map<std::string, AgentState> Agents;
  std::deque<Wire> Wires;
  std::set<std::string> Dead, Paused;
  std::vector<std::pair<std::string, ServiceCall>>
      ServiceCalls; ///< Calls to services, by agent.
  std::vector<std::pair<std::string, EngineRequest>>
      EngineRequests; ///< Requests to engines, by agent.
  std::map<uint64_t, std::string> Texts;
  std::map<uint64_t, FinalAnswer> Finals;
  std::set<std::string> SlowServices; ///< Their calls get no answer.
  /** Called before each delivery; true: towards Wire::To. */
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

  std::map<std::string, std::string> NameAt; ///< Process at each address.

  /** Allocates another address for a process. */
  std::string addressOf(const std::string &Name) {
    const std::string At = "127.0.0.1:" + std::to_string(10000 + NameAt.size());
    NameAt[At] = Name;
    return At;
  }

  /** Gives the settings that all processes share but for their names. */
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

  /** Starts or restarts an agent of a model or of a plain service. */
  void startAgent(const std::string &Name, bool Model) {
    Settings Config = settingsOf(Name);
    (Model ? Config.EngineUrl : Config.ServiceUrl) = "http://back-end";
    Agents[Name] = makeAgent(Config, Incarnation{NextRun++}, Now);
    Dead.erase(Name);
    Effects Out;
    if (!Model)
      handleServiceProbe(Agents[Name], Outcome<std::string>{Name, {}}, Now,
                         Out);
    perform(Name, Out);
  }

  /** Starts entries e0.., model agents m0.. and service agents s0.., publishes
   * the document and lets them link up and load the weights. */
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
    advanceTime(Millis(1000));
    for (auto &[Name, Agent] : Agents)
      if (!Agent.Config.EngineUrl.empty())
        reportWeightsLoaded(Name);
    advanceTime(Millis(1000));
  }

  /** Makes an agent's engine report that the wanted weights are loaded. */
  void reportWeightsLoaded(const std::string &Name) {
    AgentState &Agent = Agents[Name];
    EngineState State;
    State.Run = "run";
    State.Weights = Agent.Weights.Wanted.Set;
    Effects Out;
    handleEngineReport(Agent, Outcome<EngineState>{State, {}},
                       Agent.Weights.OrdersEnded, Now, Out);
    perform(Name, Out);
  }

  /** Lets one entry, or all, read the document from the service. */
  void publish(const std::string &Only = "") {
    for (auto &[Name, Entry] : Entries) {
      if (!Only.empty() && Only != Name)
        continue;
      Effects Out;
      handleEntryConfigRead(Entry, Outcome<std::string>{Doc.dump(), {}}, Now,
                            Now, Out);
      perform(Name, Out);
    }
  }

  /** Sends a request to an entry; gives the number of the call. */
  uint64_t sendRequest(const std::string &Entry, const std::string &Class,
                       const std::string &Key = "",
                       const std::string &Token = "",
                       const std::string &Body = "{}") {
    CallRequest CallerRequest;
    CallerRequest.Call.Value = NextCall++;
    CallerRequest.Class.Value = Class;
    CallerRequest.Workspace.Value = "huts";
    CallerRequest.Key.Value = Key;
    CallerRequest.Token = Token;
    CallerRequest.Body = Body;
    Effects Out;
    startCall(Entries.at(Entry), CallerRequest, Now, Out);
    perform(Entry, Out);
    deliverAll();
    return CallerRequest.Call.Value;
  }

  /** Advances time tick by tick, and delivers messages after each. */
  void advanceTime(Millis Length) {
    const TimePoint End = Now + Length;
    while (Now < End) {
      Now += Millis(50);
      for (auto &Row : Entries)
        runUnlessStopped(Row.first, [&](Effects &e) {
          handleEntryTick(Row.second, Now, e);
        });
      for (auto &Row : Agents)
        runUnlessStopped(Row.first, [&](Effects &e) {
          handleAgentTick(Row.second, Now, e);
        });
      deliverAll();
    }
  }

  /** Runs a step of a process and its effects, unless dead or paused. */
  template <typename Step>
  void runUnlessStopped(const std::string &Name, Step Body) {
    if (Dead.contains(Name) || Paused.contains(Name))
      return;
    Effects Out;
    Body(Out);
    perform(Name, Out);
  }

  /** Kills a process: its connections break at once. */
  void kill(const std::string &Name) {
    Dead.insert(Name);
    for (Wire &One : Wires)
      if (One.Open && (One.From == Name || One.To == Name))
        cut(One);
  }

  /** Breaks a connection: both ends notice, queued messages are lost. */
  void cut(Wire &One) {
    One.Open = false;
    One.Queue.clear();
    notifyClosed(One.From, One.FromEnd);
    notifyClosed(One.To, One.ToEnd);
  }

  /** Finds the newest open connection from one process to another. */
  Wire &findWire(const std::string &From, const std::string &To) {
    const auto it =
        std::find_if(Wires.rbegin(), Wires.rend(), [&](const Wire &One) {
          return One.Open && One.From == From && One.To == To;
        });
    if (it == Wires.rend())
      throw std::runtime_error("no open connection from " + From + " to " + To);
    return *it;
  }

  /** Tells a process that its link was closed. */
  void notifyClosed(const std::string &Name, LinkId End) {
    if (Dead.contains(Name))
      return;
    Effects Out;
    if (Entries.contains(Name))
      handleEntryLinkClosed(Entries.at(Name), End, Now, Out);
    else
      handleAgentLinkClosed(Agents.at(Name), End, Now);
    perform(Name, Out);
  }

  /** Tells a process that its link was opened. */
  void notifyOpened(const std::string &Name, LinkId End) {
    Effects Out;
    if (Entries.contains(Name))
      handleEntryLinkOpened(Entries.at(Name), End, Now, Out);
    else
      handleAgentLinkOpened(Agents.at(Name), End, Now, Out);
    perform(Name, Out);
  }

  /** Delivers a message to a process. */
  void deliver(const std::string &Name, LinkId End, const Message &m) {
    Effects Out;
    if (Entries.contains(Name))
      handleEntryMessage(Entries.at(Name), End, m, Now, Out);
    else
      handleAgentMessage(Agents.at(Name), End, m, Now, Out);
    perform(Name, Out);
  }

  /** Delivers all queued messages, and those that they cause. */
  void deliverAll() {
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

  /** Connects two processes; fails at once when the peer is dead. */
  void openWire(const std::string &From, LinkId FromEnd,
                const std::string &To) {
    if (Dead.contains(To)) {
      notifyClosed(From, FromEnd);
      return;
    }
    Wires.push_back({From, To, FromEnd, LinkId{NextEnd++}, true, false, {}});
    const LinkId ToEnd = Wires.back().ToEnd;
    notifyOpened(From, FromEnd);
    notifyOpened(To, ToEnd);
  }

  /** Queues a message on the connection that a link belongs to. */
  void queueMessage(const std::string &From, LinkId End, const Message &m) {
    for (Wire &One : Wires) {
      if (!One.Open)
        continue;
      if (One.From == From && One.FromEnd == End)
        One.Queue.emplace_back(true, m);
      else if (One.To == From && One.ToEnd == End)
        One.Queue.emplace_back(false, m);
    }
  }

  /** Holds the connection of a closed link: its other end notices only by
   * silence. */
  void holdWire(const std::string &From, LinkId End) {
    for (Wire &One : Wires)
      if (One.Open && ((One.From == From && One.FromEnd == End) ||
                       (One.To == From && One.ToEnd == End)))
        One.Held = true;
  }

  /** Answers a call to an agent's service. */
  void answerServiceCall(const std::string &Agent, const AttemptId &Which) {
    Effects Out;
    handleServiceAnswer(
        Agents.at(Agent), Which,
        Outcome<ServiceAnswer>{ServiceAnswer{200, "done " + Which.Value}, {}},
        Now, Out);
    perform(Agent, Out);
    deliverAll();
  }

  /** Executes the effects of a process, or records them. */
  void perform(const std::string &Name, const Effects &Todo) {
    for (const Effect &One : Todo)
      std::visit(
          Overloaded{[&](const OpenLink &e) {
                       openWire(Name, e.Link, NameAt.at(e.To.Value));
                     },
                     [&](const CloseLink &e) { holdWire(Name, e.Link); },
                     [&](const SendMessage &e) {
                       queueMessage(Name, e.Link, e.Content);
                     },
                     [&](const CallPart &e) { Texts[e.Call.Value] += e.Data; },
                     [&](const CallEnd &e) {
                       Finals[e.Call.Value] = {Texts[e.Call.Value], true,
                                               ErrorKind::Count, "", Ran::Yes};
                     },
                     [&](const CallError &e) {
                       Finals[e.Call.Value] = {Texts[e.Call.Value], false,
                                               e.Why.Kind, e.Token, e.Executed};
                     },
                     [&](const RunService &e) {
                       ServiceCalls.emplace_back(Name, e.Call);
                       if (!SlowServices.contains(Name))
                         answerServiceCall(Name, e.Call.Attempt);
                     },
                     [&](const RunModel &e) {
                       EngineRequests.emplace_back(Name, e.Request);
                     },
                     [](const auto &) {
                       // Logs and weights aren't simulated.
                     }},
          One);
  }
};

} // namespace jacinthpond::mesh

#endif
