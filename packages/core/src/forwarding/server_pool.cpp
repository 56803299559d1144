/** @file server_pool.cpp Choosing a back end for each attempt. */

#include "forwarding/server_pool_func.h"

#include "admission/first_part_func.h"
#include "admission/server_backoff_func.h"
#include "admission/server_rate_func.h"
#include "base/hash_func.h"
#include "base/random_func.h"
#include "forwarding/liveness_func.h"
#include "forwarding/rate_share_func.h"
#include "forwarding/server_notice_func.h"

#include <algorithm>
#include <cmath>

namespace jacinthpond {

ServerView *findServer(ServerPool &Pool, const InstanceId &Id) {
  const auto it = Pool.Servers.find(Id);
  return it == Pool.Servers.end() ? nullptr : &it->second;
}

const ServerView *findServer(const ServerPool &Pool, const InstanceId &Id) {
  const auto it = Pool.Servers.find(Id);
  return it == Pool.Servers.end() ? nullptr : &it->second;
}

bool hasAgent(const ServerView &View) {
  return View.Agent && View.Agent->Fresh;
}

namespace {

/** Time for which a back end gets no requests after its first failure. */
constexpr Millis FirstAvoidTime{300};
/** Doublings of that time for consecutive failures. */
constexpr uint32_t MaxAvoidDoublings = 4;
/** Weight of one answer in the moving average of the error share. */
constexpr double ErrorWeight = 0.15;
/** Error share that is attributed to the requests, not to the back end. */
constexpr double ToleratedErrorShare = 0.25;
/** Score penalty for errors, in requests for each unit of the error share
 * above the tolerated one. */
constexpr double ErrorPenalty = 40;
/** Score penalty, in requests, once the back end told another process that it
 * is shutting down: it will refuse requests soon. */
constexpr double LeavingPenalty = 40;
/** Score penalty, in requests, while the agent replies late or the host does
 * not answer a probe. */
constexpr double LateReplyPenalty = 40;
/**
 * Score penalty of a back end in another domain, as a share of its slots.
 * Sending there costs traffic between regions and a round trip for each slot
 * request. Busier back ends generate more slowly, so requests go to another
 * domain before the near ones are full.
 */
constexpr double OtherDomainPenalty = 0.35;
/** Prefill time that counts as much as one open request. */
constexpr Millis PrefillPerRequest{25};
/** Half-life of a reported load. */
constexpr Millis LoadHalfLife{1500};
/** Weight of the previous mean answer time; a new answer has weight 1. */
constexpr int MeanTimeWeight = 15;
/** Assumed answer time before any answer was seen. */
constexpr Millis InitialAnswerTime{500};
/** Share of a route's target that may be spent queued at the back end. */
constexpr double QueueTimeShare = 0.35;
/** Bounds of the retry delay that a refused caller is given. */
constexpr Millis MinRetryDelay{150};
constexpr Millis MaxRetryDelay{2500};
/** Time after the deadline of former weights in which a request that was sent
 * before it may still start. Transit to the back end takes less than the rest
 * of the margin. */
constexpr Millis MaxStartDelay{800};
/** Time for which a back end with unexpected weights, or with another instance
 * at its address, is avoided; a newer report arrives before it ends. */
constexpr Millis MismatchAvoidTime{500};

/** Idle connections to one back end that an entry keeps at most. */
constexpr size_t MaxIdleConnections = 24;
/** Half of the connections that a back end accepts may be idle; the others are
 * reserved for open requests. */
constexpr uint32_t IdleConnectionDivisor = 2;

/** Gives a random number from 0 to 1, without 1. */
double randomFraction(ServerPool &Pool) {
  return static_cast<double>(nextRandom(Pool.Random) >> 11U) /
         static_cast<double>(uint64_t{1} << 53U);
}

/** Finds a service in the document in force; null when there is none. */
const Service *findService(const ServerPool &Pool, const ServiceName &Name) {
  if (Pool.Doc == nullptr)
    return nullptr;
  const auto it = std::ranges::find(Pool.Doc->Services, Name, &Service::Name);
  return it == Pool.Doc->Services.end() ? nullptr : &*it;
}

/** Records the total number of requests that a back end reported. */
void recordReportedRequests(ServerView &View, uint32_t Busy, TimePoint Now) {
  View.OtherRequests = Busy > View.Open ? Busy - View.Open : 0;
  View.LoadReportedAt = Now;
}

/** Updates the moving average of a service's answer time. */
void updateAnswerTime(std::map<ServiceName, Duration> &Means,
                      const ServiceName &Name, Duration Took) {
  Duration &Mean = Means.try_emplace(Name, Took).first->second;
  Mean = (Mean * MeanTimeWeight + Took) / (MeanTimeWeight + 1);
}

/** Estimates the requests at a back end, those of other entries included. */
double estimatedRequests(const ServerView &View, TimePoint Now) {
  // Agents report regularly. A back end without one reports its load only with
  // answers, so an old report must lose its weight, or a back end that was busy
  // once would never be used again.
  if (hasAgent(View))
    return View.Open + View.OtherRequests;
  const double Age =
      static_cast<double>(toMillis(Now - View.LoadReportedAt).count()) /
      static_cast<double>(LoadHalfLife.count());
  return View.Open + View.OtherRequests * std::exp2(-std::max(0.0, Age));
}

/** Gives the mean time of an answer of a service. */
Duration usualAnswerTime(const ServerPool &Pool, const ServiceName &Name) {
  const auto it = Pool.UsualAnswerTime.find(Name);
  return it == Pool.UsualAnswerTime.end() ? Duration(InitialAnswerTime)
                                          : it->second;
}

/** Gives how many requests a back end may have if the last one is to start in
 * time for the route's target. */
double requestCapacity(const ServerPool &Pool, const ServerView &View,
                       const Route &Matched) {
  const auto Slots = static_cast<double>(std::max(1U, View.Listed.Slots));
  const double Usual = std::chrono::duration<double, std::milli>(
                           usualAnswerTime(Pool, View.Listed.Service))
                           .count();
  const double Wait =
      QueueTimeShare * static_cast<double>(Matched.Target.count());
  const double Waiting = Usual > 0 ? Wait * Slots / Usual : 0;
  return Slots + std::min(Waiting, Slots * 2);
}

/** Says whether a domain lies in one of some regions; an empty set allows all.
 */
bool isRegionAllowed(const std::set<RegionName> &Regions, const Document &Doc,
                     const DomainName &Domain) {
  if (Regions.empty())
    return true;
  const auto it = Doc.RegionOf.find(Domain);
  return it != Doc.RegionOf.end() && Regions.contains(it->second);
}

/** Says whether a back end had an agent that does not respond any more. */
bool hasLostAgent(const ServerView &View) {
  return View.Agent && !hasAgent(View);
}

/**
 * Says whether there is no sign of life from a back end: its agent stopped
 * responding, and the back end sent nothing since. Its host may be paused:
 * requests sent there would start after it resumes, long after their callers
 * have left. A single open request suffices to find out.
 */
bool mayBePaused(const ServerView &View) {
  return hasLostAgent(View) && View.LastByteAt <= View.SilentSince;
}

/** Finds a set among the replaced ones; null when it is none of them. */
const ReplacedWeights *findReplacedWeights(const WantedWeights &Wanted,
                                           const Digest &Set) {
  const auto it =
      std::ranges::find(Wanted.ReplacedSets, Set, &ReplacedWeights::Set);
  return it == Wanted.ReplacedSets.end() ? nullptr : &*it;
}

/** Says whether a request may start, or resume, on the weights of a back end.
 */
bool mayStartOnWeights(const ServerPool &Pool, const Service &Spec,
                       const ServerView &View, const Digest &Needed,
                       TimePoint Now) {
  if (Spec.Model.Value.empty())
    return true;
  if (View.Weights.Value.empty())
    return false;
  if (!Needed.Value.empty() && View.Weights != Needed)
    return false;
  const auto it = Pool.Wanted.find(Spec.Model);
  if (it == Pool.Wanted.end() || View.Weights == it->second.Set)
    return true;
  // With a silent agent the host may be paused: a request that is sent in time
  // would start on former weights whenever the host resumes.
  if (hasLostAgent(View))
    return false;
  const ReplacedWeights *ReplacedSet =
      findReplacedWeights(it->second, View.Weights);
  return ReplacedSet != nullptr && Now < ReplacedSet->Until;
}

/** Says whether a request was at a back end already, or got no slot there. */
bool isExcluded(const ServerNeeds &Needs, const InstanceId &Id) {
  return Needs.Tried.contains(Id) || Needs.Full.contains(Id);
}

/** Says whether a back end suits a request, regardless of its load and of what
 * it asked for. */
bool isSuitable(const ServerPool &Pool, const ServerView &View,
                const ServerNeeds &Needs, const Service &Spec, TimePoint Now) {
  const Document &Doc = *Pool.Doc;
  if (View.Listed.Service != Needs.Service || View.Listed.Draining ||
      View.Notices.Leaving || Doc.DomainsOut.contains(View.Listed.Domain))
    return false;
  if (View.UnlistedSince && Now >= Pool.KeepUnlistedUntil)
    return false;
  if (!isRegionAllowed(Needs.MatchedRoute->Regions, Doc, View.Listed.Domain) ||
      (Needs.Owner != nullptr &&
       !isRegionAllowed(Needs.Owner->Regions, Doc, View.Listed.Domain)))
    return false;
  const bool Loading =
      hasAgent(View) && (View.Agent->State == WorkerState::Loading ||
                         View.Agent->State == WorkerState::Empty);
  if (Loading && !Spec.Model.Value.empty())
    return false;
  return mayStartOnWeights(Pool, Spec, View, Needs.Weights, Now);
}

/** Counts a back end that would be usable but for a pause. */
void countPaused(ServerChoice &Choice, TimePoint Until) {
  ++Choice.Paused;
  Choice.PausedUntil = std::min(Choice.PausedUntil, Until);
}

/**
 * Gives the score of a back end, in requests; the lowest one is chosen. It sums
 * up the load, penalties and a random part below 1 that breaks ties.
 */
double loadScore(ServerPool &Pool, const ServerView &View, TimePoint Now) {
  double Score = estimatedRequests(View, Now) + randomFraction(Pool);
  const Duration Backlog =
      std::max(View.PrefillBacklog - (Now - View.LoadReportedAt), Duration{0});
  Score += static_cast<double>(toMillis(Backlog).count()) /
           static_cast<double>(PrefillPerRequest.count());
  if (View.Listed.Domain != Pool.Options.Domain)
    Score += OtherDomainPenalty * static_cast<double>(View.Listed.Slots);
  Score += ErrorPenalty * std::max(0.0, View.ErrorShare - ToleratedErrorShare);
  const bool ProbeUnanswered = View.ProbePendingSince && !hasAgent(View);
  if (Now < View.RankLastUntil || ProbeUnanswered)
    Score += LateReplyPenalty;
  if (View.Notices.LeavingElsewhere)
    Score += LeavingPenalty;
  return Score;
}

/**
 * Gives the score of a back end for a suspect. All entries prefer the same back
 * end for copies of one suspect, and other ones for other suspects: few back
 * ends are put at risk, and the next crash shows which suspect causes it.
 */
double suspectScore(const ServerView &View, const Digest &Suspect) {
  return -static_cast<double>(
      rendezvousScore(Suspect.Value, View.Listed.Id.Value));
}

/** Gives how long a refused caller waits until one of the candidates has room
 * again; randomized. */
Millis retryDelay(ServerPool &Pool, const ServerNeeds &Needs,
                  uint32_t Candidates) {
  // Servers that are gone, or load weights, take seconds to return.
  if (Candidates == 0)
    return MaxRetryDelay / 2 +
           Millis(static_cast<int64_t>(
               randomFraction(Pool) *
               static_cast<double>(MaxRetryDelay.count()) / 2));
  // Each answer that ends frees room for one request. The delay is randomized
  // so that callers that were refused together do not return together.
  const Duration Usual = usualAnswerTime(Pool, Needs.Service);
  const Millis Mean = toMillis(Usual / std::max(1U, std::min(Candidates, 4U)));
  const auto Spread = static_cast<int64_t>(static_cast<double>(Mean.count()) *
                                           (0.75 + randomFraction(Pool)));
  return std::clamp(Millis(Spread), MinRetryDelay, MaxRetryDelay);
}

} // namespace

void applyAgentReport(ServerPool &Pool, const AgentReport &Report,
                      TimePoint Now) {
  for (auto &[Id, View] : Pool.Servers) {
    if (View.Listed.At != Report.Server || View.UnlistedSince)
      continue;
    if (!Report.Fresh && hasAgent(View))
      View.SilentSince = Now;
    // An agent that restarted reports no limit because it has not learned of
    // it yet, so a report on a new link lifts none.
    const bool Lifted = !Report.PerSecond && View.Agent &&
                        View.Agent->PerSecond &&
                        View.Agent->Link == Report.Link;
    View.Agent = Report;
    if (!Report.Fresh) {
      recordAgentLinkEnd(View, Report.Silent, Now);
      continue;
    }
    View.ProbePendingSince.reset();
    recordReportedRequests(View, Report.Busy, Now);
    View.Weights = Report.Weights;
    if (Report.PerSecond)
      recordRateLimit(View.Rate, *Report.PerSecond, Now);
    if (Lifted) {
      recordNoRateLimit(View.Rate, Now);
      View.NoSlotUntil = Now;
    }
  }
}

/**
 * Chooses the back end with the lowest score, either among those whose hosts
 * are unresponsive or among all others.
 */
static ServerChoice chooseLowestScore(ServerPool &Pool,
                                      const ServerNeeds &Needs,
                                      const Service &Spec, bool Unresponsive,
                                      TimePoint Now) {
  ServerChoice Choice;
  double Best = 0;
  for (auto &[Id, View] : Pool.Servers) {
    if (isHostUnresponsive(View, Now) != Unresponsive ||
        !isSuitable(Pool, View, Needs, Spec, Now) || Now < View.AvoidUntil)
      continue;
    if (isPaused(View.Notices.Backoff, Now)) {
      countPaused(Choice, View.Notices.Backoff.Until);
      continue;
    }
    if (isExcluded(Needs, Id))
      continue;
    ++Choice.Candidates;
    // Where there is an agent, it decides whether there is room.
    const bool Full = (!hasAgent(View) &&
                       estimatedRequests(View, Now) + 1 >
                           requestCapacity(Pool, View, *Needs.MatchedRoute)) ||
                      (mayBePaused(View) && View.Open > 0) ||
                      !maySendAfterPause(View.Notices.Backoff, View.Open, Now);
    if (Full)
      continue;
    if (!isWithinRates(Pool, View, Spec, Now)) {
      ++Choice.Limited;
      Choice.PerSecond += View.Rate.PerSecond.value_or(Spec.ColdPerSecond);
      Choice.LimitedUntil = std::min(Choice.LimitedUntil,
                                     hasAgent(View) ? View.NoSlotUntil : Now);
      continue;
    }
    const double Score = Needs.Suspect.Value.empty()
                             ? loadScore(Pool, View, Now)
                             : suspectScore(View, Needs.Suspect);
    if (Choice.Server != nullptr && Score >= Best)
      continue;
    Choice.Server = &View;
    Best = Score;
  }
  return Choice;
}

ServerChoice chooseServer(ServerPool &Pool, const ServerNeeds &Needs,
                          TimePoint Now) {
  const Service *Spec = findService(Pool, Needs.Service);
  if (Spec == nullptr)
    return {};
  ServerChoice Choice = chooseLowestScore(Pool, Needs, *Spec, false, Now);
  // Where all hosts seem unresponsive, this entry itself may be the one that
  // is cut off. A back end that asked for a pause shows that it is not.
  const bool FirstChoice = Needs.Tried.empty() && Needs.Full.empty();
  if (Choice.Candidates == 0 && Choice.Paused == 0 && FirstChoice)
    Choice = chooseLowestScore(Pool, Needs, *Spec, true, Now);
  if (Choice.Server != nullptr)
    return Choice;
  if (Choice.Candidates == 0 && Choice.Paused > 0) {
    Choice.Why = PoolRefusal::AllPaused;
    Choice.RetryAfter =
        std::max(toMillis(Choice.PausedUntil - Now), MinRetryDelay);
    return Choice;
  }
  Choice.Why =
      Choice.Candidates > 0 ? PoolRefusal::AllFull : PoolRefusal::NoneListed;
  Choice.RetryAfter = retryDelay(Pool, Needs, Choice.Candidates);
  if (Choice.Limited > 0 && Choice.Limited == Choice.Candidates) {
    const Millis Turn =
        assignRetryTime(Pool, Needs.Service, Choice.PerSecond, Now);
    const Millis Allowed = toMillis(Choice.LimitedUntil - Now);
    Choice.RetryAfter = std::max(
        Choice.RetryAfter, std::min(std::max(Turn, Allowed), MaxRetryDelay));
  }
  return Choice;
}

void recordAttemptStart(ServerPool &Pool, const InstanceId &Id) {
  if (ServerView *View = findServer(Pool, Id))
    ++View->Open;
}

void recordServerLoad(ServerPool &Pool, const InstanceId &Id, uint32_t Busy,
                      TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    recordReportedRequests(*View, Busy, Now);
}

void recordServerActivity(ServerPool &Pool, const InstanceId &Id,
                          TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  View->LastByteAt = Now;
  View->ProbePendingSince.reset();
}

TimePoint lastActivityTime(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View == nullptr ? TimePoint{} : View->LastByteAt;
}

void recordFirstPartTime(ServerPool &Pool, const ServiceName &Service,
                         Duration Took) {
  recordFirstPart(Pool.FirstPartTimes[Service], Took, Duration{0});
}

Duration usualFirstPartTime(const ServerPool &Pool, const ServiceName &Service,
                            Duration Default) {
  const auto it = Pool.FirstPartTimes.find(Service);
  return it == Pool.FirstPartTimes.end()
             ? Default
             : expectedFirstPartTime(it->second, Duration{0});
}

void recordPrefillBacklog(ServerPool &Pool, const InstanceId &Id,
                          Duration Backlog) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  View->PrefillBacklog = Backlog;
  View->MissedReplies = 0;
}

