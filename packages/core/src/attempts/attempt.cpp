/** @file attempt.cpp Attempts at an agent: taken, run, answered. */

#include "attempts/attempt_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "admission/reading_func.h"
#include "admission/token_pace_func.h"
#include "attempts/back_end_death_func.h"
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

/** Shares of a told wait, in hundredths, between which callers are spread. */
constexpr uint64_t SpreadFrom = 75;
constexpr uint64_t SpreadWidth = 50;

/** Callers refused together are not told to come back together. */
Millis spread(Millis Wait, const AttemptId &Which) {
  const uint64_t Share =
      SpreadFrom + rendezvousScore("come back", Which.Value) % SpreadWidth;
  return Wait * static_cast<int64_t>(Share) / 100;
}

/**
 * How long an attempt whose link was lost goes on without an entry that asks
 * for it. Above the time in which an entry reopens a link and asks.
 */
constexpr Millis DetachedKeep{8000};
/** How long a refusal is remembered: above the longest silence of a link. */
constexpr Millis RefusalKeep{10000};

void refuse(AgentState &Agent, LinkId Link, const AttemptId &Which,
            const Failure &Why, Effects &Out) {
  ++Agent.Counters.Refused[Why.Kind];
  AttemptFailed m;
  m.Attempt = Which;
  m.Kind = Why.Kind;
  m.Executed = Ran::No;
  m.Detail = Why.Detail;
  m.RetryAfterMillis =
      static_cast<uint64_t>(spread(Why.RetryAfter, Which).count());
  Out.push_back(SendMessage{Link, m});
  const TimePoint Now = Agent.Fleet.LastTick;
  EndedAttempt Ended;
  Ended.Final = m;
  Ended.Forget = Now + RefusalKeep;
  rememberEnded(Agent.Ended, Which, std::move(Ended), Now);
}

/** Moves an open attempt to the memory of ended ones. */
void endAttempt(AgentState &Agent, const AttemptId &Which,
                std::variant<AttemptFailed, AnswerEnd> Final) {
  const auto it = Agent.Attempts.find(Which);
  Attempt &One = it->second;
  EndedAttempt Ended;
  Ended.Final = std::move(Final);
  if (One.Begun)
    Ended.Weights = One.Weights;
  Ended.FirstFrame = One.Asked.ResumeFrom;
  Ended.Frames = std::move(One.Frames);
  const auto *Failed = std::get_if<AttemptFailed>(&Ended.Final);
  const bool NeverRan = Failed != nullptr && Failed->Executed == Ran::No;
  // "Not run" stays true of one that was never seen, so it may go early.
  Ended.Forget =
      NeverRan ? Agent.Fleet.LastTick + RefusalKeep : One.Deadline + EndedKeep;
  rememberEnded(Agent.Ended, Which, std::move(Ended), Agent.Fleet.LastTick);
  Agent.Attempts.erase(it);
}

/** Sends frames again from the first one that the entry lacks. */
void sendFramesFrom(LinkId Link, const AttemptId &Which, uint64_t First,
                    const std::vector<std::string> &Frames, uint64_t Next,
                    Effects &Out) {
  for (uint64_t n = std::max(First, Next); n < First + Frames.size(); ++n)
    Out.push_back(
        SendMessage{Link, AnswerFrame{Which, n, Frames.at(n - First)}});
}

