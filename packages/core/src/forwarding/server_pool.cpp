/** @file server_pool.cpp Choosing a back end for each attempt. */

#include "forwarding/server_pool_func.h"

#include "admission/first_part_func.h"
#include "admission/server_rate_func.h"
#include "base/random_func.h"
#include "forwarding/liveness_func.h"
#include "forwarding/rate_share_func.h"

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

/** First time for which a back end that failed is left alone. */
constexpr Millis FirstAvoid{300};
/** It doubles with each failure in a row up to this many times. */
constexpr uint32_t MaxAvoidDoublings = 4;
/** Share of an answer in the running share of errors. */
constexpr double ErrorWeight = 0.15;
/** Share of errors that is taken for the usual failures of the work itself. */
constexpr double UsualErrors = 0.25;
/** Requests by which a back end that fails everything counts as busier. */
constexpr double ErrorPenalty = 40;
/** The same while its agent does not answer asks in time. */
constexpr double SlowPenalty = 40;
/**
 * Part of its slots by which a back end of another domain counts as busier. The
 * way there costs bytes between regions and a round trip for each agent that is
 * asked; busier ones write more slowly, so that work does go there before near
 * ones are full.
 */
constexpr double FarPart = 0.35;
/** Reading that counts as much as one request under way. */
constexpr Millis ReadingAsRequest{25};
/** Time after which a back end's word on its load counts half. */
constexpr Millis LoadHalfLife{1500};
/** Answers whose length is averaged. */
constexpr int TimeWeight = 15;
/** Length of an answer before any was seen. */
constexpr Millis FirstUsualTime{500};
/** Part of a route's target that may be spent waiting at the back end. */
constexpr double WaitPart = 0.35;
/** Shortest and longest time that a refused caller is told to stay away. */
constexpr Millis ShortestComeBack{150};
constexpr Millis LongestComeBack{2500};
/** Time for which a request that was sent in time may wait to begin on weights
 * that were replaced; the way to the back end takes less than what is left of
 * the margin after it. */
constexpr Millis BeginWait{800};
/** How long a back end is left alone that was misjudged; news come sooner. */
constexpr Millis MisjudgedAvoid{500};

/** Idle connections to one back end that an entry keeps at most. */
constexpr size_t MostKept = 24;
/** One in so many of the connections that a back end bears may stand idle; the
 * others are left for requests under way. */
constexpr uint32_t KeptPart = 2;

double randomPart(ServerPool &Pool) {
  return static_cast<double>(nextRandom(Pool.Random) >> 11U) /
         static_cast<double>(uint64_t{1} << 53U);
}

/** Gives a service of the document in force; null when there is none. */
const Service *findService(const ServerPool &Pool, const ServiceName &Name) {
  if (Pool.Doc == nullptr)
    return nullptr;
  const auto it = std::ranges::find(Pool.Doc->Services, Name, &Service::Name);
  return it == Pool.Doc->Services.end() ? nullptr : &*it;
}

/** Takes what a back end told of all its work. */
void noteWork(ServerView &View, uint32_t Busy, TimePoint Now) {
  View.OtherWork = Busy > View.Open ? Busy - View.Open : 0;
  View.ToldAt = Now;
}

/** Takes a time into the running mean of a service. */
void learnTime(std::map<ServiceName, Duration> &Usual, const ServiceName &Name,
               Duration Took) {
  Duration &Mean = Usual.try_emplace(Name, Took).first->second;
  Mean = (Mean * TimeWeight + Took) / (TimeWeight + 1);
}

/** Requests at a back end, those of other entries as far as known. */
double workAt(const ServerView &View, TimePoint Now) {
  // An agent tells again in time; of others nothing is heard while nothing is
  // sent to them, and what they told once would keep them from ever being used.
  if (hasAgent(View))
    return View.Open + View.OtherWork;
  const double Age = static_cast<double>(toMillis(Now - View.ToldAt).count()) /
                     static_cast<double>(LoadHalfLife.count());
  return View.Open + View.OtherWork * std::exp2(-std::max(0.0, Age));
}

