/** @file admission.cpp Admission control for one back end. */

#include "admission/admission_func.h"

#include "admission/fair_queue_func.h"
#include "admission/token_pace_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Weight of the old average of service times against a new sample's 1. */
constexpr int OldWeight = 7;
/** Maximum of queued attempts that run alone; each one blocks all others. */
constexpr size_t MaxWaitingAlone = 16;
/** Shortest retry time given with a refusal. */
constexpr Millis MinRetryAfter{50};

/** Requests that the back end may be running. */
uint32_t occupiedSlots(const Admission &Gate) {
  return Gate.Running + Gate.Lingering;
}

/** Says whether a slot is free and no attempt runs or waits to run alone. */
bool mayStart(const Admission &Gate) {
  return !Gate.Alone && Gate.WaitingAlone.empty() &&
         occupiedSlots(Gate) < Gate.Limit;
}

/** Estimates the time until this many more attempts have started. */
Duration timeToStart(const Admission &Gate, size_t Attempts) {
  const uint32_t Limit = std::max(1U, Gate.Limit);
  const uint32_t Above = std::max(occupiedSlots(Gate), Gate.Limit) - Gate.Limit;
  return Gate.ServiceTime * static_cast<int64_t>(Attempts + Above) / Limit;
}

/** Gives a refusal with a retry time. */
AdmissionResult refusal(const Admission &Gate) {
  return {AdmissionDecision::Refuse, estimateRetryAfter(Gate), {}};
}

/** Admits, queues or refuses an attempt that must run alone. */
AdmissionResult requestToRunAlone(Admission &Gate, const AttemptId &Attempt) {
  if (occupiedSlots(Gate) == 0 && Gate.Limit > 0) {
    ++Gate.Running;
    Gate.Alone = Attempt;
    return {AdmissionDecision::Run, Millis{0}, {}};
  }
  if (Gate.WaitingAlone.size() >= MaxWaitingAlone)
    return refusal(Gate);
  Gate.WaitingAlone.push_back(Attempt);
  return {AdmissionDecision::Wait, Millis{0}, {}};
}

/** Completed attempts after which the current limit grows. */
uint32_t completionsToGrow(const Admission &Gate) {
  return Gate.Limit <= Gate.Limits.Cold
             ? std::max(Gate.Limits.WarmAfter, Gate.Limit)
             : Gate.Limit;
}

/** Counts a completed attempt, and doubles the limit after enough of them. */
void growLimit(Admission &Gate) {
  // A cold back end collapses under full load, and idling does not warm it, so
  // the limit grows only with completed attempts. One that ends while more than
  // the limit are running started before the limit fell and is not counted.
  if (occupiedSlots(Gate) >= Gate.Limit + 1 || Gate.Limit >= Gate.Limits.Warm)
    return;
  ++Gate.CompletedAtLimit;
  if (Gate.ReportedCold || isLikelyCold(Gate.Pace) ||
      Gate.CompletedAtLimit < completionsToGrow(Gate))
    return;
  Gate.Limit = std::min(Gate.Limits.Warm, Gate.Limit * 2);
  Gate.CompletedAtLimit = 0;
}

/** Adds a run time to the moving average. */
void updateServiceTime(Admission &Gate, Duration Took) {
  Gate.ServiceTime =
      Gate.ServiceTime.count() == 0
          ? Took
          : (Gate.ServiceTime * OldWeight + Took) / (OldWeight + 1);
}

} // namespace

void applyColdLimit(Admission &Gate) {
  Gate.Limit = std::min(Gate.Limits.Cold, Gate.Limits.Warm);
  Gate.CompletedAtLimit = 0;
  clearGaps(Gate.Pace);
}

