/** @file keyed_attempt.cpp Attempts with an idempotency key, at the home agent.
 */

#include "attempts/keyed_attempt_func.h"

#include "attempts/attempt_func.h"
#include "attempts/idempotency_func.h"
#include "base/hash_func.h"

#include <vector>

namespace jacinthpond {

namespace {

/** Gives the full name of an attempt's idempotency key. */
KeyName keyNameOf(const AttemptStart &m) {
  return {m.Class, m.Workspace, m.Key};
}

/** Describes a keyed call: key, home token and digest of the body. */
KeyedRequest keyedRequestOf(const AttemptStart &m) {
  return {keyNameOf(m), m.Token, sha256(m.Body)};
}

/** Finds the key record that an attempt created; null if another one did. */
KeyRecord *findOwnRecord(AgentState &Agent, const AttemptStart &Asked) {
  if (Asked.Key.Value.empty())
    return nullptr;
  const auto it = Agent.Keys.Records.find(keyNameOf(Asked));
  if (it == Agent.Keys.Records.end() ||
      it->second.FirstAttempt != Asked.Attempt)
    return nullptr;
  return &it->second;
}

/** Refuses an attempt that did not run, and records its key so that it never
 * runs. */
void refusePermanently(AgentState &Agent, const AttemptStart &Asked,
                       const Failure &Why, TimePoint Now, Effects &Out) {
  recordKeyOf(Agent, Asked, Now);
  failAttempt(Agent, Asked.Attempt, Why, Ran::No, Out);
}

/** Lets a repeat wait for the result of the first attempt with its key. */
void waitForFirst(AgentState &Agent, const AttemptStart &Asked) {
  KeyRecord &Record = Agent.Keys.Records.at(keyNameOf(Asked));
  ++Agent.Counters.KeyRepeats;
  Agent.Attempts.at(Asked.Attempt).State = KnownAttemptState::Running;
  Record.RepeatAttempts.push_back(Asked.Attempt);
}

/** Completes an attempt with an answer of the plain service. */
void sendAnswer(AgentState &Agent, const AttemptId &Which,
                const ServiceAnswer &Answer, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  if (!it->second.AttemptStartedSent)
    sendAttemptStarted(it->second, {}, Out);
  sendFrame(it->second, Answer.Body, Out);
  finishAttempt(Agent, Which, Answer.Status, Out);
}

/** Answers a repeat with the recorded result of its key. */
void replayOutcome(AgentState &Agent, const AttemptStart &Asked, Effects &Out) {
  ++Agent.Counters.KeyRepeats;
  const KeyRecord &Record = Agent.Keys.Records.at(keyNameOf(Asked));
  if (Record.Answer) {
    const ServiceAnswer Answer = *Record.Answer;
    sendAnswer(Agent, Asked.Attempt, Answer, Out);
    return;
  }
  failAttempt(Agent, Asked.Attempt,
              {ErrorKind::OutcomeUnknown, "first run's answer is lost", {}},
              Ran::Unknown, Out);
}

/** Applies the decision on a keyed call, other than to run it. */
void applyKeyDecision(AgentState &Agent, const AttemptStart &Asked,
                      const KeyDecision &Verdict, Effects &Out) {
  const auto End = [&](ErrorKind Kind, Ran Executed) {
    failAttempt(Agent, Asked.Attempt,
                {Kind, Verdict.Detail, Verdict.RetryAfter}, Executed, Out);
  };
  switch (Verdict.Choice) {
  case KeyChoice::Run:
    return;
  case KeyChoice::Follow:
    return waitForFirst(Agent, Asked);
  case KeyChoice::Answer:
    return replayOutcome(Agent, Asked, Out);
  case KeyChoice::Refuse:
    return End(ErrorKind::NoWorker, Ran::No);
  case KeyChoice::Conflict:
    return End(ErrorKind::KeyConflict, Ran::No);
  case KeyChoice::Warming:
    return End(ErrorKind::KeyHomeWarming, Ran::Unknown);
  case KeyChoice::Unknown:
    return End(ErrorKind::OutcomeUnknown, Ran::Unknown);
  }
}

} // namespace

bool answerFromKeyRecord(AgentState &Agent, const Attempt &One,
                         const std::optional<Failure> &Refusal, TimePoint Now,
                         Effects &Out) {
  const AttemptStart &Asked = One.StartMessage;
  KeyDecision Verdict{KeyChoice::Warming, Millis{0}, "no configuration yet"};
  if (Agent.View.InForce)
    Verdict =
        decideKeyedCall(Agent.Keys, *Agent.View.InForce, Agent.Fleet.Self.Name,
                        keyedRequestOf(Asked), Now);
  if (Verdict.Choice == KeyChoice::Run && !Refusal)
    return false;
  Agent.Attempts[Asked.Attempt] = One;
  if (Verdict.Choice == KeyChoice::Run)
    refusePermanently(Agent, Asked, *Refusal, Now, Out);
  else
    applyKeyDecision(Agent, Asked, Verdict, Out);
  return true;
}

void recordKeyOf(AgentState &Agent, const AttemptStart &Asked, TimePoint Now) {
  addKeyRecord(Agent.Keys, *Agent.View.InForce, keyedRequestOf(Asked),
               Asked.Attempt, Now);
}

void markKeyRunning(AgentState &Agent, const AttemptStart &Asked) {
  if (KeyRecord *Record = findOwnRecord(Agent, Asked))
    Record->State = KeyState::Running;
}

void settleFailedKey(AgentState &Agent, const AttemptStart &Asked,
                     const Failure &Why, Ran Executed, Effects &Out) {
  const KeyRecord *Record = findOwnRecord(Agent, Asked);
  const bool Open = Record != nullptr && (Record->State == KeyState::Waiting ||
                                          Record->State == KeyState::Running);
  if (!Open)
    return;
  const KeyName Key = keyNameOf(Asked);
  const std::vector<AttemptId> Repeats =
      Executed == Ran::No ? refuseKey(Agent.Keys, Key, Agent.Fleet.LastTick)
                          : completeKey(Agent.Keys, Key, std::nullopt);
  for (const AttemptId &One : Repeats)
    failAttempt(Agent, One, Why, Executed, Out);
}

void settleAnsweredKey(AgentState &Agent, const AttemptStart &Asked,
                       const ServiceAnswer &Answer, Effects &Out) {
  if (findOwnRecord(Agent, Asked) == nullptr)
    return;
  for (const AttemptId &One : completeKey(Agent.Keys, keyNameOf(Asked), Answer))
    sendAnswer(Agent, One, Answer, Out);
}

} // namespace jacinthpond