Duration usualTime(const ServerPool &Pool, const ServiceName &Name) {
  const auto it = Pool.UsualTime.find(Name);
  return it == Pool.UsualTime.end() ? Duration(FirstUsualTime) : it->second;
}

/** Requests that a back end may have so that the last one begins in time. */
double roomOf(const ServerPool &Pool, const ServerView &View,
              const Route &From) {
  const auto Slots = static_cast<double>(std::max(1U, View.Listed.Slots));
  const double Usual = std::chrono::duration<double, std::milli>(
                           usualTime(Pool, View.Listed.Service))
                           .count();
  const double Wait = WaitPart * static_cast<double>(From.Target.count());
  const double Waiting = Usual > 0 ? Wait * Slots / Usual : 0;
  return Slots + std::min(Waiting, Slots * 2);
}

bool regionAllowed(const std::set<RegionName> &Regions, const Document &Doc,
                   const DomainName &Domain) {
  if (Regions.empty())
    return true;
  const auto it = Doc.RegionOf.find(Domain);
  return it != Doc.RegionOf.end() && Regions.contains(it->second);
}

/** Says whether a back end had an agent that says nothing any more. */
bool lostAgent(const ServerView &View) { return View.Agent && !hasAgent(View); }

/**
 * Says whether nothing shows that a back end lives: its agent fell silent, and
 * neither has said anything since. Its host may stand still, and what is sent
 * there would begin whenever it wakes, long after its callers have left. One
 * request is enough to find out.
 */
bool mayStandStill(const ServerView &View) {
  return lostAgent(View) && View.LastHeard <= View.SilentSince;
}

/** Finds a set among those that were wanted before; null: it is none. */
const FormerWeights *findFormer(const WantedWeights &Wanted,
                                const Digest &Set) {
  const auto it = std::ranges::find(Wanted.Formers, Set, &FormerWeights::Set);
  return it == Wanted.Formers.end() ? nullptr : &*it;
}

/** Says whether the weights of a back end may begin, or go on with, a request.
 */
bool weightsFit(const ServerPool &Pool, const Service &Kind,
                const ServerView &View, const Digest &Needed, TimePoint Now) {
  if (Kind.Model.Value.empty())
    return true;
  if (View.Weights.Value.empty())
    return false;
  if (!Needed.Value.empty() && View.Weights != Needed)
    return false;
  const auto it = Pool.Wanted.find(Kind.Model);
  if (it == Pool.Wanted.end() || View.Weights == it->second.Set)
    return true;
  // With a silent agent the host may stand still: a request that is sent in
  // time would begin on former weights whenever it wakes.
  if (lostAgent(View))
    return false;
  const FormerWeights *Former = findFormer(it->second, View.Weights);
  return Former != nullptr && Now < Former->Until;
}

/** Says whether a back end may get this request at all. */
bool usable(const ServerPool &Pool, const ServerView &View,
            const ServerNeeds &Needs, const Service &Kind, TimePoint Now) {
  const Document &Doc = *Pool.Doc;
  if (View.Listed.Service != Needs.Service || View.Listed.Draining ||
      Needs.Tried.contains(View.Listed.Id) ||
      Needs.Full.contains(View.Listed.Id) ||
      Doc.DomainsOut.contains(View.Listed.Domain))
    return false;
  if (View.Vanished && Now >= Pool.ListingDoubtUntil)
    return false;
  if (!regionAllowed(Needs.From->Regions, Doc, View.Listed.Domain) ||
      (Needs.Owner != nullptr &&
       !regionAllowed(Needs.Owner->Regions, Doc, View.Listed.Domain)))
    return false;
  const bool Loading =
      hasAgent(View) && (View.Agent->State == WorkerState::Loading ||
                         View.Agent->State == WorkerState::Empty);
  if (Loading && !Kind.Model.Value.empty())
    return false;
  return weightsFit(Pool, Kind, View, Needs.Weights, Now);
}

