/** @file back_end_death.cpp An agent that sees its back end die. */

#include "attempts/back_end_death_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "attempts/attempt_func.h"

#include <algorithm>
#include <vector>

namespace jacinthpond {

namespace {

/**
 * States of the same incarnation after which a broken run was no death. One
 * may have been asked for before the run broke.
 */
constexpr uint32_t AliveReads = 2;

Digest fingerprintOf(const AttemptStart &m) {
  return fingerprintOf(m.Tenant, m.Class, m.Body);
}

std::vector<AttemptId> brokenRuns(const AgentState &Agent) {
  std::vector<AttemptId> All;
  for (const auto &[Id, One] : Agent.Attempts)
    if (One.Broke)
      All.push_back(Id);
  return All;
}

/** What a death took with it. */
std::vector<AttemptId> victims(const AgentState &Agent, bool Replaced) {
  std::vector<AttemptId> All = brokenRuns(Agent);
  // A new incarnation runs nothing of the old one, even where the end of a
  // connection has not been seen yet.
  for (const auto &[Id, One] : Agent.Attempts)
    if (Replaced && !One.Broke && One.State == AttemptKnown::Running)
      All.push_back(Id);
  return All;
}

/** Tells all peers that a request may have killed the back end. */
void tellSuspect(AgentState &Agent, Attempt &One, TimePoint Now, Effects &Out) {
  if (One.BreakId.empty())
    One.BreakId = Agent.Fleet.Self.Name.Value + "/" + Agent.BackEndRun + "/" +
                  std::to_string(Agent.BreaksWithdrawn);
  SuspectNotice Notice;
  Notice.Fingerprint = fingerprintOf(One.Asked);
  Notice.DeathId = One.BreakId;
  Notice.Alone = One.RanAlone;
  if (noteSuspect(Agent.Suspects, Notice, Now))
    spreadNotice(Agent.Fleet, Notice, {}, Out);
}

/** The back end lives: a connection broke, and the request is no suspect. */
void withdrawSuspect(AgentState &Agent, const Attempt &One, TimePoint Now,
                     Effects &Out) {
  if (One.BreakId.empty())
    return;
  // A later death of the same back end has another id: this one is cleared.
  ++Agent.BreaksWithdrawn;
  const SuspectNotice Notice{fingerprintOf(One.Asked), One.BreakId, 0, false,
                             true};
  if (noteSuspect(Agent.Suspects, Notice, Now))
    spreadNotice(Agent.Fleet, Notice, {}, Out);
}

void declareDeath(AgentState &Agent, const std::vector<AttemptId> &Lost,
                  TimePoint Now, Effects &Out) {
  Out.push_back(LogNote{LogPart::Admission, LogLevel::Error,
                        "Back end died with " + std::to_string(Lost.size()) +
                            " requests."});
  // Told before the failure: an entry that tries again knows it by then.
  for (const AttemptId &Which : Lost)
    tellSuspect(Agent, Agent.Attempts.at(Which), Now, Out);
  for (const AttemptId &Which : Lost)
    failAttempt(Agent, Which, {ErrorKind::OutcomeUnknown, "back end died", {}},
                Ran::Unknown, Out);
}

} // namespace

void runBrokeOff(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 TimePoint Now, Effects &Out) {
  Attempt &One = Agent.Attempts.at(Which);
  One.Broke = Why;
  One.ReadsSinceBroke = 0;
  if (!Agent.BackEndRun.empty())
    tellSuspect(Agent, One, Now, Out);
}

/**
 * A back end that gives no state may have died of what runs there, though no
 * run has broken off yet. What waits is refused and goes elsewhere: peers have
 * to know by then.
 */
static void suspectWhileSilent(AgentState &Agent, const std::string &Run,
                               TimePoint Now, Effects &Out) {
  for (auto &[Id, One] : Agent.Attempts) {
    if (One.State != AttemptKnown::Running || One.Broke)
      continue;
    if (Run.empty()) {
      tellSuspect(Agent, One, Now, Out);
    } else if (Run == Agent.BackEndRun) {
      withdrawSuspect(Agent, One, Now, Out);
      One.BreakId.clear();
    }
  }
}

void judgeBrokenRuns(AgentState &Agent, const std::string &Run, TimePoint Now,
                     Effects &Out) {
  const bool Known = !Agent.BackEndRun.empty();
  if (Known)
    suspectWhileSilent(Agent, Run, Now, Out);
  const bool Replaced = Known && !Run.empty() && Run != Agent.BackEndRun;
  const bool Dead = Known && Run != Agent.BackEndRun;
  if (Dead)
    if (const auto Lost = victims(Agent, Replaced); !Lost.empty())
      declareDeath(Agent, Lost, Now, Out);
  if (!Run.empty())
    Agent.BackEndRun = Run;
  for (const AttemptId &Which : brokenRuns(Agent)) {
    Attempt &One = Agent.Attempts.at(Which);
    if (++One.ReadsSinceBroke < AliveReads)
      continue;
    const Failure Why = *One.Broke;
    withdrawSuspect(Agent, One, Now, Out);
    failAttempt(Agent, Which, Why, Ran::Unknown, Out);
  }
}

void ranWhole(AgentState &Agent, const Attempt &One, TimePoint Now,
              Effects &Out) {
  if (!Agent.Suspects.Suspects.empty())
    clearSuspect(Agent.Suspects, fingerprintOf(One.Asked), Agent.Fleet, Now,
                 Out);
}

void agentSuspect(AgentState &Agent, const SuspectNotice &Notice, TimePoint Now,
                  Effects &Out) {
  if (!noteSuspect(Agent.Suspects, Notice, Now) || Notice.Cleared)
    return;
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    const AttemptStart Asked = Agent.Attempts.at(Which).Asked;
    if (fingerprintOf(Asked) != Notice.Fingerprint)
      continue;
    stopWaiting(Agent.Gate, Which);
    readmit(Agent, Which, Now, Out);
  }
  runWaiting(Agent, Now, Out);
}

Suspicion suspicionOf(const AgentState &Agent, const AttemptStart &m,
                      TimePoint Now) {
  // Digesting every body would cost time for nothing on ordinary days.
  if (Agent.Suspects.Suspects.empty())
    return Suspicion::None;
  return suspicionOf(Agent.Suspects, fingerprintOf(m), Now);
}

} // namespace jacinthpond
