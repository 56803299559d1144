/** @file rollout.cpp Order in which the workers of a model load weights. */

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

/** Number of predecessors to keep links to. */
constexpr size_t MaxPredecessors = 2;
/** Time without work at any linked agent after which a class is idle. */
constexpr Millis IdleTime{3000};
/** Share of the workers that keep serving routes during a rollout. The time for
 * a change of weights then allows three turns, each as long as the longest
 * answers, if the first one drains while the last chunks arrive. */
constexpr double RouteServingShare = 0.66;
/** How long before the expected arrival of the last chunk draining begins. */
constexpr Millis DrainAhead{1200};
/** Factor for the serving share while a class is idle. */
constexpr double IdleShareFactor = 0.5;
/** Wait for an unreachable worker, beyond the timeouts of its link. */
constexpr Millis AbsentTimeout{1000};

/**
 * Gives how many workers of this model may load at the same time. While the
 * class is idle, the share that has to serve is halved.
 */
size_t maxConcurrentLoads(const AgentState &Agent, bool Idle) {
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

/** Says whether a worker has running or queued requests. */
bool hasWork(const WorkerLoad &Load) { return Load.Running + Load.Waiting > 0; }

/** Updates the time at which this worker or a linked agent last had work. */
void updateLastWork(AgentState &Agent, TimePoint Now) {
  const bool Work = hasWork(Agent.Fleet.Load) ||
                    Agent.Counters.Started != Agent.Rollout.LastStartedCount ||
                    std::ranges::any_of(Agent.Fleet.Links, [](const auto &Row) {
                      return Row.second.Peer.Sender == Role::Agent &&
                             hasWork(Row.second.Load);
                    });
  Agent.Rollout.LastStartedCount = Agent.Counters.Started;
  if (Work)
    Agent.Rollout.LastWorkAt = Now;
}

/** Says whether the class is idle, judged by all linked agents as a sample. */
bool isClassIdle(const AgentState &Agent, TimePoint Now) {
  return Now - Agent.Rollout.LastWorkAt >= IdleTime;
}

/** Finds the ready link to a peer, whichever side opened it. */
const PeerLink *findReadyLink(const Membership &Fleet, const HostName &Name) {
  const auto it = std::ranges::find_if(Fleet.Links, [&](const auto &Row) {
    return Row.second.State == LinkState::Ready && Row.second.Peer.Name == Name;
  });
  return it == Fleet.Links.end() ? nullptr : &it->second;
}

/** Says whether a worker serves the wanted set. */
bool isServingWanted(const AgentState &Agent, const PeerLink *Link) {
  return Link != nullptr && Link->Load.Weights == Agent.Weights.Wanted.Set &&
         (Link->Load.State == WorkerState::Warming ||
          Link->Load.State == WorkerState::Serving);
}

/** Says whether the contents to fetch are expected within DrainAhead. */
bool isNearlyComplete(const TransferState &Transfer) {
  if (Transfer.BytesPerSecond == 0 || Transfer.Digests.empty())
    return false;
  const uint64_t Left = Transfer.ToFetch.size() * Transfer.ChunkBytes;
  return Left * 1000 / Transfer.BytesPerSecond <=
         static_cast<uint64_t>(DrainAhead.count());
}

/** Logs that the wanted set is still not loaded, after ever longer times. */
void logLateSet(AgentState &Agent, TimePoint Now, Effects &Out) {
  const TransferState &Transfer = Agent.Transfer;
  RolloutState &Rollout = Agent.Rollout;
  if (Agent.Weights.Loaded == Agent.Weights.Wanted.Set ||
      Transfer.Set != Agent.Weights.Wanted.Set || Transfer.Set.Value.empty()) {
    Rollout.WaitingFor = {};
    Rollout.NextLateLog = FirstLateLog;
    return;
  }
  const Duration Waited = Now - Transfer.StartedAt;
  if (Waited < Rollout.WaitingFor) // Another set.
    Rollout.NextLateLog = FirstLateLog;
  Rollout.WaitingFor = Waited;
  if (Rollout.WaitingFor < Rollout.NextLateLog)
    return;
  Rollout.NextLateLog *= 2;
  const std::string First = Transfer.Missing.empty()
                                ? "-"
                                : std::to_string(*Transfer.Missing.begin());
  Out.push_back(LogNote{
      LogPart::Weights, LogLevel::Warn,
      "event=set_late set=" + Transfer.Set.Value +
          " ms=" + std::to_string(toMillis(Rollout.WaitingFor).count()) +
          " missing=" + std::to_string(Transfer.Missing.size()) + " first=" +
          First + " to_fetch=" + std::to_string(Transfer.ToFetch.size()) +
          " failed_orders=" + std::to_string(Agent.Weights.FailedOrders)});
}

/** Resets the state of the wait for another set. */
void beginRollout(RolloutState &Rollout, const Digest &Set) {
  Rollout.Set = Set;
  Rollout.Predecessors.clear();
}

/**
 * Updates the observed state of a predecessor. A link that is lost and opened
 * again is no progress.
 */
const PredecessorView &updatePredecessor(RolloutState &Rollout,
                                         const HostName &Name,
                                         const PeerLink *Link, TimePoint Now) {
  PredecessorView &View =
      Rollout.Predecessors.try_emplace(Name, PredecessorView{Now, 0, Now})
          .first->second;
  if (Link == nullptr)
    return View;
  View.LastAnswered = Now;
  // Until it learnt of this set, it reported the chunks of the previous one.
  const bool NewSet = Link->Load.ChunksHeld < View.MaxChunksHeld / 2;
  if (NewSet || Link->Load.ChunksHeld > View.MaxChunksHeld) {
    View.MaxChunksHeld = Link->Load.ChunksHeld;
    View.LastProgress = Now;
  }
  return View;
}

/** State of the wait for a predecessor. */
enum class Wait : uint8_t { Done, Pending, GivenUp };

/**
 * Checks whether to wait for a predecessor any longer. A dead or cut off worker
 * never answers, and one with a broken engine never serves. Both would block
 * their chain forever, so the wait ends after a timeout.
 */
Wait checkPredecessor(RolloutState &Rollout, const AgentState &Agent,
                      const HostName &Name, TimePoint Now) {
  const PeerLink *Link = findReadyLink(Agent.Fleet, Name);
  if (isServingWanted(Agent, Link))
    return Wait::Done;
  const PredecessorView &View = updatePredecessor(Rollout, Name, Link, Now);
  const Duration Absent =
      Agent.Fleet.Times.Silence + Agent.Fleet.Times.Reconnect + AbsentTimeout;
  const bool Leaving =
      Link != nullptr && Link->Load.State == WorkerState::Leaving;
  const bool Over =
      Now - View.LastAnswered >= Absent ||
      Now - View.LastProgress >= Millis(Agent.Config.RolloutPatienceMillis);
  return Leaving || Over ? Wait::GivenUp : Wait::Pending;
}

/**
 * Says whether a load order is safe before peers were asked for the
 * configuration in force: the engine takes orders only from its own host and
 * has no weights loaded. After a restart of the whole system, all callers wait
 * for these orders.
 */
bool isLoadHarmless(const AgentState &Agent) {
  return Agent.Weights.StagedAtEngine && Agent.Weights.Loaded.Value.empty();
}

/** Says whether this agent's view is recent enough to order a load. */
bool mayOrder(const AgentState &Agent) {
  return isViewFresh(Agent.Fleet) || isLoadHarmless(Agent);
}

/**
 * Says whether it is this worker's turn to load. Checks all predecessors each
 * time, so that their timeouts already run while chunks are still arriving.
 */
bool isTurnToLoad(AgentState &Agent, TimePoint Now) {
  Wait First = Wait::GivenUp;
  for (const size_t n : predecessors(Agent, isClassIdle(Agent, Now))) {
    const HostName &Name = Agent.Transfer.Plan.Hosts[n].Name;
    const Wait One = checkPredecessor(Agent.Rollout, Agent, Name, Now);
    if (First == Wait::GivenUp)
      First = One;
  }
  return First != Wait::Pending;
}

} // namespace