double scoreOf(ServerPool &Pool, const ServerView &View, TimePoint Now) {
  double Score = workAt(View, Now) + randomPart(Pool);
  const Duration Reading =
      std::max(View.Reading - (Now - View.ToldAt), Duration{0});
  Score += static_cast<double>(toMillis(Reading).count()) /
           static_cast<double>(ReadingAsRequest.count());
  if (View.Listed.Domain != Pool.Options.Domain)
    Score += FarPart * static_cast<double>(View.Listed.Slots);
  Score += ErrorPenalty * std::max(0.0, View.ErrorShare - UsualErrors);
  const bool Doubtful = View.Unanswered && !hasAgent(View);
  if (Now < View.SlowUntil || Doubtful)
    Score += SlowPenalty;
  return Score;
}

/** Time until one of so many back ends has room again, spread a little. */
Millis timeToRoom(ServerPool &Pool, const ServerNeeds &Needs,
                  uint32_t Candidates) {
  // Servers that are gone, or load weights, are back after seconds.
  if (Candidates == 0)
    return LongestComeBack / 2 +
           Millis(static_cast<int64_t>(
               randomPart(Pool) * static_cast<double>(LongestComeBack.count()) /
               2));
  // Each answer that ends makes room for one; callers that were refused
  // together come back apart.
  const Duration Usual = usualTime(Pool, Needs.Service);
  const Millis Mean = toMillis(Usual / std::max(1U, std::min(Candidates, 4U)));
  const auto Spread = static_cast<int64_t>(static_cast<double>(Mean.count()) *
                                           (0.75 + randomPart(Pool)));
  return std::clamp(Millis(Spread), ShortestComeBack, LongestComeBack);
}

} // namespace

void agentTold(ServerPool &Pool, const AgentNews &News, TimePoint Now) {
  for (auto &[Id, View] : Pool.Servers) {
    if (View.Listed.At != News.Server || View.Vanished)
      continue;
    if (!News.Fresh && hasAgent(View))
      View.SilentSince = Now;
    // An agent that started anew knows of no limit, which lifts none.
    const bool Lifted = !News.PerSecond && View.Agent &&
                        View.Agent->PerSecond && View.Agent->Link == News.Link;
    View.Agent = News;
    if (!News.Fresh) {
      agentLinkEnded(View, News.Silent, Now);
      continue;
    }
    View.Unanswered.reset();
    noteWork(View, News.Busy, Now);
    View.Weights = News.Weights;
    if (News.PerSecond)
      rateNamed(View.Rate, *News.PerSecond, Now);
    if (Lifted) {
      rateNotNamed(View.Rate, Now);
      View.NoPlaceUntil = Now;
    }
  }
}

/** Compares the back ends whose hosts stand still, or those of all others. */
static ServerChoice bestOf(ServerPool &Pool, const ServerNeeds &Needs,
                           const Service &Kind, bool Still, TimePoint Now) {
  ServerChoice Choice;
  double Best = 0;
  for (auto &[Id, View] : Pool.Servers) {
    if (standsStill(View, Now) != Still ||
        !usable(Pool, View, Needs, Kind, Now) || Now < View.AvoidUntil)
      continue;
    ++Choice.Candidates;
    // An agent knows better than this entry whether there is room.
    const bool Full =
        (!hasAgent(View) &&
         workAt(View, Now) + 1 > roomOf(Pool, View, *Needs.From)) ||
        (mayStandStill(View) && View.Open > 0);
    if (Full)
      continue;
    if (!ratesAllow(Pool, View, Kind, Now)) {
      ++Choice.Limited;
      Choice.PerSecond += View.Rate.PerSecond.value_or(Kind.ColdPerSecond);
      Choice.LimitedUntil = std::min(Choice.LimitedUntil,
                                     hasAgent(View) ? View.NoPlaceUntil : Now);
      continue;
    }
    const double Score = scoreOf(Pool, View, Now);
    if (Choice.Server != nullptr && Score >= Best)
      continue;
    Choice.Server = &View;
    Best = Score;
  }
  return Choice;
}

