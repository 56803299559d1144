/** @file place.cpp Places at a back end for requests that entries send. */

#include "attempts/place_func.h"

#include "admission/admission_func.h"
#include "admission/first_part_func.h"
#include "admission/reading_func.h"
#include "admission/server_rate_func.h"
#include "attempts/attempt_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <vector>

namespace jacinthpond {

namespace {

/** Priority of rank 0; later ranks come below it. */
constexpr uint32_t FirstPriority = 100;
/**
 * How long a place stays taken after its link was lost. An entry that lives
 * ends its requests within that time or asks anew; the back end ends those of
 * one that died, whose connections are gone.
 */
constexpr Millis LostLinkKeep{2000};
/** How long a place stays taken when its end was never told. */
constexpr Millis ForgottenAfter{20000};

/**
 * Places that are kept free for requests on time when one that is late gets
 * one: some come before the next answer ends.
 */
constexpr uint32_t KeptForOthers = 3;
/** A small back end keeps this part of its places at most. */
constexpr uint32_t KeptPart = 4;
/** Reading beside which a late request holds up nobody. */
constexpr Millis SpareReading{5};
/** Part of the rate that a cold back end bears which is given out. Requests
 * bunch up on their way, and entries that do not see this agent send more. */
constexpr double ColdPart = 0.7;
/** Late requests that wait at most; half of what usually runs ends in the time
 * that they wait. */
constexpr size_t MostSpareWaiting = 8;

/** Answers, and notes what the answer was decided by. */
void answer(const AgentState &Agent, LinkId Link, const PlaceAsk &Asked,
            const Failure *Refusal, Duration Waited, TimePoint Now,
            Effects &Out) {
  PlaceAnswer m;
  m.Place = Asked.Place;
  m.ReadingMillis =
      static_cast<uint32_t>(toMillis(readingLeft(Agent.Reading, Now)).count());
  m.Given = Refusal == nullptr;
  if (Refusal != nullptr) {
    m.Why = Refusal->Kind;
    m.RetryAfterMillis = static_cast<uint64_t>(Refusal->RetryAfter.count());
  }
  Out.push_back(SendMessage{Link, m});
  Out.push_back(LogNote{
      LogPart::Admission, LogLevel::Info,
      "event=place id=" + Asked.Request.Value + " place=" + Asked.Place.Value +
          " outcome=" + (m.Given ? "given" : answerFor(m.Why).Name) +
          " busy=" + std::to_string(Agent.Gate.Running + Agent.Gate.Lingering) +
          " limit=" + std::to_string(Agent.Gate.Limit) +
          " waiting=" + std::to_string(Agent.Gate.Waiting.Size) +
          " reading_ms=" + std::to_string(m.ReadingMillis) +
          " most_reading_ms=" + std::to_string(Asked.MostReadingMillis) +
          " spare_only=" + (Asked.Spare ? "yes" : "no") +
          " waited_ms=" + std::to_string(toMillis(Waited).count()) +
          " rate=" + rateText(Agent.Rate) + " cold_ms=" +
          std::to_string(
              std::max(toMillis(Agent.ColdUntil - Now), Millis(0)).count()) +
          " weights=" + Agent.Weights.Loaded.Value + " replaced_ms=" +
          (Agent.Weights.OutdatedSince
               ? std::to_string(
                     toMillis(Now - *Agent.Weights.OutdatedSince).count())
               : "-")});
}

/** Refuses one that did not wait. */
void refuseAtOnce(const AgentState &Agent, LinkId Link, const PlaceAsk &m,
                  ErrorKind Kind, Millis RetryAfter, TimePoint Now,
                  Effects &Out) {
  const Failure Why{Kind, "", RetryAfter};
  answer(Agent, Link, m, &Why, Duration{0}, Now, Out);
}

/** Says whether what is loaded was replaced too long ago to begin anything. */
bool weightsTooOld(const AgentState &Agent, TimePoint Now) {
  return isTooOldToServe(Agent.Weights, formerWeightsTime(Agent.Config), Now);
}

/** Says why no place at all is given now, or nothing. */
std::optional<ErrorKind> standingRefusal(const AgentState &Agent,
                                         TimePoint Now) {
  if (agentIsLeaving(Agent))
    return ErrorKind::Leaving;
  if (!Agent.BackEndUp)
    return ErrorKind::NoWorker;
  // Whether its domain may be used is for the entry to say, which has the
  // document as well; what cannot be served at all is known here. So is when
  // its weights were replaced: an entry that was out of touch may believe that
  // they still begin requests.
  if (Agent.Weights.Draining || Agent.Weights.Loading ||
      Agent.Weights.EngineBusy || Agent.Weights.Loaded.Value.empty() ||
      weightsTooOld(Agent, Now))
    return ErrorKind::WeightsNotReady;
  return std::nullopt;
}

Millis millis(uint64_t Count) { return Millis(static_cast<int64_t>(Count)); }

/**
 * Gives how long a request may wait for a place and still have its first part
 * in time. One that is given a place later is late, and makes those behind it
 * late too, while fresh ones could still be on time.
 */
Duration usefulWait(const AgentState &Agent, const PlaceAsk &m) {
  const Duration Longest = millis(m.WaitMillis);
  if (m.FirstPartMillis == 0)
    return Longest;
  const Duration Takes = firstPartAfter(
      Agent.FirstPart, readingTime(Agent.Reading, m.PromptTokens));
  return std::clamp(millis(m.FirstPartMillis) - Takes, Duration{0}, Longest);
}

void addPlace(AgentState &Agent, LinkId Link, const PlaceAsk &m,
              Duration MayWait, TimePoint Now) {
  Place One;
  One.Link = Link;
  One.Ask = m;
  One.Asked = One.Since = Now;
  One.WaitUntil = Now + MayWait;
  Agent.Places[m.Place] = One;
}

/** Takes a place out of the queue in which it waits. */
void stopWaitingForPlace(AgentState &Agent, const AttemptId &Which) {
  stopWaiting(Agent.Gate, Which);
  std::erase(Agent.SparePlaces, Which);
}

bool hasSpareRoom(AgentState &Agent, TimePoint Now) {
  const uint32_t Kept = std::min(KeptForOthers, Agent.Gate.Limit / KeptPart);
  return runsAtOnce(Agent.Gate, Kept) && agentRateAllows(Agent, Now) &&
         readingLeft(Agent.Reading, Now) <= SpareReading;
}

/** Lets a late request wait for spare room, if it may come in time. */
void takeSpareAsk(AgentState &Agent, LinkId Link, const PlaceAsk &m,
                  TimePoint Now, Effects &Out) {
  giveSparePlaces(Agent, Now, Out);
  // In a lasting shortage there is no spare room at all: whoever waits for it
  // is told after his wait what is known now.
  const bool Lasting = Now - Agent.SpareRoomAt > millis(m.WaitMillis);
  if (Lasting || Agent.SparePlaces.size() >= MostSpareWaiting) {
    refuseAtOnce(Agent, Link, m, ErrorKind::Overloaded,
                 timeToComeBack(Agent.Gate), Now, Out);
    return;
  }
  addPlace(Agent, Link, m, millis(m.WaitMillis), Now);
  Agent.SparePlaces.push_back(m.Place);
  giveSparePlaces(Agent, Now, Out);
}

/** Says whether the back end is too busy for an entry that looks for an idle
 * one. */
bool isBusier(const AgentState &Agent, const PlaceAsk &m, TimePoint Now) {
  return m.MostReadingMillis > 0 &&
         (!runsAtOnce(Agent.Gate) ||
          readingLeft(Agent.Reading, Now) > Millis(m.MostReadingMillis));
}

Admittee admitteeOf(const AgentState &Agent, const PlaceAsk &m,
                    Duration MayWait) {
  Admittee One;
  One.Who = {m.Place, m.Tenant, 1,
             FirstPriority - std::min(m.Rank, FirstPriority)};
  // The wait is bounded until the begin; the queue counts to the end.
  One.Remaining = MayWait + Agent.Gate.ServiceTime;
  return One;
}

} // namespace

void takePlaceAsk(AgentState &Agent, LinkId Link, const PlaceAsk &m,
                  TimePoint Now, Effects &Out) {
  if (Agent.Places.contains(m.Place))
    return; // Asked twice: the first answer counts.
  if (const auto Standing = standingRefusal(Agent, Now)) {
    refuseAtOnce(Agent, Link, m, *Standing, Millis{0}, Now, Out);
    return;
  }
  if (!agentRateAllows(Agent, Now)) {
    // Others of the service may have room, so that none waits here.
    const Duration Wait = std::max(timeToRequest(Agent.Rate, Now),
                                   timeToRequest(Agent.Cold, Now));
    ++Agent.Counters.Refused[ErrorKind::RateLimited];
    refuseAtOnce(Agent, Link, m, ErrorKind::RateLimited,
                 std::max(toMillis(Wait), Millis(1)), Now, Out);
    return;
  }
  if (m.Spare) {
    takeSpareAsk(Agent, Link, m, Now, Out);
    return;
  }
  if (isBusier(Agent, m, Now)) {
    refuseAtOnce(Agent, Link, m, ErrorKind::Overloaded,
                 timeToComeBack(Agent.Gate), Now, Out);
    return;
  }
  const Duration MayWait = usefulWait(Agent, m);
  const AdmissionAnswer Admitted = askToRun(
      Agent.Gate, admitteeOf(Agent, m, MayWait), mayRead(Agent.Reading, Now));
  if (Admitted.PushedOut)
    refusePlace(Agent, *Admitted.PushedOut,
                {ErrorKind::Overloaded, "", timeToComeBack(Agent.Gate)}, Out);
  if (Admitted.May == Admitted::Refuse) {
    refuseAtOnce(Agent, Link, m, ErrorKind::Overloaded, Admitted.RetryAfter,
                 Now, Out);
    return;
  }
  addPlace(Agent, Link, m, MayWait, Now);
  if (Admitted.May == Admitted::Run)
    givePlace(Agent, m.Place, Now, Out);
}

void giveSparePlaces(AgentState &Agent, TimePoint Now, Effects &Out) {
  if (hasSpareRoom(Agent, Now))
    Agent.SpareRoomAt = Now;
  while (!Agent.SparePlaces.empty() && hasSpareRoom(Agent, Now)) {
    const AttemptId Which = Agent.SparePlaces.front();
    Agent.SparePlaces.pop_front();
    Admittee One;
    One.Who.Attempt = Which;
    askToRun(Agent.Gate, One); // Runs: there is more room than it needs.
    givePlace(Agent, Which, Now, Out);
  }
}

void givePlaceInTime(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                     Effects &Out) {
  const Place &One = Agent.Places.at(Which);
  // Its own prompt is allowed for in the wait, those before it are not.
  if (Now + readingLeft(Agent.Reading, Now) <= One.WaitUntil) {
    givePlace(Agent, Which, Now, Out);
    return;
  }
  runEnded(Agent.Gate, Which, RunEnd::NotBegun, {});
  refusePlace(Agent, Which,
              {ErrorKind::Overloaded, "", timeToComeBack(Agent.Gate)}, Out);
}

void givePlace(AgentState &Agent, const AttemptId &Which, TimePoint Now,
               Effects &Out) {
  Place &One = Agent.Places.at(Which);
  One.Given = true;
  One.Since = Now;
  countAtBackEnd(Agent, Now);
  addReading(Agent.Reading, One.Ask.PromptTokens, Now);
  One.Reading = readingLeft(Agent.Reading, Now);
  ++Agent.Counters.Started;
  answer(Agent, One.Link, One.Ask, nullptr, Now - One.Asked, Now, Out);
}

void refusePlace(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 Effects &Out) {
  const TimePoint Now = Agent.Fleet.LastTick;
  const auto it = Agent.Places.find(Which);
  if (it == Agent.Places.end())
    return;
  ++Agent.Counters.Refused[Why.Kind];
  const Place &One = it->second;
  answer(Agent, One.Link, One.Ask, &Why, Now - One.Asked, Now, Out);
  Agent.Places.erase(it);
}

void placeDone(AgentState &Agent, const PlaceDone &m, TimePoint Now,
               Effects &Out) {
  const auto it = Agent.Places.find(m.Place);
  if (it == Agent.Places.end())
    return;
  const Place One = it->second;
  Agent.Places.erase(it);
  if (!One.Given) {
    stopWaitingForPlace(Agent, m.Place);
    return;
  }
  if (m.FirstPartMillis > 0)
    firstPartSeen(Agent.FirstPart, millis(m.FirstPartMillis), One.Reading);
  if (!m.Sent) {
    uncountRequest(Agent.Rate);
    if (Now < Agent.ColdUntil)
      uncountRequest(Agent.Cold);
  }
  const RunEnd Broken = m.Sent ? RunEnd::CutOff : RunEnd::NotBegun;
  runEnded(Agent.Gate, m.Place, m.Whole ? RunEnd::Whole : Broken,
           Now - One.Since);
  Agent.Counters.Completed += m.Whole ? 1 : 0;
  runWaiting(Agent, Now, Out);
  giveSparePlaces(Agent, Now, Out);
}

bool agentRateAllows(AgentState &Agent, TimePoint Now) {
  return rateAllowsRequest(Agent.Rate, 1, Now) &&
         (Now >= Agent.ColdUntil ||
          rateAllowsRequest(Agent.Cold, ColdPart, Now));
}

void countAtBackEnd(AgentState &Agent, TimePoint Now) {
  countRequest(Agent.Rate);
  if (Now < Agent.ColdUntil)
    countRequest(Agent.Cold);
}

void placeRateHeard(AgentState &Agent, const RateHeard &m, TimePoint Now,
                    Effects &Out) {
  if (m.PerSecond) {
    const TimePoint HeardAt = Now - millis(m.AgeMillis);
    noteRateChange(Agent, rateNamed(Agent.Rate, *m.PerSecond, HeardAt), "entry",
                   Out);
    return;
  }
  const auto it = Agent.Places.find(m.Place);
  if (it != Agent.Places.end() && it->second.Given)
    noteRateChange(Agent, rateNotNamed(Agent.Rate, it->second.Since), "entry",
                   Out);
}

void noteRateChange(const AgentState &Agent, RateChange Change,
                    const char *From, Effects &Out) {
  if (Change != RateChange::None)
    Out.push_back(LogNote{LogPart::Admission, LogLevel::Info,
                          "event=rate_limit from=" + std::string(From) +
                              " per_second=" + rateText(Agent.Rate)});
}

void detachPlaces(AgentState &Agent, LinkId Link, TimePoint Now, Effects &) {
  for (auto it = Agent.Places.begin(); it != Agent.Places.end();) {
    Place &One = it->second;
    if (One.Link == Link && !One.Given) {
      stopWaitingForPlace(Agent, it->first);
      it = Agent.Places.erase(it);
      continue;
    }
    if (One.Link == Link && !One.LinkLost)
      One.LinkLost = Now;
    ++it;
  }
}

void sweepPlaces(AgentState &Agent, TimePoint Now, Effects &Out) {
  std::vector<AttemptId> Over;
  for (const auto &[Which, One] : Agent.Places) {
    const bool Lost = One.LinkLost && Now - *One.LinkLost >= LostLinkKeep;
    if (One.Given && (Lost || Now - One.Since >= ForgottenAfter))
      Over.push_back(Which);
  }
  for (const AttemptId &Which : Over)
    placeDone(Agent, {Which, false, true}, Now, Out);
  if (weightsTooOld(Agent, Now))
    refuseWaiting(Agent, ErrorKind::WeightsNotReady, Out);
  std::vector<AttemptId> Late;
  for (const auto &[Which, One] : Agent.Places)
    if (!One.Given && Now >= One.WaitUntil)
      Late.push_back(Which);
  for (const AttemptId &Which : Late) {
    stopWaitingForPlace(Agent, Which);
    refusePlace(Agent, Which,
                {ErrorKind::Overloaded, "", timeToComeBack(Agent.Gate)}, Out);
  }
}

} // namespace jacinthpond
