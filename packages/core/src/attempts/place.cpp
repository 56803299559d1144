/** @file place.cpp Slots at a back end for requests that entries send. */

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

/** Queue priority of rank 0; each later rank is one lower. */
constexpr uint32_t RankZeroPriority = 100;
/**
 * How long a slot is held after its link was lost. A live entry ends its
 * requests within that time or asks again. The back end ends the requests of a
 * dead entry, since their connections are closed.
 */
constexpr Millis LostLinkTimeout{2000};
/** How long a slot is held when the entry does not release it. */
constexpr Millis MaxHeldTime{20000};

/**
 * Slots that late requests leave free for requests that can be on time: some
 * of these arrive before the next running request ends.
 */
constexpr uint32_t ReservedSlots = 3;
/** At most one slot in this many is reserved, for small back ends. */
constexpr uint32_t ReservedDivisor = 4;
/** Longest remaining prompt reading at which a late request delays no other. */
constexpr Millis MaxPrefillForSpare{5};
/** Share of a cold back end's rate limit that is used. Requests bunch up in the
 * network, and entries without a link to this agent send more. */
constexpr double ColdRateShare = 0.7;
/** Late requests in the queue at most. While they wait, half of the requests
 * that usually run end. */
constexpr size_t MaxSpareWaiting = 8;

/** Answers a request for a slot and logs the values that decided the answer.
 * @param Refusal Null when the slot is granted. */
void sendSlotAnswer(const AgentState &Agent, LinkId Link,
                    const SlotRequest &Asked, const Failure *Refusal,
                    Duration Waited, TimePoint Now, Effects &Out) {
  SlotAnswer m;
  m.SlotId = Asked.SlotId;
  m.PrefillBacklogMillis = static_cast<uint32_t>(
      toMillis(prefillTimeLeft(Agent.Prefill, Now)).count());
  m.Granted = Refusal == nullptr;
  if (Refusal != nullptr) {
    m.Why = Refusal->Kind;
    m.RetryAfterMillis = static_cast<uint64_t>(Refusal->RetryAfter.count());
  }
  Out.push_back(SendMessage{Link, m});
  Out.push_back(LogNote{
      LogPart::Admission, LogLevel::Info,
      "event=place id=" + Asked.Request.Value + " place=" + Asked.SlotId.Value +
          " outcome=" + (m.Granted ? "given" : errorAnswerFor(m.Why).Name) +
          " busy=" + std::to_string(Agent.Gate.Running + Agent.Gate.Lingering) +
          " limit=" + std::to_string(Agent.Gate.Limit) +
          " waiting=" + std::to_string(Agent.Gate.Waiting.Size) +
          " reading_ms=" + std::to_string(m.PrefillBacklogMillis) +
          " most_reading_ms=" + std::to_string(Asked.MaxPrefillBacklogMillis) +
          " spare_only=" + (Asked.SpareOnly ? "yes" : "no") +
          " waited_ms=" + std::to_string(toMillis(Waited).count()) +
          " rate=" + formatRateLimit(Agent.Rate) + " cold_ms=" +
          std::to_string(
              std::max(toMillis(Agent.ColdUntil - Now), Millis(0)).count()) +
          " weights=" + Agent.Weights.Loaded.Value + " replaced_ms=" +
          (Agent.Weights.OutdatedSince
               ? std::to_string(
                     toMillis(Now - *Agent.Weights.OutdatedSince).count())
               : "-")});
}

/** Refuses a request for a slot that was not queued. */
void refuseRequest(const AgentState &Agent, LinkId Link, const SlotRequest &m,
                   ErrorKind Kind, Millis RetryAfter, TimePoint Now,
                   Effects &Out) {
  const Failure Why{Kind, "", RetryAfter};
  sendSlotAnswer(Agent, Link, m, &Why, Duration{0}, Now, Out);
}

/** Says whether newer weights were published too long ago for a request to
 * begin on the loaded ones. */
bool hasOutdatedWeights(const AgentState &Agent, TimePoint Now) {
  return isTooOldToServe(Agent.Weights, replacedWeightsTime(Agent.Config), Now);
}