ServerChoice chooseServer(ServerPool &Pool, const ServerNeeds &Needs,
                          TimePoint Now) {
  const Service *Kind = findService(Pool, Needs.Service);
  if (Kind == nullptr)
    return {};
  ServerChoice Choice = bestOf(Pool, Needs, *Kind, false, Now);
  // Where all of them seem to stand still, this entry may be the one that
  // hears nothing.
  const bool First = Needs.Tried.empty() && Needs.Full.empty();
  if (Choice.Candidates == 0 && First)
    Choice = bestOf(Pool, Needs, *Kind, true, Now);
  if (Choice.Server != nullptr)
    return Choice;
  Choice.Why =
      Choice.Candidates > 0 ? PoolRefusal::AllFull : PoolRefusal::NoneListed;
  Choice.RetryAfter = timeToRoom(Pool, Needs, Choice.Candidates);
  if (Choice.Limited > 0 && Choice.Limited == Choice.Candidates) {
    const Millis Turn =
        turnToComeBack(Pool, Needs.Service, Choice.PerSecond, Now);
    const Millis Allowed = toMillis(Choice.LimitedUntil - Now);
    Choice.RetryAfter = std::max(
        Choice.RetryAfter, std::min(std::max(Turn, Allowed), LongestComeBack));
  }
  return Choice;
}

void attemptOpened(ServerPool &Pool, const InstanceId &Id) {
  if (ServerView *View = findServer(Pool, Id))
    ++View->Open;
}

void loadTold(ServerPool &Pool, const InstanceId &Id, uint32_t Busy,
              TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    noteWork(*View, Busy, Now);
}

void serverHeard(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  View->LastHeard = Now;
  View->Unanswered.reset();
}

TimePoint lastHeard(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View == nullptr ? TimePoint{} : View->LastHeard;
}

void firstPartCame(ServerPool &Pool, const ServiceName &Service,
                   Duration Took) {
  firstPartSeen(Pool.FirstParts[Service], Took, Duration{0});
}

Duration usualFirstPart(const ServerPool &Pool, const ServiceName &Service,
                        Duration Otherwise) {
  const auto it = Pool.FirstParts.find(Service);
  return it == Pool.FirstParts.end() ? Otherwise
                                     : firstPartAfter(it->second, Duration{0});
}

void readingTold(ServerPool &Pool, const InstanceId &Id, Duration Reading) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  View->Reading = Reading;
  View->SlowAsks = 0;
}

Digest weightsAt(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View == nullptr ? Digest{} : View->Weights;
}

void attemptClosed(ServerPool &Pool, const InstanceId &Id, AttemptEnd How,
                   Duration Took, TimePoint Now) {
  ServerView *Found = findServer(Pool, Id);
  if (Found == nullptr)
    return;
  ServerView &View = *Found;
  if (View.Open > 0)
    --View.Open;
  switch (How) {
  case AttemptEnd::Answered:
  case AttemptEnd::Error: {
    View.Failures = 0;
    const double Failed = How == AttemptEnd::Error ? 1 : 0;
    View.ErrorShare += ErrorWeight * (Failed - View.ErrorShare);
    if (How == AttemptEnd::Error)
      return;
    learnTime(Pool.UsualTime, View.Listed.Service, Took);
    return;
  }
  case AttemptEnd::Unreached:
  case AttemptEnd::Broken: {
    const uint32_t Doublings = std::min(View.Failures, MaxAvoidDoublings);
    ++View.Failures;
    View.ErrorShare += ErrorWeight * (1 - View.ErrorShare);
    // One broken answer may be the fault of the request or the network; a
    // back end that cannot be reached is left alone at once.
    if (How == AttemptEnd::Unreached || View.Failures > 1)
      View.AvoidUntil = Now + FirstAvoid * (1U << Doublings);
    return;
  }
  case AttemptEnd::Refused:
    // It is full, whatever was believed: its own word comes with answers.
    View.OtherWork = std::max(View.OtherWork, View.Listed.Slots);
    View.ToldAt = Now;
    return;
  case AttemptEnd::Dropped:
  case AttemptEnd::NotSent:
    return;
  }
}