void applyBackEndReport(Admission &Gate, uint32_t Running, bool Cold,
                        bool Fresh) {
  // The report lags and may omit attempts that started since the previous one,
  // so only attempts that ran at both reports are subtracted.
  const uint32_t Known = std::min(Gate.RunningAtReport, Gate.Running);
  const uint32_t Others = Running > Known ? Running - Known : 0;
  // An agent may restart while the engine still runs requests of its former
  // incarnation; if they were not counted, the limit would be exceeded.
  Gate.Lingering = Fresh ? Others : std::min(Gate.Lingering, Others);
  Gate.RunningAtReport = Gate.Running;
  Gate.ReportedCold = Cold;
  if (Cold && Gate.Limit > Gate.Limits.Cold)
    applyColdLimit(Gate);
}

bool canRunNow(const Admission &Gate, uint32_t Kept) {
  return Gate.Waiting.Size == 0 && mayStart(Gate) &&
         occupiedSlots(Gate) + Kept < Gate.Limit;
}

AdmissionResult requestAdmission(Admission &Gate, const AdmissionRequest &One,
                                 bool AtOnce) {
  if (One.Alone)
    return requestToRunAlone(Gate, One.Who.Attempt);
  if (AtOnce && canRunNow(Gate)) {
    ++Gate.Running;
    return {AdmissionDecision::Run, Millis{0}, {}};
  }
  // An attempt whose deadline expires before its turn would only block others.
  const size_t Before = countAhead(Gate.Waiting, One.Who) + 1;
  if (timeToStart(Gate, Before) + Gate.ServiceTime > One.Remaining)
    return refusal(Gate);
  AdmissionResult Answer{AdmissionDecision::Wait, Millis{0}, {}};
  if (Gate.Waiting.Size >= Gate.Limits.Queue) {
    Answer.EvictedAttempt = evictForNewcomer(Gate.Waiting, One.Who);
    if (!Answer.EvictedAttempt)
      return refusal(Gate);
  }
  enqueueWaiter(Gate.Waiting, One.Who);
  return Answer;
}

void recordRunEnd(Admission &Gate, const AttemptId &Attempt, RunEnd How,
                  Duration Took) {
  if (How == RunEnd::Complete) {
    updateServiceTime(Gate, Took);
    growLimit(Gate);
  }
  if (Gate.Running > 0)
    --Gate.Running;
  // A back end notices late that an answer is no longer read, so the slot stays
  // occupied until a report shows fewer running requests.
  if (How == RunEnd::Abandoned)
    ++Gate.Lingering;
  if (Gate.Alone == Attempt)
    Gate.Alone.reset();
}

bool recordTokenGap(Admission &Gate, Duration Gap) {
  recordGap(Gate.Pace, Gap, Gate.Limit >= Gate.Limits.Warm);
  if (Gate.Limit <= Gate.Limits.Cold || !isLikelyCold(Gate.Pace))
    return false;
  applyColdLimit(Gate);
  return true;
}

std::optional<AttemptId> admitNext(Admission &Gate) {
  if (!Gate.WaitingAlone.empty() && !Gate.Alone && occupiedSlots(Gate) == 0) {
    Gate.Alone = Gate.WaitingAlone.front();
    Gate.WaitingAlone.pop_front();
    ++Gate.Running;
    return Gate.Alone;
  }
  if (!mayStart(Gate))
    return std::nullopt;
  const auto Next = dequeueWaiter(Gate.Waiting);
  if (Next)
    ++Gate.Running;
  return Next;
}

bool removeWaiting(Admission &Gate, const AttemptId &Attempt) {
  return std::erase(Gate.WaitingAlone, Attempt) > 0 ||
         removeWaiter(Gate.Waiting, Attempt);
}

std::vector<AttemptId> waitingAttempts(const Admission &Gate) {
  std::vector<AttemptId> All = allWaiters(Gate.Waiting);
  All.insert(All.end(), Gate.WaitingAlone.begin(), Gate.WaitingAlone.end());
  return All;
}

Millis estimateRetryAfter(const Admission &Gate) {
  if (Gate.ServiceTime.count() == 0)
    return Millis{0};
  const size_t Ahead = Gate.Waiting.Size + Gate.WaitingAlone.size() + 1;
  return std::max(MinRetryAfter, toMillis(timeToStart(Gate, Ahead)));
}

} // namespace jacinthpond
