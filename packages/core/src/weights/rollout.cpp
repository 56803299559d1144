/** @file rollout.cpp In which order the workers of a model load. */

#include "weights/rollout_func.h"

#include "attempts/attempt_func.h"
#include "configuration/config_view_func.h"
#include "configuration/document_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Workers before this one that it keeps links to. */
constexpr size_t MaxPredecessors = 2;
/** Time without work in view after which a class counts as idle. */
constexpr Millis IdleTime{3000};
/** Share of the workers that serve routes in a rollout: the time for a change
 * of weights allows three turns, each as long as the longest answers, when the
 * first one begins to drain while the last chunks come. */
constexpr double RouteServingShare = 0.66;
/** Time before the set is whole at which draining begins. */
constexpr Millis DrainAhead{1200};
/** Part of the serving share that is kept while a class is idle. */
constexpr double IdleShareFactor = 0.5;
/** Wait for one that does not answer, beyond the silence of its link. */
constexpr Millis AbsentLimit{1000};

/**
 * Workers of this model that may be without a loaded set at a time. While the
 * class is idle the share that has to serve is halved.
 */
size_t loadsAtATime(const AgentState &Agent, bool Idle) {
  const Document &Doc = *Agent.View.InForce;
  const Worker *Self = findWorker(Doc, Agent.Fleet.Self.Name);
  double Share = 0;
  for (const WorkClass &Class : Doc.Classes)
    if (Self != nullptr && servesClass(*Self, Class))
      Share = std::max(Share, Class.ServingShare);
  const bool OnRoutes =
      Self != nullptr &&
      std::ranges::any_of(Doc.Services, [&](const Service &One) {
        return One.Model == Self->Model;
      });
  if (OnRoutes)
    Share = std::max(Share, RouteServingShare);
  const auto All = static_cast<double>(Agent.Transfer.Plan.Hosts.size());
  if (Idle)
    Share *= IdleShareFactor;
  return std::max(size_t{1}, static_cast<size_t>((1.0 - Share) * All));
}

bool hasWork(const WorkerLoad &Load) { return Load.Running + Load.Waiting > 0; }

/** Notes when this worker or an agent in view last had work. */
void noteWork(AgentState &Agent, TimePoint Now) {
  const bool Work = hasWork(Agent.Fleet.Load) ||
                    Agent.Counters.Started != Agent.Rollout.StartedBefore ||
                    std::ranges::any_of(Agent.Fleet.Links, [](const auto &Row) {
                      return Row.second.Peer.Sender == Role::Agent &&
                             hasWork(Row.second.Load);
                    });
  Agent.Rollout.StartedBefore = Agent.Counters.Started;
  if (Work)
    Agent.Rollout.LastWork = Now;
}

/** The linked agents are a sample of the class: all must have been idle. */
bool classIsIdle(const AgentState &Agent, TimePoint Now) {
  return Now - Agent.Rollout.LastWork >= IdleTime;
}

/** Finds a ready link to a peer, whoever opened it. */
const PeerLink *linkTo(const Membership &Fleet, const HostName &Name) {
  const auto it = std::ranges::find_if(Fleet.Links, [&](const auto &Row) {
    return Row.second.State == LinkState::Ready && Row.second.Peer.Name == Name;
  });
  return it == Fleet.Links.end() ? nullptr : &it->second;
}

bool servesWanted(const AgentState &Agent, const PeerLink *Link) {
  return Link != nullptr && Link->Load.Weights == Agent.Weights.Wanted.Set &&
         (Link->Load.State == WorkerState::Warming ||
          Link->Load.State == WorkerState::Serving);
}

/** Says whether the chunks that are missing come within a moment. */
bool nearlyWhole(const TransferState &Transfer) {
  if (Transfer.BytesPerSecond == 0 || Transfer.Digests.empty())
    return false;
  const uint64_t Left = Transfer.Missing.size() * Transfer.ChunkBytes;
  return Left * 1000 / Transfer.BytesPerSecond <=
         static_cast<uint64_t>(DrainAhead.count());
}

void beginRollout(RolloutState &Rollout, const Digest &Set) {
  Rollout.Set = Set;
  Rollout.Seen.clear();
}

/**
 * Notes what is seen of a worker. A link that comes and goes is no progress.
 */
const PredecessorView &notePredecessor(RolloutState &Rollout,
                                       const HostName &Name,
                                       const PeerLink *Link, TimePoint Now) {
  PredecessorView &View =
      Rollout.Seen.try_emplace(Name, PredecessorView{Now, 0, Now})
          .first->second;
  if (Link == nullptr)
    return View;
  View.LastAnswered = Now;
  // It held all of the set before until it heard of this one.
  const bool Began = Link->Load.ChunksHeld < View.MostHeld / 2;
  if (Began || Link->Load.ChunksHeld > View.MostHeld) {
    View.MostHeld = Link->Load.ChunksHeld;
    View.LastProgress = Now;
  }
  return View;
}

/** How far the wait for a worker before this one has come. */
enum class Wait : uint8_t { Done, Pending, GivenUp };

/**
 * Looks at a worker before this one. A dead or cut off worker never answers,
 * one whose engine is broken never serves: both would hold up their chain for
 * ever, so each is given up after a limit.
 */