Digest loadedWeights(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View == nullptr ? Digest{} : View->Weights;
}

void recordAttemptEnd(ServerPool &Pool, const InstanceId &Id, AttemptEnd End,
                      Duration Took, TimePoint Now) {
  ServerView *Found = findServer(Pool, Id);
  if (Found == nullptr)
    return;
  ServerView &View = *Found;
  if (View.Open > 0)
    --View.Open;
  switch (End) {
  case AttemptEnd::Answered:
  case AttemptEnd::Error: {
    View.Failures = 0;
    const double Failed = End == AttemptEnd::Error ? 1 : 0;
    View.ErrorShare += ErrorWeight * (Failed - View.ErrorShare);
    if (End == AttemptEnd::Error)
      return;
    updateAnswerTime(Pool.UsualAnswerTime, View.Listed.Service, Took);
    return;
  }
  case AttemptEnd::Unreached:
  case AttemptEnd::Broken: {
    const uint32_t Doublings = std::min(View.Failures, MaxAvoidDoublings);
    ++View.Failures;
    View.ErrorShare += ErrorWeight * (1 - View.ErrorShare);
    // A single broken answer may be due to the request or the network; a back
    // end that cannot be reached is avoided at once.
    if (End == AttemptEnd::Unreached || View.Failures > 1)
      View.AvoidUntil = Now + FirstAvoidTime * (1U << Doublings);
    return;
  }
  case AttemptEnd::Refused:
    if (!wantsRequests(View.Notices, Now))
      return; // A pause says nothing about the load after it.
    // It is full, whatever its last report said; its next answer reports its
    // load.
    View.OtherRequests = std::max(View.OtherRequests, View.Listed.Slots);
    View.LoadReportedAt = Now;
    return;
  case AttemptEnd::Dropped:
  case AttemptEnd::NotSent:
    return;
  }
}