/** Sends the end of an attempt again, with what the entry lacks before it. */
void sendEndAgain(LinkId Link, const AttemptQuery &m, const EndedAttempt &One,
                  Effects &Out) {
  if (One.Weights)
    Out.push_back(SendMessage{Link, AttemptBegun{m.Attempt, *One.Weights}});
  sendFramesFrom(Link, m.Attempt, One.FirstFrame, One.Frames, m.NextFrame, Out);
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

/** Tells an attempt that another one has a better claim to its place. */
void pushOut(AgentState &Agent, const AttemptId &Which, Effects &Out) {
  const Millis Wait = spread(timeToComeBack(Agent.Gate), Which);
  failAttempt(Agent, Which, {ErrorKind::Overloaded, "queue full", Wait},
              Ran::No, Out);
}

uint32_t weightOf(const Document &Doc, const TenantName &Name) {
  const auto it = std::ranges::find(Doc.Tenants, Name, &Tenant::Name);
  return it == Doc.Tenants.end() ? 1 : it->Weight;
}

/** Refusal of a request that cost too many back ends. */
Failure quarantined(const AgentState &Agent, const AttemptStart &m,
                    TimePoint Now) {
  const Digest Fingerprint = fingerprintOf(m.Tenant, m.Class, m.Body);
  return {ErrorKind::Quarantined, "it made back ends fail",
          refusedFor(Agent.Suspects, Fingerprint, Now)};
}

Admittee admitteeOf(const AgentState &Agent, const AttemptStart &m) {
  const Document &Doc = *Agent.View.InForce;
  const WorkClass *Class = findClass(Doc, m.Class);
  Admittee One;
  One.Who = {m.Attempt, m.Tenant, weightOf(Doc, m.Tenant),
             Class == nullptr ? 1 : Class->Priority};
  if (Agent.Config.FifoQueue)
    One.Who = {m.Attempt, {}, 1, 1};
  One.Remaining = Millis(static_cast<int64_t>(m.RemainingMillis));
  One.Alone = m.Alone;
  return One;
}

/** Says why this agent takes no such work at all now, or nothing. */
std::optional<ErrorKind> standingRefusal(const AgentState &Agent,
                                         const AttemptStart &m) {
  if (agentIsLeaving(Agent))
    return ErrorKind::Leaving;
  // It is not to run: an entry that leaves asks whether its key did.
  if (m.RemainingMillis == 0)
    return ErrorKind::Deadline;
  if (!Agent.View.InForce || !viewIsFresh(Agent.Fleet))
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

/** Answers in progress from which stalls are judged. */
constexpr size_t FewestStalls = 2;

/** Gives an attempt to the back end. */
void beginAttempt(AgentState &Agent, Attempt &One, TimePoint Now,
                  Effects &Out) {
  One.State = AttemptKnown::Running;
  One.Began = Now;
  One.RanAlone = Agent.Gate.Alone == One.Asked.Attempt;
  ++Agent.Counters.Started;
  countAtBackEnd(Agent, Now);
  const WorkClass *Class = findClass(*Agent.View.InForce, One.Asked.Class);
  if (!Agent.Config.EngineUrl.empty()) {
    EngineRequest Request;
    Request.Attempt = One.Asked.Attempt;
    Request.Body = One.Asked.Body;
    Request.Priority = Class == nullptr ? 1 : Class->Priority;
    Request.ResumeFrom = One.Asked.ResumeFrom;
    Out.push_back(RunModel{Request});
    return;
  }
  ServiceCall Call;
  Call.Attempt = One.Asked.Attempt;
  Call.Class = One.Asked.Class;
  Call.Key = One.Asked.Key;
  Call.Body = One.Asked.Body;
  Call.Timeout = toMillis(One.Deadline - Now);
  // A home waits longer than its caller, so that a repeat gets the answer.
  if (!Call.Key.Value.empty())
    Call.Timeout = std::max(Call.Timeout, Agent.View.InForce->RetryHorizon);
  keyBegan(Agent, One.Asked);
  tellBegun(One, {}, Out);
  Out.push_back(RunService{Call});
}

/** Runs an attempt, lets it wait, or refuses it as not run. */
void admitAttempt(AgentState &Agent, Attempt &One, TimePoint Now,
                  Effects &Out) {
  const AttemptStart &m = One.Asked;
  const Suspicion Doubt = suspicionOf(Agent, m, Now);
  if (Doubt == Suspicion::Refuse) {
    failAttempt(Agent, AttemptId(m.Attempt), quarantined(Agent, m, Now),
                Ran::No, Out);
    return;
  }
  Admittee Asking = admitteeOf(Agent, m);
  Asking.Alone = Asking.Alone || Doubt == Suspicion::RunAlone;
  const AdmissionAnswer Answer =
      askToRun(Agent.Gate, Asking,
               !mostAnswersStall(Agent, Now) && agentRateAllows(Agent, Now));
  if (Answer.PushedOut)
    pushOut(Agent, *Answer.PushedOut, Out);
  if (Answer.May == Admitted::Refuse)
    failAttempt(Agent, AttemptId(m.Attempt),
                {ErrorKind::Overloaded, "queue full",
                 spread(Answer.RetryAfter, m.Attempt)},
                Ran::No, Out);
  if (Answer.May == Admitted::Run)
    beginAttempt(Agent, One, Now, Out);
}

} // namespace

bool agentIsLeaving(const AgentState &Agent) {
  return Agent.Stopping ||
         isDeparting(Agent.Fleet, Agent.Fleet.Self.Name, Agent.Fleet.Self.Run);
}

void takeAttempt(AgentState &Agent, LinkId Link, const AttemptStart &m,
                 TimePoint Now, Effects &Out) {
  // A start can come twice, or late after its attempt was asked after and
  // given up. It would run a second time, or after "not run" was told.
  if (Agent.Attempts.contains(m.Attempt) ||
      Agent.Ended.Known.contains(m.Attempt)) {
    ++Agent.Counters.RepeatedStarts;
    return;
  }
  const auto Standing = standingRefusal(Agent, m);
  const bool Keyed = !m.Key.Value.empty();
  if (Standing && !Keyed) {
    refuse(Agent, Link, m.Attempt, {*Standing, "", {}}, Out);
    return;
  }
  Attempt One;
  One.Asked = m;
  One.Link = Link;
  One.Arrived = Now;
  One.Deadline = Now + Millis(static_cast<int64_t>(m.RemainingMillis));
  if (Keyed && answerByKey(Agent, One, Standing, Now, Out))
    return;
  Attempt &Kept = Agent.Attempts[m.Attempt] = One;
  if (Keyed)
    openKeyOf(Agent, m, Now);
  admitAttempt(Agent, Kept, Now, Out);
}

void cancelAttempt(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                   Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  it->second.Cancelled = true;
  if (stopWaiting(Agent.Gate, Which)) {
    failAttempt(Agent, Which, {ErrorKind::Deadline, "cancelled", {}}, Ran::No,
                Out);
    return;
  }
  // A keyed call goes on: its record must learn how it ended.
  if (it->second.Asked.Key.Value.empty())
    Out.push_back(CancelRun{Which});
  runWaiting(Agent, Now, Out);
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
                        "Request " + it->second.Asked.Request.Value +
                            ": attempt " + Which.Value +
                            " failed: " + answerFor(Why.Kind).Name + ", ran " +
                            std::string(ranName(Executed)) + "."});
  const AttemptStart Asked = it->second.Asked;
  endAttempt(Agent, Which, m);
  keyFailed(Agent, Asked, Why, Executed, Out);
}