/** Gives the reason why no slot can be granted now, if any. */
std::optional<ErrorKind> refusalReason(const AgentState &Agent, TimePoint Now) {
  if (isAgentLeaving(Agent))
    return ErrorKind::Leaving;
  if (!Agent.BackEndUp)
    return ErrorKind::NoWorker;
  // The entry checks whether this failure domain may be used, since it has the
  // document too. The agent checks what the back end can serve, and the age of
  // its weights: an entry that was cut off may not know that they are outdated.
  if (Agent.Weights.Draining || Agent.Weights.Loading ||
      Agent.Weights.EngineBusy || Agent.Weights.Loaded.Value.empty() ||
      hasOutdatedWeights(Agent, Now))
    return ErrorKind::WeightsNotReady;
  return std::nullopt;
}

/** Converts a number of milliseconds from a message. */
Millis toDuration(uint64_t Count) {
  return Millis(static_cast<int64_t>(Count));
}

/**
 * Gives how long a request may wait for a slot and still have the first part
 * of its answer on time. A later grant makes it late, and those behind it too,
 * while fresh requests could still be on time.
 */
Duration maxUsefulWait(const AgentState &Agent, const SlotRequest &m) {
  const Duration Longest = toDuration(m.WaitMillis);
  if (m.FirstPartMillis == 0)
    return Longest;
  const Duration Takes = expectedFirstPartTime(
      Agent.FirstPart, prefillTime(Agent.Prefill, m.PromptTokens));
  return std::clamp(toDuration(m.FirstPartMillis) - Takes, Duration{0},
                    Longest);
}

/** Records a slot that is queued or about to be granted. */
void addSlot(AgentState &Agent, LinkId Link, const SlotRequest &m,
             Duration MayWait, TimePoint Now) {
  Slot One;
  One.Link = Link;
  One.RequestMessage = m;
  One.RequestedAt = One.GrantedAt = Now;
  One.WaitUntil = Now + MayWait;
  Agent.SlotsById[m.SlotId] = One;
}

/** Removes a slot from the queue in which it waits. */
void dequeueSlot(AgentState &Agent, const AttemptId &Which) {
  removeWaiting(Agent.Gate, Which);
  std::erase(Agent.SpareQueue, Which);
}

/** Says whether a late request can run now without delaying others. */
bool hasSpareCapacity(AgentState &Agent, TimePoint Now) {
  const uint32_t Kept =
      std::min(ReservedSlots, Agent.Gate.Limit / ReservedDivisor);
  return canRunNow(Agent.Gate, Kept) && isWithinRateLimits(Agent, Now) &&
         prefillTimeLeft(Agent.Prefill, Now) <= MaxPrefillForSpare;
}

/** Grants or queues a late request for spare capacity; refuses it if capacity
 * is unlikely to become free while it waits. */
void handleSpareRequest(AgentState &Agent, LinkId Link, const SlotRequest &m,
                        TimePoint Now, Effects &Out) {
  grantSpareSlots(Agent, Now, Out);
  // In a lasting overload there is no spare capacity at all. A queued request
  // would only be refused later.
  const bool IsLasting =
      Now - Agent.LastSpareCapacityAt > toDuration(m.WaitMillis);
  if (IsLasting || Agent.SpareQueue.size() >= MaxSpareWaiting) {
    refuseRequest(Agent, Link, m, ErrorKind::Overloaded,
                  estimateRetryAfter(Agent.Gate), Now, Out);
    return;
  }
  addSlot(Agent, Link, m, toDuration(m.WaitMillis), Now);
  Agent.SpareQueue.push_back(m.SlotId);
  grantSpareSlots(Agent, Now, Out);
}

/** Says whether the back end is too busy for a request that asks for an idle
 * one. */
bool isTooBusy(const AgentState &Agent, const SlotRequest &m, TimePoint Now) {
  return m.MaxPrefillBacklogMillis > 0 &&
         (!canRunNow(Agent.Gate) || prefillTimeLeft(Agent.Prefill, Now) >
                                        Millis(m.MaxPrefillBacklogMillis));
}

/** Describes a slot to admission control: workspace, priority, time left. */
AdmissionRequest admissionRequestOf(const AgentState &Agent,
                                    const SlotRequest &m, Duration MayWait) {
  AdmissionRequest One;
  One.Who = {m.SlotId, m.Workspace, 1,
             RankZeroPriority - std::min(m.Rank, RankZeroPriority)};
  // MayWait ends with the begin of the run; admission counts until its end.
  One.Remaining = MayWait + Agent.Gate.ServiceTime;
  return One;
}

} // namespace