Wait waitFor(RolloutState &Rollout, const AgentState &Agent,
             const HostName &Name, TimePoint Now) {
  const PeerLink *Link = linkTo(Agent.Fleet, Name);
  if (servesWanted(Agent, Link))
    return Wait::Done;
  const PredecessorView &View = notePredecessor(Rollout, Name, Link, Now);
  const Duration Absent =
      Agent.Fleet.Times.Silence + Agent.Fleet.Times.Reconnect + AbsentLimit;
  const bool Leaving =
      Link != nullptr && Link->Load.State == WorkerState::Leaving;
  const bool Over =
      Now - View.LastAnswered >= Absent ||
      Now - View.LastProgress >= Millis(Agent.Config.RolloutPatienceMillis);
  return Leaving || Over ? Wait::GivenUp : Wait::Pending;
}

/**
 * Says whether an order can do no harm although peers were not asked yet what
 * is wanted: only this agent orders at an engine that its own host alone may
 * command, and it serves nothing until then. After a start of everything all
 * callers wait for these orders.
 */
bool hasNothingToLose(const AgentState &Agent) {
  return Agent.Weights.AtEngine && Agent.Weights.Loaded.Value.empty();
}

bool mayOrder(const AgentState &Agent) {
  return viewIsFresh(Agent.Fleet) || hasNothingToLose(Agent);
}

/**
 * Says whether it is this worker's turn. All workers before it are looked at
 * each time, so that the limits run while the chunks still come.
 */
bool isTurnToLoad(AgentState &Agent, TimePoint Now) {
  Wait First = Wait::GivenUp;
  for (const size_t n : predecessors(Agent, classIsIdle(Agent, Now))) {
    const HostName &Name = Agent.Transfer.Plan.Hosts[n].Name;
    const Wait One = waitFor(Agent.Rollout, Agent, Name, Now);
    if (First == Wait::GivenUp)
      First = One;
  }
  return First != Wait::Pending;
}

} // namespace

std::vector<size_t> predecessors(const AgentState &Agent, bool Idle) {
  std::vector<size_t> Found;
  const ChunkPlan &Plan = Agent.Transfer.Plan;
  if (!planned(Plan))
    return Found;
  const size_t Step = loadsAtATime(Agent, Idle);
  for (size_t n = Plan.Self; n >= Step && Found.size() < MaxPredecessors;) {
    n -= Step;
    Found.push_back(n);
  }
  return Found;
}

std::vector<LinkId> followPeers(AgentState &Agent, Effects &Out) {
  std::vector<PeerAddress> Peers = chunkPeers(Agent.Transfer.Plan);
  std::vector<size_t> Before = predecessors(Agent, false);
  std::ranges::copy(predecessors(Agent, true), std::back_inserter(Before));
  for (const size_t n : Before) {
    const PlanHost &Host = Agent.Transfer.Plan.Hosts[n];
    if (std::ranges::find(Peers, Host.Name, &PeerAddress::Name) == Peers.end())
      Peers.push_back({Host.Name, Host.At});
  }
  return wantPeers(Agent.Fleet, Peers, Out);
}

void loadInTurn(AgentState &Agent, TimePoint Now, Effects &Out) {
  WeightsState &Weights = Agent.Weights;
  noteWork(Agent, Now);
  if (Weights.Loaded == Weights.Wanted.Set) {
    // The engine may have taken them from the agent before this one.
    Weights.Draining = false;
    dropFormerChunks(Weights);
  }
  const bool Needed = Weights.Loaded != Weights.Wanted.Set &&
                      !Weights.Loading && Agent.BackEndUp && mayOrder(Agent);
  if (!Needed)
    return;
  if (Agent.Rollout.Set != Weights.Wanted.Set)
    beginRollout(Agent.Rollout, Weights.Wanted.Set);
  const bool Turn = isTurnToLoad(Agent, Now);
  // One that serves nothing takes nothing away by loading at once.
  const bool Near = Agent.Weights.AtEngine && nearlyWhole(Agent.Transfer);
  if (!wholeSetHeld(Weights) && !Near) {
    // The last chunks stay out: a worker that drains for nothing serves on.
    Weights.Draining = false;
    return;
  }
  const bool TooOld =
      isTooOldToServe(Weights, formerWeightsTime(Agent.Config), Now);
  if (mayServe(Weights) && !Turn && !TooOld)
    return;
  if (!Weights.Draining) {
    Weights.Draining = true;
    Out.push_back(LogNote{
        LogPart::Weights, LogLevel::Info,
        "event=drain_for_load set=" + Weights.Wanted.Set.Value +
            " busy=" + std::to_string(Agent.Gate.Running) +
            " missing=" + std::to_string(Agent.Transfer.Missing.size())});
    refuseWaiting(Agent, ErrorKind::WeightsNotReady, Out);
  }
  if (!wholeSetHeld(Weights))
    return;
  // An agent that was paused or cut off knows that its view is old; another
  // may own the host by now. It orders nothing until it has asked its peers.
  // Runs that nobody waits for any more do not hold the order up.
  if (Agent.Gate.Running == 0 && Now >= Weights.NextOrder && mayOrder(Agent))
    orderLoad(Weights, versionInForce(Agent.View), Out);
}

} // namespace jacinthpond
