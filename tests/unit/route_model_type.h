/** @file route_model_type.h Bounds and plain types of the model of
 * route_model.h.
 */

#ifndef JACINTHPOND_TESTS_UNIT_ROUTE_MODEL_TYPE_H
#define JACINTHPOND_TESTS_UNIT_ROUTE_MODEL_TYPE_H

#include "attempts/agent_type.h"
#include "attempts/entry_type.h"
#include "forwarding/crash_watch_type.h"
#include "forwarding/fleet_snapshot_type.h"
#include "forwarding/place_search_type.h"
#include "forwarding/repeat_budget_type.h"
#include "forwarding/route_match_type.h"
#include "forwarding/server_pool_type.h"
#include "platform/store_document.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace jacinthpond::model {

using Json = nlohmann::json;

/** Bounds that the simulated workers hold the fleet to. */
constexpr Millis WeightsBound{8000};
constexpr Millis ConfigBound{2000};
constexpr Millis DomainBound{5000};
/** Time without disturbance after which a process has to keep them. */
constexpr Millis Contact{3000};
/** Time after which an entry has to use a back end that is well. */
constexpr Millis SoundFor{5000};
/** A store that is away for less may not be missed: an entry says for 3 s after
 * its last answer that there is one, and its word stands for 2.5 s when it
 * falls silent. The entries of servers that lapse then are taken for gone until
 * they register again. */
constexpr Millis SeenAway{6000};
/** Requests a second that a cold worker bears. */
constexpr uint32_t ColdRate = 8;
/** What a worker with a rate limit of its own bears in a window: so many times
 * the limit, and a few requests more. */
constexpr Millis RateWindow{4000};
constexpr double RateOvershoot = 1.5;
constexpr double RateSlack = 5;
/** Time after an entry heard of a limit from which its requests count. */
constexpr Millis RateHeardFor{500};
/** Time after an entry heard a notice from which what it asks for holds. */
constexpr Millis NoticeHeardFor{500};
/** Requests that may arrive in the rest of a pause. */
constexpr uint32_t MostInPause = 2;
/** Time after the third crash by the same request at which entries know it, and
 * arrivals after that. */
constexpr Millis CrashKnownAfter{500};
constexpr uint32_t MostAfterCrashes = 2;
/** Requests in a day that may be refused for crashes that others caused. */
constexpr uint64_t MostWrongRefusals = 2;
/** The same for requests with a part that crashes back ends: the fifth crash,
 * and how many they may cause in all. */
constexpr size_t KnownPartCrash = 5;
constexpr uint32_t MostAfterPartCrashes = 3;
constexpr size_t MostPartCrashes = 8;
/** Time after which a crashed back end is back. */
constexpr Millis CrashDowntime{2500};
/** First id of requests that crash back ends. */
constexpr uint64_t FirstFatalId = uint64_t{1} << 40U;
/** Parts that sound requests share: one of few, and one of many. */
constexpr uint64_t CommonParts = 7;
constexpr uint64_t RareParts = 60;
constexpr uint32_t RepeatSlack = 10;
constexpr double RepeatRatio = 0.2;
constexpr Millis RepeatWindow{10000};
constexpr uint32_t MaxAttempts = 3;

/** What happens to the fleet from outside. */
enum class Trouble : uint8_t {
  StandStill,   ///< A process does not run for a while.
  HostStill,    ///< A worker and its agent do not run for a while.
  Restart,      ///< A process ends and starts again after a while.
  CutLink,      ///< Connections break and none come about for a while.
  HoldLink,     ///< Nothing gets through for a while; nobody is told.
  StoreAway,    ///< Nobody gets an answer of the store for a while.
  StoreAwayFor, ///< One entry or server gets none.
  NewWeights,   ///< The next version of the weights is named.
  Drain,        ///< A worker drains, ends after a while and comes back.
  WorkerEnds,   ///< A worker vanishes and starts again after a while.
  DomainOut,    ///< A domain is taken out for a while.
  KeyGone,      ///< A tenant's key is taken away, and comes back.
  RateLimit,    ///< A worker or plain back end limits its rate for a while.
  Shed,         ///< One refuses everything for a while, and asks for pauses.
  Leaves,       ///< One says so in all its answers, but not to the store.
  Fatal,        ///< Copies of a request come that crash what runs them.
  FatalPart,    ///< Requests come with a part of a prompt that does so.
  Silence,      ///< A sound worker or back end is silent, and goes on.
  Count
};

/** Kinds that the days without rate limits are drawn from. */
constexpr auto KindsWithoutRates = static_cast<size_t>(Trouble::RateLimit);