void handleSlotRequest(AgentState &Agent, LinkId Link, const SlotRequest &m,
                       TimePoint Now, Effects &Out) {
  if (Agent.SlotsById.contains(m.SlotId))
    return; // A repeat; the first answer counts.
  if (const auto Reason = refusalReason(Agent, Now)) {
    refuseRequest(Agent, Link, m, *Reason, Millis{0}, Now, Out);
    return;
  }
  if (!isWithinRateLimits(Agent, Now)) {
    // Not queued: other back ends of the service may have capacity.
    const Duration Wait = std::max(timeUntilRequest(Agent.Rate, Now),
                                   timeUntilRequest(Agent.ColdStartRate, Now));
    ++Agent.Counters.Refused[ErrorKind::RateLimited];
    refuseRequest(Agent, Link, m, ErrorKind::RateLimited,
                  std::max(toMillis(Wait), Millis(1)), Now, Out);
    return;
  }
  if (m.SpareOnly) {
    handleSpareRequest(Agent, Link, m, Now, Out);
    return;
  }
  if (isTooBusy(Agent, m, Now)) {
    refuseRequest(Agent, Link, m, ErrorKind::Overloaded,
                  estimateRetryAfter(Agent.Gate), Now, Out);
    return;
  }
  const Duration MayWait = maxUsefulWait(Agent, m);
  const AdmissionResult AdmissionDecision =
      requestAdmission(Agent.Gate, admissionRequestOf(Agent, m, MayWait),
                       maySendPrompt(Agent.Prefill, Now));
  if (AdmissionDecision.EvictedAttempt)
    refuseSlot(Agent, *AdmissionDecision.EvictedAttempt,
               {ErrorKind::Overloaded, "", estimateRetryAfter(Agent.Gate)},
               Out);
  if (AdmissionDecision.Decision == AdmissionDecision::Refuse) {
    refuseRequest(Agent, Link, m, ErrorKind::Overloaded,
                  AdmissionDecision.RetryAfter, Now, Out);
    return;
  }
  addSlot(Agent, Link, m, MayWait, Now);
  if (AdmissionDecision.Decision == AdmissionDecision::Run)
    grantSlot(Agent, m.SlotId, Now, Out);
}

void grantSpareSlots(AgentState &Agent, TimePoint Now, Effects &Out) {
  if (hasSpareCapacity(Agent, Now))
    Agent.LastSpareCapacityAt = Now;
  while (!Agent.SpareQueue.empty() && hasSpareCapacity(Agent, Now)) {
    const AttemptId Which = Agent.SpareQueue.front();
    Agent.SpareQueue.pop_front();
    AdmissionRequest One;
    One.Who.Attempt = Which;
    requestAdmission(Agent.Gate,
                     One); // Always admitted: there is spare capacity.
    grantSlot(Agent, Which, Now, Out);
  }
}

void grantOrRefuseSlot(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                       Effects &Out) {
  const Slot &One = Agent.SlotsById.at(Which);
  // WaitUntil already allows for its own prompt, but not for those before it.
  if (Now + prefillTimeLeft(Agent.Prefill, Now) <= One.WaitUntil) {
    grantSlot(Agent, Which, Now, Out);
    return;
  }
  recordRunEnd(Agent.Gate, Which, RunEnd::NotStarted, {});
  refuseSlot(Agent, Which,
             {ErrorKind::Overloaded, "", estimateRetryAfter(Agent.Gate)}, Out);
}

void grantSlot(AgentState &Agent, const AttemptId &Which, TimePoint Now,
               Effects &Out) {
  Slot &One = Agent.SlotsById.at(Which);
  One.Granted = true;
  One.GrantedAt = Now;
  countBackEndRequest(Agent, Now);
  addPrompt(Agent.Prefill, One.RequestMessage.PromptTokens, Now);
  One.PrefillAtGrant = prefillTimeLeft(Agent.Prefill, Now);
  ++Agent.Counters.Started;
  sendSlotAnswer(Agent, One.Link, One.RequestMessage, nullptr,
                 Now - One.RequestedAt, Now, Out);
}

void refuseSlot(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                Effects &Out) {
  const TimePoint Now = Agent.Fleet.LastTick;
  const auto it = Agent.SlotsById.find(Which);
  if (it == Agent.SlotsById.end())
    return;
  ++Agent.Counters.Refused[Why.Kind];
  const Slot &One = it->second;
  sendSlotAnswer(Agent, One.Link, One.RequestMessage, &Why,
                 Now - One.RequestedAt, Now, Out);
  Agent.SlotsById.erase(it);
}