void finishAttempt(AgentState &Agent, const AttemptId &Which, int Status,
                   Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  const Attempt &One = it->second;
  AnswerEnd m;
  m.Attempt = Which;
  m.Count = nextFrame(One);
  m.Content = sha256(
      std::accumulate(One.Frames.begin(), One.Frames.end(), std::string()));
  m.Status = Status;
  Out.push_back(SendMessage{One.Link, m});
  ++Agent.Counters.Completed;
  endAttempt(Agent, Which, m);
}

void queryAttempt(AgentState &Agent, LinkId Link, const AttemptQuery &m,
                  TimePoint Now, Effects &Out) {
  const Incarnation Self = Agent.Fleet.Self.Run;
  if (const auto it = Agent.Attempts.find(m.Attempt);
      it != Agent.Attempts.end()) {
    Attempt &One = it->second;
    One.Link = Link;
    One.LinkLost.reset();
    Out.push_back(SendMessage{Link, AttemptStatus{m.Attempt, One.State, Self}});
    if (One.Begun)
      Out.push_back(SendMessage{Link, AttemptBegun{m.Attempt, One.Weights}});
    sendFramesFrom(Link, m.Attempt, One.Asked.ResumeFrom, One.Frames,
                   m.NextFrame, Out);
    return;
  }
  if (const auto it = Agent.Ended.Known.find(m.Attempt);
      it != Agent.Ended.Known.end()) {
    Out.push_back(SendMessage{
        Link, AttemptStatus{m.Attempt, AttemptKnown::Finished, Self}});
    sendEndAgain(Link, m, it->second, Out);
    return;
  }
  const bool Vouched = endedIsComplete(Agent.Ended, Now);
  Out.push_back(
      SendMessage{Link, AttemptStatus{m.Attempt, AttemptKnown::NeverSeen,
                                      Vouched ? Self : Incarnation{}}});
  // Its start may still be on the way over the old link; it must not run now.
  EndedAttempt Revoked;
  Revoked.Final = AttemptFailed{m.Attempt, ErrorKind::Unreachable, Ran::No,
                                "asked after before it came", 0};
  Revoked.Forget = Now + EndedKeep;
  rememberEnded(Agent.Ended, m.Attempt, std::move(Revoked), Now);
}

void detachAttempts(AgentState &Agent, LinkId Link, TimePoint Now) {
  for (auto &[Id, One] : Agent.Attempts)
    if (One.Link == Link && !One.LinkLost)
      One.LinkLost = Now;
}