constexpr std::array<const char *, static_cast<size_t>(Trouble::Count)>
    TroubleNames = {"stand still",    "host still",  "restart",
                    "cut link",       "hold link",   "store away",
                    "store away for", "new weights", "drain",
                    "worker ends",    "domain out",  "key gone",
                    "rate limit",     "shed",        "leaves",
                    "fatal",          "fatal part",  "silence"};

/** One of them. */
struct Incident {
  Millis At{0};                       ///< Since the start of the day.
  Trouble Kind = Trouble::NewWeights; ///< What happens.
  std::string Who;                    ///< To whom; empty where it is plain.
  std::string Other;                  ///< Other end of a link.
  Millis Length{0};                   ///< How long.
  double PerSecond = 0;               ///< Of a rate limit.
  Millis Pause{0};                    ///< That a shedding back end asks for.
};

inline std::string text(const Incident &One) {
  std::string Line = std::to_string(One.At.count()) +
                     " ms: " + TroubleNames.at(static_cast<size_t>(One.Kind));
  for (const std::string &Part : {One.Who, One.Other})
    Line += Part.empty() ? "" : " " + Part;
  if (One.Kind == Trouble::RateLimit)
    Line += " " + std::to_string(One.PerSecond) + " a second";
  if (One.Kind == Trouble::Shed)
    Line += ", pauses of " + std::to_string(One.Pause.count()) + " ms";
  return Line + ", " + std::to_string(One.Length.count()) + " ms";
}

/** A broken rule. */
struct Broken {
  Millis At{0};     ///< When.
  std::string Rule; ///< Which one, in a word.
  std::string Text; ///< What the worker saw.
};

/** One of the two ends of a connection. */
struct WireEnd {
  std::string Who;   ///< Process.
  uint64_t Life = 0; ///< Which run of it.
  LinkId Link;       ///< Number of the link there.
  bool Open = true;  ///< That end has not dropped it.
};

/** A connection between two processes. */
struct Wire {
  std::array<WireEnd, 2> Ends; ///< Opener first.
  std::array<std::deque<std::optional<Message>>, 2>
      Queues;                       ///< Towards an end; nothing: a close.
  std::array<TimePoint, 2> LastDue; ///< Nothing overtakes.
};

/** One try of a request. */
struct Try {
  InstanceId At;                    ///< Back end that it is meant for.
  AttemptId Place;                  ///< Place there; may be empty.
  LinkId PlaceLink;                 ///< Over which link it was asked for.
  bool Asking = false;              ///< A place is waited for.
  TimePoint CallBegan;              ///< When it was sent.
  Digest SentOn;                    ///< Weights that its back end had then.
  std::optional<TimePoint> BegunAt; ///< When its answer began.
  bool BegunReported = false;       ///< Its parts are known to be sound.
};

using TryPtr = std::shared_ptr<Try>;

/** A request of a caller at an entry. */
struct Asked {
  uint64_t Id = 0;             ///< Its attempt id.
  TimePoint Sent;              ///< When the caller sent it.
  TimePoint Limit;             ///< Its deadline.
  DocumentPtr Doc;             ///< Document by which it is handled.
  const Route *From = nullptr; ///< Its route.
  ServerNeeds Needs;           ///< What it needs.
  SlotSearch Search;           ///< Agents asked.
  TryPtr Next;                 ///< Try in preparation: nothing is sent yet.
  std::vector<TryPtr> Open;    ///< Tries that were sent, at most two.
  std::vector<TryPtr> GivenUp; ///< Those that were taken from their back ends.
  bool Begun = false;          ///< Events of its answer have come.
  bool Over = false;           ///< The caller has its answer.
  bool MayHaveRun = false;     ///< Some try may have run.
  uint32_t Tries = 0;          ///< Connections asked for.
  uint32_t Reached = 0;        ///< Sends.
  uint64_t Turn = 0;           ///< Raised with each choice; for late events.
  RequestDigests Digests;      ///< The same for copies of a request.
  std::string Fatal;      ///< What of it crashes what runs it; empty: nothing.
  bool FatalPart = false; ///< That is a part of its prompt.
};

using AskedPtr = std::shared_ptr<Asked>;