void handleSlotRelease(AgentState &Agent, const SlotRelease &m, TimePoint Now,
                       Effects &Out) {
  const auto it = Agent.SlotsById.find(m.SlotId);
  if (it == Agent.SlotsById.end())
    return;
  const Slot One = it->second;
  Agent.SlotsById.erase(it);
  if (!One.Granted) {
    dequeueSlot(Agent, m.SlotId);
    return;
  }
  if (m.FirstPartMillis > 0)
    recordFirstPart(Agent.FirstPart, toDuration(m.FirstPartMillis),
                    One.PrefillAtGrant);
  if (!m.Sent) {
    refundRequest(Agent.Rate);
    if (Now < Agent.ColdUntil)
      refundRequest(Agent.ColdStartRate);
  }
  const RunEnd Incomplete = m.Sent ? RunEnd::Abandoned : RunEnd::NotStarted;
  recordRunEnd(Agent.Gate, m.SlotId,
               m.IsComplete ? RunEnd::Complete : Incomplete,
               Now - One.GrantedAt);
  Agent.Counters.Completed += m.IsComplete ? 1 : 0;
  startWaitingWork(Agent, Now, Out);
  grantSpareSlots(Agent, Now, Out);
}

bool isWithinRateLimits(AgentState &Agent, TimePoint Now) {
  return maySendRequest(Agent.Rate, 1, Now) &&
         (Now >= Agent.ColdUntil ||
          maySendRequest(Agent.ColdStartRate, ColdRateShare, Now));
}

void countBackEndRequest(AgentState &Agent, TimePoint Now) {
  countRequest(Agent.Rate);
  if (Now < Agent.ColdUntil)
    countRequest(Agent.ColdStartRate);
}

void handleRateNotice(AgentState &Agent, const RateLimitNotice &m,
                      TimePoint Now, Effects &Out) {
  if (m.PerSecond) {
    const TimePoint AnswerArrivedAt = Now - toDuration(m.AgeMillis);
    logRateChange(Agent,
                  recordRateLimit(Agent.Rate, *m.PerSecond, AnswerArrivedAt),
                  "entry", Out);
    return;
  }
  const auto it = Agent.SlotsById.find(m.SlotId);
  if (it != Agent.SlotsById.end() && it->second.Granted)
    logRateChange(Agent, recordNoRateLimit(Agent.Rate, it->second.GrantedAt),
                  "entry", Out);
}

void logRateChange(const AgentState &Agent, RateChange Change, const char *From,
                   Effects &Out) {
  if (Change != RateChange::None)
    Out.push_back(LogNote{LogPart::Admission, LogLevel::Info,
                          "event=rate_limit from=" + std::string(From) +
                              " per_second=" + formatRateLimit(Agent.Rate)});
}

void detachSlots(AgentState &Agent, LinkId Link, TimePoint Now, Effects &) {
  for (auto it = Agent.SlotsById.begin(); it != Agent.SlotsById.end();) {
    Slot &One = it->second;
    if (One.Link == Link && !One.Granted) {
      dequeueSlot(Agent, it->first);
      it = Agent.SlotsById.erase(it);
      continue;
    }
    if (One.Link == Link && !One.LinkLostAt)
      One.LinkLostAt = Now;
    ++it;
  }
}

void expireSlots(AgentState &Agent, TimePoint Now, Effects &Out) {
  std::vector<AttemptId> Over;
  for (const auto &[Which, One] : Agent.SlotsById) {
    const bool Lost =
        One.LinkLostAt && Now - *One.LinkLostAt >= LostLinkTimeout;
    if (One.Granted && (Lost || Now - One.GrantedAt >= MaxHeldTime))
      Over.push_back(Which);
  }
  for (const AttemptId &Which : Over)
    handleSlotRelease(Agent, {Which, false, true}, Now, Out);
  if (hasOutdatedWeights(Agent, Now))
    refuseWaiting(Agent, ErrorKind::WeightsNotReady, Out);
  std::vector<AttemptId> Late;
  for (const auto &[Which, One] : Agent.SlotsById)
    if (!One.Granted && Now >= One.WaitUntil)
      Late.push_back(Which);
  for (const AttemptId &Which : Late) {
    dequeueSlot(Agent, Which);
    refuseSlot(Agent, Which,
               {ErrorKind::Overloaded, "", estimateRetryAfter(Agent.Gate)},
               Out);
  }
}

} // namespace jacinthpond
