/** @file admission.cpp Bounds on the work of a back end. */

#include "admission/admission_func.h"

#include "admission/fair_queue_func.h"
#include "admission/token_pace_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Weight of the service time so far against a new one. */
constexpr int OldWeight = 7;
/** Attempts that wait to run alone at most; each one stops all others. */
constexpr size_t MaxWaitingAlone = 16;
/** Shortest time that a refused caller is told to stay away. */
constexpr Millis ShortestComeBack{50};

/** Work that the back end may be at. */
uint32_t busy(const Admission &Gate) { return Gate.Running + Gate.Lingering; }

bool mayStart(const Admission &Gate) {
  return !Gate.Alone && Gate.WaitingAlone.empty() && busy(Gate) < Gate.Limit;
}

/** Time until so many attempts have been started. */
Duration timeToStart(const Admission &Gate, size_t Attempts) {
  const uint32_t Limit = std::max(1U, Gate.Limit);
  const uint32_t Above = std::max(busy(Gate), Gate.Limit) - Gate.Limit;
  return Gate.ServiceTime * static_cast<int64_t>(Attempts + Above) / Limit;
}

AdmissionAnswer refusal(const Admission &Gate) {
  return {Admitted::Refuse, timeToComeBack(Gate), {}};
}

AdmissionAnswer askToRunAlone(Admission &Gate, const AttemptId &Attempt) {
  if (busy(Gate) == 0 && Gate.Limit > 0) {
    ++Gate.Running;
    Gate.Alone = Attempt;
    return {Admitted::Run, Millis{0}, {}};
  }
  if (Gate.WaitingAlone.size() >= MaxWaitingAlone)
    return refusal(Gate);
  Gate.WaitingAlone.push_back(Attempt);
  return {Admitted::Wait, Millis{0}, {}};
}

/** Completed work that raises the limit from where it is. */
uint32_t neededToGrow(const Admission &Gate) {
  return Gate.Limit <= Gate.Limits.Cold
             ? std::max(Gate.Limits.WarmAfter, Gate.Limit)
             : Gate.Limit;
}

void growWithWork(Admission &Gate) {
  // A cold back end collapses under full load, and idling does not warm it:
  // the limit grows only with completed work. What ends while more than the
  // limit runs was begun before the limit fell and says nothing about it.
  if (busy(Gate) >= Gate.Limit + 1 || Gate.Limit >= Gate.Limits.Warm)
    return;
  ++Gate.CompletedAtLimit;
  if (Gate.ReportedCold || looksCold(Gate.Pace) ||
      Gate.CompletedAtLimit < neededToGrow(Gate))
    return;
  Gate.Limit = std::min(Gate.Limits.Warm, Gate.Limit * 2);
  Gate.CompletedAtLimit = 0;
}

void learnServiceTime(Admission &Gate, Duration Took) {
  Gate.ServiceTime =
      Gate.ServiceTime.count() == 0
          ? Took
          : (Gate.ServiceTime * OldWeight + Took) / (OldWeight + 1);
}

} // namespace

void turnCold(Admission &Gate) {
  Gate.Limit = std::min(Gate.Limits.Cold, Gate.Limits.Warm);
  Gate.CompletedAtLimit = 0;
  forgetGaps(Gate.Pace);
}

void backEndReported(Admission &Gate, uint32_t Running, bool Cold, bool Fresh) {
  // The report lags: what was begun since the last one may be missing in it,
  // so only what ran at both times is taken off.
  const uint32_t Known = std::min(Gate.RunningAtReport, Gate.Running);
  const uint32_t Others = Running > Known ? Running - Known : 0;
  // Without this, an agent that restarts beside an engine that goes on with
  // old requests would start its limit on top of them.
  Gate.Lingering = Fresh ? Others : std::min(Gate.Lingering, Others);
  Gate.RunningAtReport = Gate.Running;
  Gate.ReportedCold = Cold;
  if (Cold && Gate.Limit > Gate.Limits.Cold)
    turnCold(Gate);
}

bool runsAtOnce(const Admission &Gate, uint32_t Kept) {
  return Gate.Waiting.Size == 0 && mayStart(Gate) &&
         busy(Gate) + Kept < Gate.Limit;
}

AdmissionAnswer askToRun(Admission &Gate, const Admittee &One, bool AtOnce) {
  if (One.Alone)
    return askToRunAlone(Gate, One.Who.Attempt);
  if (AtOnce && runsAtOnce(Gate)) {
    ++Gate.Running;
    return {Admitted::Run, Millis{0}, {}};
  }
  // One whose time ends before its turn would only take a place from others.
  const size_t Before = aheadOf(Gate.Waiting, One.Who) + 1;
  if (timeToStart(Gate, Before) + Gate.ServiceTime > One.Remaining)
    return refusal(Gate);
  AdmissionAnswer Answer{Admitted::Wait, Millis{0}, {}};
  if (Gate.Waiting.Size >= Gate.Limits.Queue) {
    Answer.PushedOut = makeRoom(Gate.Waiting, One.Who);
    if (!Answer.PushedOut)
      return refusal(Gate);
  }
  pushWaiter(Gate.Waiting, One.Who);
  return Answer;
}

void runEnded(Admission &Gate, const AttemptId &Attempt, RunEnd How,
              Duration Took) {
  if (How == RunEnd::Whole) {
    learnServiceTime(Gate, Took);
    growWithWork(Gate);
  }
  if (Gate.Running > 0)
    --Gate.Running;
  // A back end notices late that nobody reads an answer any more: the place
  // stays taken until it reports less.
  if (How == RunEnd::CutOff)
    ++Gate.Lingering;
  if (Gate.Alone == Attempt)
    Gate.Alone.reset();
}

bool tokenCame(Admission &Gate, Duration Gap) {
  gapSeen(Gate.Pace, Gap, Gate.Limit >= Gate.Limits.Warm);
  if (Gate.Limit <= Gate.Limits.Cold || !looksCold(Gate.Pace))
    return false;
  turnCold(Gate);
  return true;
}

std::optional<AttemptId> nextToRun(Admission &Gate) {
  if (!Gate.WaitingAlone.empty() && !Gate.Alone && busy(Gate) == 0) {
    Gate.Alone = Gate.WaitingAlone.front();
    Gate.WaitingAlone.pop_front();
    ++Gate.Running;
    return Gate.Alone;
  }
  if (!mayStart(Gate))
    return std::nullopt;
  const auto Next = popWaiter(Gate.Waiting);
  if (Next)
    ++Gate.Running;
  return Next;
}

bool stopWaiting(Admission &Gate, const AttemptId &Attempt) {
  return std::erase(Gate.WaitingAlone, Attempt) > 0 ||
         dropWaiter(Gate.Waiting, Attempt);
}

std::vector<AttemptId> waitingAttempts(const Admission &Gate) {
  std::vector<AttemptId> All = allWaiters(Gate.Waiting);
  All.insert(All.end(), Gate.WaitingAlone.begin(), Gate.WaitingAlone.end());
  return All;
}

Millis timeToComeBack(const Admission &Gate) {
  if (Gate.ServiceTime.count() == 0)
    return Millis{0};
  const size_t Ahead = Gate.Waiting.Size + Gate.WaitingAlone.size() + 1;
  return std::max(ShortestComeBack, toMillis(timeToStart(Gate, Ahead)));
}

} // namespace jacinthpond