std::vector<size_t> predecessors(const AgentState &Agent, bool Idle) {
  std::vector<size_t> Found;
  const ChunkPlan &Plan = Agent.Transfer.Plan;
  if (!isPlanned(Plan))
    return Found;
  const size_t Step = maxConcurrentLoads(Agent, Idle);
  for (size_t n = Plan.Self; n >= Step && Found.size() < MaxPredecessors;) {
    n -= Step;
    Found.push_back(n);
  }
  return Found;
}

std::vector<LinkId> updatePeerLinks(AgentState &Agent, Effects &Out) {
  std::vector<PeerAddress> Peers = chunkPeers(Agent.Transfer.Plan);
  std::vector<size_t> Before = predecessors(Agent, false);
  std::ranges::copy(predecessors(Agent, true), std::back_inserter(Before));
  for (const size_t n : Before) {
    const PlanHost &Host = Agent.Transfer.Plan.Hosts[n];
    if (std::ranges::find(Peers, Host.Name, &PeerAddress::Name) == Peers.end())
      Peers.push_back({Host.Name, Host.AgentAddress});
  }
  return setWantedPeers(Agent.Fleet, Peers, Out);
}

void loadInTurn(AgentState &Agent, TimePoint Now, Effects &Out) {
  WeightsState &Weights = Agent.Weights;
  updateLastWork(Agent, Now);
  logLateSet(Agent, Now, Out);
  if (Weights.Loaded == Weights.Wanted.Set) {
    // A former incarnation of this agent may have ordered the load.
    Weights.Draining = false;
    dropPreviousChunks(Weights);
  }
  const bool Needed = Weights.Loaded != Weights.Wanted.Set &&
                      !Weights.Loading && Agent.BackEndUp && mayOrder(Agent);
  if (!Needed)
    return;
  if (Agent.Rollout.Set != Weights.Wanted.Set)
    beginRollout(Agent.Rollout, Weights.Wanted.Set);
  const bool Turn = isTurnToLoad(Agent, Now);
  const bool Near =
      Agent.Weights.StagedAtEngine && isNearlyComplete(Agent.Transfer);
  if (!isWantedSetComplete(Weights) && !Near) {
    // The last chunks do not arrive: serve on rather than drain for nothing.
    Weights.Draining = false;
    return;
  }
  const bool TooOld =
      isTooOldToServe(Weights, replacedWeightsTime(Agent.Config), Now);
  // A worker that serves nothing need not wait for its turn.
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
  if (!isWantedSetComplete(Weights))
    return;
  // An agent that was paused or cut off knows that its view is out of date, and
  // another may own the host by now. It orders nothing until it has asked its
  // peers. Runs whose callers have gone do not delay the order.
  if (Agent.Gate.Running == 0 && Now >= Weights.NextOrder && mayOrder(Agent))
    sendLoadOrder(Weights, versionInForce(Agent.View), Out);
}

} // namespace jacinthpond