void sweepAttempts(AgentState &Agent, TimePoint Now, Effects &Out) {
  std::vector<AttemptId> Unclaimed;
  for (const auto &[Id, One] : Agent.Attempts)
    if (One.LinkLost && Now - *One.LinkLost >= DetachedKeep && !One.Cancelled)
      Unclaimed.push_back(Id);
  for (const AttemptId &Which : Unclaimed)
    cancelAttempt(Agent, Which, Now, Out);
  expireEnded(Agent.Ended, Now);
}

uint64_t nextFrame(const Attempt &One) {
  return One.Asked.ResumeFrom + One.Frames.size();
}

void tellBegun(Attempt &One, const Digest &Weights, Effects &Out) {
  One.Begun = true;
  One.Weights = Weights;
  Out.push_back(
      SendMessage{One.Link, AttemptBegun{One.Asked.Attempt, Weights}});
}

void sendFrame(Attempt &One, const std::string &Data, Effects &Out) {
  Out.push_back(SendMessage{
      One.Link, AnswerFrame{One.Asked.Attempt, nextFrame(One), Data}});
  One.Frames.push_back(Data);
}

void runWaiting(AgentState &Agent, TimePoint Now, Effects &Out) {
  // The next look at the back end goes on with it. A tick that would call it
  // cold may come late, where this process itself gets little time.
  while (mayRead(Agent.Reading, Now) && !mostAnswersStall(Agent, Now) &&
         agentRateAllows(Agent, Now)) {
    const auto Next = nextToRun(Agent.Gate);
    if (!Next)
      return;
    if (Agent.Places.contains(*Next)) {
      givePlaceInTime(Agent, *Next, Now, Out);
      continue;
    }
    Attempt &One = Agent.Attempts.at(*Next);
    if (Now < One.Deadline) {
      beginAttempt(Agent, One, Now, Out);
      continue;
    }
    runEnded(Agent.Gate, *Next, RunEnd::NotBegun, {});
    failAttempt(Agent, *Next, {ErrorKind::Deadline, "waited too long", {}},
                Ran::No, Out);
  }
}

void readmit(AgentState &Agent, const AttemptId &Which, TimePoint Now,
             Effects &Out) {
  Attempt &One = Agent.Attempts.at(Which);
  if (suspicionOf(Agent, One.Asked, Now) == Suspicion::Refuse) {
    failAttempt(Agent, Which, quarantined(Agent, One.Asked, Now), Ran::No, Out);
    return;
  }
  Admittee Asking = admitteeOf(Agent, One.Asked);
  Asking.Alone = true;
  const AdmissionAnswer Answer = askToRun(Agent.Gate, Asking);
  if (Answer.May == Admitted::Refuse)
    failAttempt(Agent, Which,
                {ErrorKind::Overloaded, "queue full", Answer.RetryAfter},
                Ran::No, Out);
  if (Answer.May == Admitted::Run)
    beginAttempt(Agent, One, Now, Out);
}

void refuseWaiting(AgentState &Agent, ErrorKind Kind, Effects &Out) {
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    stopWaiting(Agent.Gate, Which);
    refusePlace(Agent, Which, {Kind, "", {}}, Out);
    failAttempt(Agent, Which, {Kind, "", {}}, Ran::No, Out);
  }
  for (const AttemptId &Which : std::exchange(Agent.SparePlaces, {}))
    refusePlace(Agent, Which, {Kind, "", {}}, Out);
}

bool mostAnswersStall(const AgentState &Agent, TimePoint Now) {
  size_t Begun = 0;
  size_t Stalled = 0;
  for (const auto &[Id, One] : Agent.Attempts) {
    if (One.LastToken == TimePoint{})
      continue;
    ++Begun;
    Stalled += farOverWarm(Agent.Gate.Pace, Now - One.LastToken) ? 1 : 0;
  }
  return Begun >= FewestStalls && Stalled * 2 > Begun;
}

void refuseOverdue(AgentState &Agent, TimePoint Now, Effects &Out) {
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    const auto it = Agent.Attempts.find(Which);
    if (it == Agent.Attempts.end() || Now < it->second.Deadline)
      continue; // Places are looked at by sweepPlaces().
    stopWaiting(Agent.Gate, Which);
    failAttempt(Agent, Which, {ErrorKind::Deadline, "waited too long", {}},
                Ran::No, Out);
  }
}

} // namespace jacinthpond