void markAgentSilent(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !hasAgent(*View))
    return;
  View->Agent->Fresh = false;
  View->SilentSince = Now;
  // Over a congested link heartbeats still get through, and the low load makes
  // the back end look idle: each request would lose time on a slot request
  // there. A single slot request may just have been lost. The back end is
  // ranked last rather than excluded: the congested link may be this entry's.
  const uint32_t Doublings = std::min(View->MissedReplies, MaxAvoidDoublings);
  if (View->MissedReplies > 0)
    View->RankLastUntil = Now + FirstAvoidTime * (1U << Doublings) / 2;
  ++View->MissedReplies;
}

bool mayStillUse(const ServerPool &Pool, const InstanceId &Id,
                 const ServerNeeds &Needs, TimePoint Now) {
  const ServerView *View = findServer(Pool, Id);
  const Service *Spec = findService(Pool, Needs.Service);
  return View != nullptr && Spec != nullptr && !isExcluded(Needs, Id) &&
         wantsRequests(View->Notices, Now) &&
         isSuitable(Pool, *View, Needs, *Spec, Now);
}

const WantedWeights *wantedWeightsFor(const ServerPool &Pool,
                                      const ServerView &View) {
  const Service *Spec = findService(Pool, View.Listed.Service);
  const auto it =
      Spec == nullptr ? Pool.Wanted.end() : Pool.Wanted.find(Spec->Model);
  return it == Pool.Wanted.end() ? nullptr : &it->second;
}

