/** @file attempt.cpp Lifecycle of attempts at an agent. */

#include "attempts/attempt_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "admission/reading_func.h"
#include "admission/token_pace_func.h"
#include "attempts/back_end_death_func.h"
#include "attempts/back_end_pause_func.h"
#include "attempts/ended_attempts_func.h"
#include "attempts/keyed_attempt_func.h"
#include "attempts/place_func.h"
#include "base/error_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

namespace jacinthpond {

namespace {

/** Range of the jitter on a retry delay, in percent of the delay. */
constexpr uint64_t JitterMinPercent = 75;
constexpr uint64_t JitterRangePercent = 50;

/** Adds jitter to a retry delay, so that callers refused at the same time don't
 * all retry at the same time. */
Millis jitteredWait(Millis Wait, const AttemptId &Which) {
  const uint64_t Share =
      JitterMinPercent +
      rendezvousScore("come back", Which.Value) % JitterRangePercent;
  return Wait * static_cast<int64_t>(Share) / 100;
}

/**
 * How long an attempt continues after its link was lost. Longer than an entry
 * needs to reopen a link and ask for the attempt.
 */
constexpr Millis DetachedTimeout{8000};
/** How long a refusal is remembered; longer than a link may be silent. */
constexpr Millis RefusalRetention{10000};

/** Refuses a request for an attempt that was not accepted, and remembers the
 * refusal. */
void refuseStart(AgentState &Agent, LinkId Link, const AttemptId &Which,
                 const Failure &Why, Effects &Out) {
  ++Agent.Counters.Refused[Why.Kind];
  AttemptFailed m;
  m.Attempt = Which;
  m.Kind = Why.Kind;
  m.Executed = Ran::No;
  m.Detail = Why.Detail;
  m.RetryAfterMillis =
      static_cast<uint64_t>(jitteredWait(Why.RetryAfter, Which).count());
  Out.push_back(SendMessage{Link, m});
  const TimePoint Now = Agent.Fleet.LastTick;
  EndedAttempt Ended;
  Ended.Final = m;
  Ended.ForgetAt = Now + RefusalRetention;
  rememberEnded(Agent.Ended, Which, std::move(Ended), Now);
}

/** Moves an attempt to the record of ended ones. */
void archiveAttempt(AgentState &Agent, const AttemptId &Which,
                    std::variant<AttemptFailed, AnswerEnd> Final) {
  const auto it = Agent.Attempts.find(Which);
  Attempt &One = it->second;
  EndedAttempt Ended;
  Ended.Final = std::move(Final);
  if (One.AttemptStartedSent)
    Ended.Weights = One.Weights;
  Ended.FirstFrame = One.StartMessage.ResumeFrom;
  Ended.Frames = std::move(One.Frames);
  const auto *Failed = std::get_if<AttemptFailed>(&Ended.Final);
  const bool NeverRan = Failed != nullptr && Failed->Executed == Ran::No;
  // A forgotten attempt is reported as never seen. That is true of one that did
  // not run, so its record may expire early.
  Ended.ForgetAt = NeverRan ? Agent.Fleet.LastTick + RefusalRetention
                            : One.Deadline + EndedRetention;
  rememberEnded(Agent.Ended, Which, std::move(Ended), Agent.Fleet.LastTick);
  Agent.Attempts.erase(it);
}

/**
 * Sends frames again, from the first one that the entry lacks.
 * @param First Sequence number of Frames.front().
 * @param Next First frame that the entry lacks.
 */
void resendFrames(LinkId Link, const AttemptId &Which, uint64_t First,
                  const std::vector<std::string> &Frames, uint64_t Next,
                  Effects &Out) {
  for (uint64_t n = std::max(First, Next); n < First + Frames.size(); ++n)
    Out.push_back(
        SendMessage{Link, AnswerFrame{Which, n, Frames.at(n - First)}});
}

/** Sends the end of an attempt again, after the frames that the entry lacks;
 * an error instead when these are no longer stored. */
void resendEnd(LinkId Link, const AttemptQuery &m, const EndedAttempt &One,
               Effects &Out) {
  if (One.Weights)
    Out.push_back(SendMessage{Link, AttemptStarted{m.Attempt, *One.Weights}});
  resendFrames(Link, m.Attempt, One.FirstFrame, One.Frames, m.NextFrame, Out);
  const auto *End = std::get_if<AnswerEnd>(&One.Final);
  const bool Dropped = End != nullptr &&
                       One.FirstFrame + One.Frames.size() < End->Count &&
                       m.NextFrame < End->Count;
  if (Dropped) {
    Out.push_back(SendMessage{
        Link, AttemptFailed{m.Attempt, ErrorKind::PartialAnswer, Ran::Yes,
                            "the answer is no longer held", 0}});
    return;
  }
  std::visit(
      [&](const auto &Final) {
        Out.push_back(SendMessage{Link, Final});
      },
      One.Final);
}

/** Fails a queued attempt that was evicted from the full queue by another. */
void refuseEvicted(AgentState &Agent, const AttemptId &Which, Effects &Out) {
  const Millis Wait = jitteredWait(estimateRetryAfter(Agent.Gate), Which);
  failAttempt(Agent, Which, {ErrorKind::Overloaded, "queue full", Wait},
              Ran::No, Out);
}

/** Gives the weight of a workspace in the fair queue; 1 if it is not listed. */
uint32_t workspaceWeight(const Document &Doc, const WorkspaceName &Name) {
  const auto it = std::ranges::find(Doc.Workspaces, Name, &Workspace::Name);
  return it == Doc.Workspaces.end() ? 1 : it->Weight;
}

/** Gives the error for a request that made too many back ends die. */
Failure quarantineFailure(const AgentState &Agent, const AttemptStart &m,
                          TimePoint Now) {
  const Digest Fingerprint = fingerprintOf(m.Workspace, m.Class, m.Body);
  return {ErrorKind::Quarantined, "it made back ends fail",
          refusalTimeLeft(Agent.Suspects, Fingerprint, Now)};
}

/** Describes an attempt to admission control: workspace, priority, time left.
 */
AdmissionRequest admissionRequestOf(const AgentState &Agent,
                                    const AttemptStart &m) {
  const Document &Doc = *Agent.View.InForce;
  const WorkClass *Class = findClass(Doc, m.Class);
  AdmissionRequest One;
  One.Who = {m.Attempt, m.Workspace, workspaceWeight(Doc, m.Workspace),
             Class == nullptr ? 1 : Class->Priority};
  if (Agent.Config.FifoQueue)
    One.Who = {m.Attempt, {}, 1, 1};
  One.Remaining = Millis(static_cast<int64_t>(m.RemainingMillis));
  One.Alone = m.MustRunAlone;
  return One;
}

/** Gives the reason why this agent cannot accept an attempt now, if any. */
std::optional<ErrorKind> refusalReason(const AgentState &Agent,
                                       const AttemptStart &m) {
  if (isAgentLeaving(Agent))
    return ErrorKind::Leaving;
  // A leaving entry only asks whether its key ran; nothing is to run for it.
  if (m.RemainingMillis == 0)
    return ErrorKind::Deadline;
  if (!Agent.View.InForce || !isViewFresh(Agent.Fleet))
    return ErrorKind::StaleView;
  const Document &Doc = *Agent.View.InForce;
  if (Doc.DomainsOut.contains(Agent.Fleet.Self.Domain))
    return ErrorKind::DomainOut;
  const WorkClass *Class = findClass(Doc, m.Class);
  const Worker *Self = findWorker(Doc, Agent.Fleet.Self.Name);
  if (Class == nullptr || Self == nullptr || !servesClass(*Self, *Class))
    return ErrorKind::NoWorker;
  if (!Agent.BackEndUp)
    return ErrorKind::NoWorker;
  if (Class->Kind == BackEndKind::Service)
    return std::nullopt;
  if (!mayServe(Agent.Weights))
    return ErrorKind::WeightsNotReady;
  if (!m.ResumeOn.Value.empty() && m.ResumeOn != Agent.Weights.Loaded)
    return ErrorKind::WeightsNotReady;
  return std::nullopt;
}

/** Gives the refusal of an attempt that this agent cannot accept now, if any.
 */
std::optional<Failure> refusalOf(const AgentState &Agent, const AttemptStart &m,
                                 TimePoint Deadline, TimePoint Now) {
  if (const auto Reason = refusalReason(Agent, m))
    return Failure{*Reason, "", {}};
  return pauseRefusal(Agent, m, Deadline, Now);
}

/** With fewer answers in progress no stall is assumed. */
constexpr size_t MinAnswersForStall = 2;

/** Sends an attempt to the back end. */
void beginAttempt(AgentState &Agent, Attempt &One, TimePoint Now,
                  Effects &Out) {
  One.State = KnownAttemptState::Running;
  One.StartedAt = Now;
  One.RanAlone = Agent.Gate.Alone == One.StartMessage.Attempt;
  ++Agent.Counters.Started;
  countBackEndRequest(Agent, Now);
  const WorkClass *Class =
      findClass(*Agent.View.InForce, One.StartMessage.Class);
  if (!Agent.Config.EngineUrl.empty()) {
    EngineRequest Request;
    Request.Attempt = One.StartMessage.Attempt;
    Request.Body = One.StartMessage.Body;
    Request.Priority = Class == nullptr ? 1 : Class->Priority;
    Request.ResumeFrom = One.StartMessage.ResumeFrom;
    Out.push_back(RunModel{Request});
    return;
  }
  ServiceCall Call;
  Call.Attempt = One.StartMessage.Attempt;
  Call.Class = One.StartMessage.Class;
  Call.Key = One.StartMessage.Key;
  Call.Body = One.StartMessage.Body;
  Call.Timeout = toMillis(One.Deadline - Now);
  // Waits longer than the caller does, so that a repeat gets the answer.
  if (!Call.Key.Value.empty())
    Call.Timeout = std::max(Call.Timeout, Agent.View.InForce->RetryHorizon);
  markKeyRunning(Agent, One.StartMessage);
  sendAttemptStarted(One, {}, Out);
  Out.push_back(RunService{Call});
}

/** Starts an attempt, queues it, or refuses it as not run. */
void admitAttempt(AgentState &Agent, Attempt &One, TimePoint Now,
                  Effects &Out) {
  const AttemptStart &m = One.StartMessage;
  const Suspicion Suspected = suspicionOf(Agent, m, Now);
  if (Suspected == Suspicion::Refuse) {
    failAttempt(Agent, AttemptId(m.Attempt), quarantineFailure(Agent, m, Now),
                Ran::No, Out);
    return;
  }
  AdmissionRequest Candidate = admissionRequestOf(Agent, m);
  Candidate.Alone = Candidate.Alone || mustRunAlone(Suspected);
  const AdmissionResult Answer = requestAdmission(
      Agent.Gate, Candidate,
      !isMostlyStalled(Agent, Now) && isWithinRateLimits(Agent, Now) &&
          !isBackEndPaused(Agent, Now));
  if (Answer.EvictedAttempt)
    refuseEvicted(Agent, *Answer.EvictedAttempt, Out);
  if (Answer.Decision == AdmissionDecision::Refuse)
    failAttempt(Agent, AttemptId(m.Attempt),
                {ErrorKind::Overloaded, "queue full",
                 jitteredWait(Answer.RetryAfter, m.Attempt)},
                Ran::No, Out);
  if (Answer.Decision == AdmissionDecision::Run)
    beginAttempt(Agent, One, Now, Out);
}

} // namespace

bool isAgentLeaving(const AgentState &Agent) {
  return Agent.Stopping ||
         isDeparting(Agent.Fleet, Agent.Fleet.Self.Name, Agent.Fleet.Self.Run);
}

void handleAttemptStart(AgentState &Agent, LinkId Link, const AttemptStart &m,
                        TimePoint Now, Effects &Out) {
  // The message may be a repeat, or arrive after a query for its attempt was
  // answered with "never seen". The attempt must not run twice, nor after that
  // answer.
  if (Agent.Attempts.contains(m.Attempt) ||
      Agent.Ended.ById.contains(m.Attempt)) {
    ++Agent.Counters.RepeatedStarts;
    return;
  }
  Attempt One;
  One.StartMessage = m;
  One.Link = Link;
  One.ArrivedAt = Now;
  One.Deadline = Now + Millis(static_cast<int64_t>(m.RemainingMillis));
  const auto Refusal = refusalOf(Agent, m, One.Deadline, Now);
  const bool Keyed = !m.Key.Value.empty();
  if (Refusal && !Keyed) {
    refuseStart(Agent, Link, m.Attempt, *Refusal, Out);
    return;
  }
  if (Keyed && answerFromKeyRecord(Agent, One, Refusal, Now, Out))
    return;
  Attempt &Kept = Agent.Attempts[m.Attempt] = One;
  if (Keyed)
    recordKeyOf(Agent, m, Now);
  admitAttempt(Agent, Kept, Now, Out);
}

void cancelAttempt(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                   Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  it->second.Cancelled = true;
  if (removeWaiting(Agent.Gate, Which)) {
    failAttempt(Agent, Which, {ErrorKind::Deadline, "cancelled", {}}, Ran::No,
                Out);
    return;
  }
  // A call with a key continues, since its record needs the result.
  if (it->second.StartMessage.Key.Value.empty())
    Out.push_back(CancelRun{Which});
  startWaitingWork(Agent, Now, Out);
}

void failAttempt(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 Ran Executed, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  ++Agent.Counters.Refused[Why.Kind];
  AttemptFailed m;
  m.Attempt = Which;
  m.Kind = Why.Kind;
  m.Executed = Executed;
  m.Detail = Why.Detail;
  m.RetryAfterMillis = static_cast<uint64_t>(Why.RetryAfter.count());
  Out.push_back(SendMessage{it->second.Link, m});
  Out.push_back(LogNote{LogPart::Requests, LogLevel::Info,
                        "Request " + it->second.StartMessage.Request.Value +
                            ": attempt " + Which.Value +
                            " failed: " + errorAnswerFor(Why.Kind).Name +
                            ", ran " + std::string(ranName(Executed)) + "."});
  const AttemptStart Asked = it->second.StartMessage;
  archiveAttempt(Agent, Which, m);
  settleFailedKey(Agent, Asked, Why, Executed, Out);
}

void finishAttempt(AgentState &Agent, const AttemptId &Which, int Status,
                   Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  const Attempt &One = it->second;
  AnswerEnd m;
  m.Attempt = Which;
  m.Count = nextFrameNumber(One);
  m.Content = sha256(
      std::accumulate(One.Frames.begin(), One.Frames.end(), std::string()));
  m.Status = Status;
  Out.push_back(SendMessage{One.Link, m});
  ++Agent.Counters.Completed;
  archiveAttempt(Agent, Which, m);
}

void handleAttemptQuery(AgentState &Agent, LinkId Link, const AttemptQuery &m,
                        TimePoint Now, Effects &Out) {
  const Incarnation Self = Agent.Fleet.Self.Run;
  if (const auto it = Agent.Attempts.find(m.Attempt);
      it != Agent.Attempts.end()) {
    Attempt &One = it->second;
    One.Link = Link;
    One.LinkLostAt.reset();
    Out.push_back(SendMessage{Link, AttemptStatus{m.Attempt, One.State, Self}});
    if (One.AttemptStartedSent)
      Out.push_back(SendMessage{Link, AttemptStarted{m.Attempt, One.Weights}});
    resendFrames(Link, m.Attempt, One.StartMessage.ResumeFrom, One.Frames,
                 m.NextFrame, Out);
    return;
  }
  if (const auto it = Agent.Ended.ById.find(m.Attempt);
      it != Agent.Ended.ById.end()) {
    Out.push_back(SendMessage{
        Link, AttemptStatus{m.Attempt, KnownAttemptState::Finished, Self}});
    resendEnd(Link, m, it->second, Out);
    return;
  }
  const bool Certain = hasAllEndedAttempts(Agent.Ended, Now);
  Out.push_back(
      SendMessage{Link, AttemptStatus{m.Attempt, KnownAttemptState::NeverSeen,
                                      Certain ? Self : Incarnation{}}});
  // Its AttemptStart may still arrive over the old link and must not run then.
  EndedAttempt Revoked;
  Revoked.Final = AttemptFailed{m.Attempt, ErrorKind::Unreachable, Ran::No,
                                "asked after before it came", 0};
  Revoked.ForgetAt = Now + EndedRetention;
  rememberEnded(Agent.Ended, m.Attempt, std::move(Revoked), Now);
}

void detachAttempts(AgentState &Agent, LinkId Link, TimePoint Now) {
  for (auto &[Id, One] : Agent.Attempts)
    if (One.Link == Link && !One.LinkLostAt)
      One.LinkLostAt = Now;
}

void expireAttempts(AgentState &Agent, TimePoint Now, Effects &Out) {
  std::vector<AttemptId> Abandoned;
  for (const auto &[Id, One] : Agent.Attempts)
    if (One.LinkLostAt && Now - *One.LinkLostAt >= DetachedTimeout &&
        !One.Cancelled)
      Abandoned.push_back(Id);
  for (const AttemptId &Which : Abandoned)
    cancelAttempt(Agent, Which, Now, Out);
  expireEnded(Agent.Ended, Now);
}

uint64_t nextFrameNumber(const Attempt &One) {
  return One.StartMessage.ResumeFrom + One.Frames.size();
}

void sendAttemptStarted(Attempt &One, const Digest &Weights, Effects &Out) {
  One.AttemptStartedSent = true;
  One.Weights = Weights;
  Out.push_back(
      SendMessage{One.Link, AttemptStarted{One.StartMessage.Attempt, Weights}});
}

void sendFrame(Attempt &One, const std::string &Data, Effects &Out) {
  Out.push_back(SendMessage{One.Link, AnswerFrame{One.StartMessage.Attempt,
                                                  nextFrameNumber(One), Data}});
  One.Frames.push_back(Data);
}

void startWaitingWork(AgentState &Agent, TimePoint Now, Effects &Out) {
  // Checks for stalls here too: the tick that lowers the limit may come late
  // when this process itself gets little processor time. The back end's next
  // report starts the rest.
  while (maySendPrompt(Agent.Prefill, Now) && !isMostlyStalled(Agent, Now) &&
         isWithinRateLimits(Agent, Now) && !isBackEndPaused(Agent, Now)) {
    const auto Next = admitNext(Agent.Gate);
    if (!Next)
      return;
    if (Agent.SlotsById.contains(*Next)) {
      grantOrRefuseSlot(Agent, *Next, Now, Out);
      continue;
    }
    Attempt &One = Agent.Attempts.at(*Next);
    if (Now < One.Deadline) {
      beginAttempt(Agent, One, Now, Out);
      continue;
    }
    recordRunEnd(Agent.Gate, *Next, RunEnd::NotStarted, {});
    failAttempt(Agent, *Next, {ErrorKind::Deadline, "waited too long", {}},
                Ran::No, Out);
  }
}

void readmitSuspect(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                    Effects &Out) {
  Attempt &One = Agent.Attempts.at(Which);
  if (suspicionOf(Agent, One.StartMessage, Now) == Suspicion::Refuse) {
    failAttempt(Agent, Which, quarantineFailure(Agent, One.StartMessage, Now),
                Ran::No, Out);
    return;
  }
  AdmissionRequest Candidate = admissionRequestOf(Agent, One.StartMessage);
  Candidate.Alone = true;
  const AdmissionResult Answer =
      requestAdmission(Agent.Gate, Candidate, !isBackEndPaused(Agent, Now));
  if (Answer.Decision == AdmissionDecision::Refuse)
    failAttempt(Agent, Which,
                {ErrorKind::Overloaded, "queue full", Answer.RetryAfter},
                Ran::No, Out);
  if (Answer.Decision == AdmissionDecision::Run)
    beginAttempt(Agent, One, Now, Out);
}

void refuseWaiting(AgentState &Agent, ErrorKind Kind, Effects &Out) {
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    removeWaiting(Agent.Gate, Which);
    refuseSlot(Agent, Which, {Kind, "", {}}, Out);
    failAttempt(Agent, Which, {Kind, "", {}}, Ran::No, Out);
  }
  for (const AttemptId &Which : std::exchange(Agent.SpareQueue, {}))
    refuseSlot(Agent, Which, {Kind, "", {}}, Out);
}

bool isMostlyStalled(const AgentState &Agent, TimePoint Now) {
  size_t Begun = 0;
  size_t Stalled = 0;
  for (const auto &[Id, One] : Agent.Attempts) {
    if (One.LastTokenAt == TimePoint{})
      continue;
    ++Begun;
    Stalled += isFarAboveWarm(Agent.Gate.Pace, Now - One.LastTokenAt) ? 1 : 0;
  }
  return Begun >= MinAnswersForStall && Stalled * 2 > Begun;
}

void refuseOverdueAttempts(AgentState &Agent, TimePoint Now, Effects &Out) {
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    const auto it = Agent.Attempts.find(Which);
    if (it == Agent.Attempts.end() || Now < it->second.Deadline)
      continue; // expireSlots() handles slots.
    removeWaiting(Agent.Gate, Which);
    failAttempt(Agent, Which, {ErrorKind::Deadline, "waited too long", {}},
                Ran::No, Out);
  }
}

} // namespace jacinthpond
