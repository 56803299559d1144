/** @file keyed_attempt.cpp Non-repeatable calls at the agent that is home. */

#include "attempts/keyed_attempt_func.h"

#include "attempts/attempt_func.h"
#include "attempts/idempotency_func.h"
#include "base/hash_func.h"

#include <vector>

namespace jacinthpond {

namespace {

KeyName nameOf(const AttemptStart &m) { return {m.Class, m.Tenant, m.Key}; }

KeyAsked askedOf(const AttemptStart &m) {
  return {nameOf(m), m.Token, sha256(m.Body)};
}

/** Gives the record that an attempt is the first one of, or null. */
KeyRecord *recordOf(AgentState &Agent, const AttemptStart &Asked) {
  if (Asked.Key.Value.empty())
    return nullptr;
  const auto it = Agent.Keys.Records.find(nameOf(Asked));
  if (it == Agent.Keys.Records.end() || it->second.First != Asked.Attempt)
    return nullptr;
  return &it->second;
}

/** Refuses a key that did not run and bars it from running later. */
void refuseForGood(AgentState &Agent, const AttemptStart &Asked,
                   const Failure &Why, TimePoint Now, Effects &Out) {
  openKeyOf(Agent, Asked, Now);
  failAttempt(Agent, Asked.Attempt, Why, Ran::No, Out);
}

void follow(AgentState &Agent, const AttemptStart &Asked) {
  KeyRecord &Record = Agent.Keys.Records.at(nameOf(Asked));
  ++Agent.Counters.KeyRepeats;
  Agent.Attempts.at(Asked.Attempt).State = AttemptKnown::Running;
  Record.Followers.push_back(Asked.Attempt);
}

void sendAnswer(AgentState &Agent, const AttemptId &Which,
                const ServiceAnswer &Answer, Effects &Out) {
  const auto it = Agent.Attempts.find(Which);
  if (it == Agent.Attempts.end())
    return;
  if (!it->second.Begun)
    tellBegun(it->second, {}, Out);
  sendFrame(it->second, Answer.Body, Out);
  finishAttempt(Agent, Which, Answer.Status, Out);
}

/** Repeats the outcome that the key has. */
void repeatOutcome(AgentState &Agent, const AttemptStart &Asked, Effects &Out) {
  ++Agent.Counters.KeyRepeats;
  const KeyRecord &Record = Agent.Keys.Records.at(nameOf(Asked));
  if (Record.Answer) {
    const ServiceAnswer Answer = *Record.Answer;
    sendAnswer(Agent, Asked.Attempt, Answer, Out);
    return;
  }
  failAttempt(Agent, Asked.Attempt,
              {ErrorKind::OutcomeUnknown, "first run's answer is lost", {}},
              Ran::Unknown, Out);
}

/** Carries out a verdict that is not "run". */
void carryOut(AgentState &Agent, const AttemptStart &Asked,
              const KeyVerdict &Verdict, Effects &Out) {
  const auto End = [&](ErrorKind Kind, Ran Executed) {
    failAttempt(Agent, Asked.Attempt,
                {Kind, Verdict.Detail, Verdict.RetryAfter}, Executed, Out);
  };
  switch (Verdict.Choice) {
  case KeyChoice::Run:
    return;
  case KeyChoice::Follow:
    return follow(Agent, Asked);
  case KeyChoice::Answer:
    return repeatOutcome(Agent, Asked, Out);
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

bool answerByKey(AgentState &Agent, const Attempt &One,
                 std::optional<ErrorKind> Standing, TimePoint Now,
                 Effects &Out) {
  const AttemptStart &Asked = One.Asked;
  KeyVerdict Verdict{KeyChoice::Warming, Millis{0}, "no configuration yet"};
  if (Agent.View.InForce)
    Verdict = judgeKey(Agent.Keys, *Agent.View.InForce, Agent.Fleet.Self.Name,
                       askedOf(Asked), Now);
  if (Verdict.Choice == KeyChoice::Run && !Standing)
    return false;
  Agent.Attempts[Asked.Attempt] = One;
  if (Verdict.Choice == KeyChoice::Run)
    refuseForGood(Agent, Asked, {*Standing, "", {}}, Now, Out);
  else
    carryOut(Agent, Asked, Verdict, Out);
  return true;
}

void openKeyOf(AgentState &Agent, const AttemptStart &Asked, TimePoint Now) {
  openKey(Agent.Keys, *Agent.View.InForce, askedOf(Asked), Asked.Attempt, Now);
}

void keyBegan(AgentState &Agent, const AttemptStart &Asked) {
  if (KeyRecord *Record = recordOf(Agent, Asked))
    Record->State = KeyState::Running;
}

void keyFailed(AgentState &Agent, const AttemptStart &Asked, const Failure &Why,
               Ran Executed, Effects &Out) {
  const KeyRecord *Record = recordOf(Agent, Asked);
  const bool Open = Record != nullptr && (Record->State == KeyState::Waiting ||
                                          Record->State == KeyState::Running);
  if (!Open)
    return;
  const KeyName Key = nameOf(Asked);
  const std::vector<AttemptId> Told =
      Executed == Ran::No ? refuseKey(Agent.Keys, Key, Agent.Fleet.LastTick)
                          : closeKey(Agent.Keys, Key, std::nullopt);
  for (const AttemptId &One : Told)
    failAttempt(Agent, One, Why, Executed, Out);
}

void keyAnswered(AgentState &Agent, const AttemptStart &Asked,
                 const ServiceAnswer &Answer, Effects &Out) {
  if (recordOf(Agent, Asked) == nullptr)
    return;
  for (const AttemptId &One : closeKey(Agent.Keys, nameOf(Asked), Answer))
    sendAnswer(Agent, One, Answer, Out);
}

} // namespace jacinthpond