std::string requiredVersion(const ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now) {
  const ServerView *View = findServer(Pool, Id);
  const WantedWeights *Wanted =
      View == nullptr ? nullptr : wantedWeightsFor(Pool, *View);
  if (Wanted == nullptr)
    return "";
  const std::vector<ReplacedWeights> &ReplacedSets = Wanted->ReplacedSets;
  const bool AnyExpired =
      std::ranges::any_of(ReplacedSets, [&](const ReplacedWeights &One) {
        return Now >= One.Until;
      });
  if (!AnyExpired && !ReplacedSets.empty())
    return "";
  const ReplacedWeights *ReplacedSet =
      findReplacedWeights(*Wanted, View->Weights);
  return ReplacedSet == nullptr ? Wanted->Version : ReplacedSet->Version;
}

std::optional<TimePoint> latestStartTime(const ServerPool &Pool,
                                         const InstanceId &Id,
                                         const Digest &SentOn) {
  const ServerView *View = findServer(Pool, Id);
  const WantedWeights *Wanted =
      View == nullptr ? nullptr : wantedWeightsFor(Pool, *View);
  if (Wanted == nullptr)
    return std::nullopt;
  // The agent reports no weights while its back end is paused. After it
  // resumes, the back end has those that it had when the request was sent.
  const Digest &Has = View->Weights.Value.empty() ? SentOn : View->Weights;
  const ReplacedWeights *ReplacedSet = findReplacedWeights(*Wanted, Has);
  if (ReplacedSet == nullptr) // These are the wanted weights, or unknown ones.
    return std::nullopt;
  return ReplacedSet->Until + MaxStartDelay;
}

void avoidMismatchedServer(ServerPool &Pool, const InstanceId &Id,
                           TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    View->AvoidUntil = Now + MismatchAvoidTime;
}

size_t maxIdleConnections(const ServerPool &Pool, const ServiceName &Service) {
  const auto *Spec = findService(Pool, Service);
  if (Spec == nullptr || Spec->MaxConnections == 0)
    return MaxIdleConnections;
  const uint32_t Share =
      Spec->MaxConnections / IdleConnectionDivisor / std::max(1U, Pool.Entries);
  return std::min<size_t>(MaxIdleConnections, Share);
}

} // namespace jacinthpond