/** An entry or an agent. */
struct Process {
  std::string Name;                ///< Short name.
  bool Alive = false;              ///< It has been started.
  uint64_t Life = 0;               ///< Raised by each start and end.
  TimePoint StillUntil;            ///< It does not run until then.
  uint64_t Stills = 0;             ///< How often it stood still.
  TimePoint CalmSince;             ///< End of its last disturbance.
  std::optional<EntryState> Entry; ///< Control side of an entry.
  std::optional<AgentState> Agent; ///< Control side of an agent.
  ConfigVersion Highest;           ///< Newest version that it had.
  // Traffic side of an entry.
  DocumentPtr Doc;                       ///< Document it was given.
  RouteIndex Index;                      ///< Look-ups into it.
  ServerPool Pool;                       ///< Back ends.
  FleetSnapshot Fleet;                   ///< What it was told of the fleet.
  PassedAgentReports Told;               ///< What it was told of agents.
  RepeatBudget Repeats;                  ///< Its repeats.
  CrashWatch Crashes;                    ///< Back ends that may have crashed.
  std::map<AttemptId, AskedPtr> Waiting; ///< Requests that ask for a place.
  uint64_t Places = 0;                   ///< Places asked for.
  // Its reader of the store.
  uint64_t Reads = 0;  ///< Readings so far.
  uint64_t Copied = 0; ///< Revision of its copy; 0: none.
  LastPublished Last;  ///< What its copy stood for.
  // Beside an agent.
  uint64_t OrdersEnded = 0; ///< Load orders that the worker answered.
};

/** A request on its way to a worker. */
struct Passed {
  AskedPtr Of;         ///< Which request.
  TryPtr This;         ///< Which try of it.
  std::string Entry;   ///< Who sent it.
  uint64_t Life = 0;   ///< Which run of the entry.
  InstanceId Expected; ///< Run of the worker that is meant.
  std::string Version; ///< Version demanded; empty: any.
  TimePoint Sent;      ///< When it was sent.
  std::string Run;     ///< Name of the run of the worker that is meant.
  bool First = true;   ///< First send of the request.
};

/** What an entry was told by a back end. */
struct Told {
  TimePoint At;       ///< When it heard it.
  uint64_t Life = 0;  ///< Which run of the entry.
  TimePoint Until;    ///< End of a pause, from when it was asked for.
  uint32_t Later = 0; ///< Requests of it that arrived in the pause since.
};

/** Notices in the headers of an answer. */
struct Notices {
  Millis Pause{0};      ///< Pause that is asked for; 0: none.
  bool Leaving = false; ///< The back end is shutting down.
  TimePoint At;         ///< When the answer was sent.
};

/** A worker, or a plain back end. */
struct Server {
  std::string Name;                 ///< Also the name of its agent.
  std::string Address;              ///< Where it takes requests.
  std::string Zone;                 ///< Failure domain.
  bool Model = false;               ///< It has weights, and an agent.
  bool Alive = false;               ///< It runs.
  uint64_t Life = 0;                ///< Raised by each start and end.
  TimePoint StillUntil;             ///< It does not run until then.
  InstanceId Id;                    ///< This run.
  uint64_t Version = 0;             ///< Weights; 0: none.
  bool Busy = false;                ///< It carries out an order.
  bool Draining = false;            ///< It says so.
  TimePoint ColdUntil;              ///< Bears little until then.
  uint32_t Running = 0;             ///< Requests.
  std::set<std::string> Staged;     ///< Chunks.
  std::deque<TimePoint> ColdStarts; ///< Requests of the last second.
  std::optional<double> Limit;      ///< Requests a second that it takes.
  bool Reports = false;             ///< Its reports name the limit as well.
  TimePoint LimitSince;             ///< When that limit was set.
  std::map<std::string, TimePoint> ToldOfLimit; ///< Entries that heard of it.
  std::deque<TimePoint> Limited; ///< Requests of them in the last window.
  Millis Pause{0};          ///< It sheds all load and asks for this; 0: not.
  bool SaysLeaving = false; ///< Its answers say that it shuts down.
  std::map<std::string, Told> PausedFor;   ///< Entries that it asked.
  std::map<std::string, Told> ToldLeaving; ///< Entries that it told.
  std::optional<TimePoint> LeaseEnd;       ///< Its entry lapses then.
  TimePoint BackAt;     ///< When it registers again after that.
  TimePoint SoundSince; ///< Nothing was wrong with it since then.
};

/** What is to be done at some time. */
struct Step {
  TimePoint At;               ///< When.
  uint64_t Number = 0;        ///< Those of one time are done in this order.
  std::function<void()> Work; ///< What.

  bool operator>(const Step &Other) const {
    return std::tie(At, Number) > std::tie(Other.At, Other.Number);
  }
};

/** How a worker answers. */
enum class Answer : uint8_t { Whole, Misdirected, NotRun, Broke };

} // namespace jacinthpond::model

#endif