void agentSilent(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !hasAgent(*View))
    return;
  View->Agent->Fresh = false;
  View->SilentSince = Now;
  // Behind a link that became narrow heartbeats still get through, and little
  // work makes the back end look idle: each request would lose the time of an
  // ask there. One ask may have been lost. Ranked last and not left out: the
  // narrow link may be our own.
  const uint32_t Doublings = std::min(View->SlowAsks, MaxAvoidDoublings);
  if (View->SlowAsks > 0)
    View->SlowUntil = Now + FirstAvoid * (1U << Doublings) / 2;
  ++View->SlowAsks;
}

bool mayStillUse(const ServerPool &Pool, const InstanceId &Id,
                 const ServerNeeds &Needs, TimePoint Now) {
  const ServerView *View = findServer(Pool, Id);
  const Service *Kind = findService(Pool, Needs.Service);
  return View != nullptr && Kind != nullptr &&
         usable(Pool, *View, Needs, *Kind, Now);
}

const WantedWeights *wantedAt(const ServerPool &Pool, const ServerView &View) {
  const Service *Kind = findService(Pool, View.Listed.Service);
  const auto it =
      Kind == nullptr ? Pool.Wanted.end() : Pool.Wanted.find(Kind->Model);
  return it == Pool.Wanted.end() ? nullptr : &it->second;
}

std::string versionToDemand(const ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now) {
  const ServerView *View = findServer(Pool, Id);
  const WantedWeights *Wanted =
      View == nullptr ? nullptr : wantedAt(Pool, *View);
  if (Wanted == nullptr)
    return "";
  const std::vector<FormerWeights> &Formers = Wanted->Formers;
  const bool SomeOver = std::ranges::any_of(
      Formers, [&](const FormerWeights &One) { return Now >= One.Until; });
  if (!SomeOver && !Formers.empty())
    return "";
  const FormerWeights *Former = findFormer(*Wanted, View->Weights);
  return Former == nullptr ? Wanted->Version : Former->Version;
}

std::optional<TimePoint> mayBeginUntil(const ServerPool &Pool,
                                       const InstanceId &Id,
                                       const Digest &SentOn) {
  const ServerView *View = findServer(Pool, Id);
  const WantedWeights *Wanted =
      View == nullptr ? nullptr : wantedAt(Pool, *View);
  if (Wanted == nullptr)
    return std::nullopt;
  // The agent of a back end that stands still says that it has no weights. On
  // waking it has those with which the request was sent.
  const Digest &Has = View->Weights.Value.empty() ? SentOn : View->Weights;
  const FormerWeights *Former = findFormer(*Wanted, Has);
  if (Former == nullptr) // Wanted, or not known.
    return std::nullopt;
  return Former->Until + BeginWait;
}

void serverMisjudged(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    View->AvoidUntil = Now + MisjudgedAvoid;
}

size_t connectionsToKeep(const ServerPool &Pool, const ServiceName &Service) {
  const auto *Kind = findService(Pool, Service);
  if (Kind == nullptr || Kind->MaxConnections == 0)
    return MostKept;
  const uint32_t Share =
      Kind->MaxConnections / KeptPart / std::max(1U, Pool.Entries);
  return std::min<size_t>(MostKept, Share);
}

} // namespace jacinthpond
