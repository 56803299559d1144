/** @file back_end_death.cpp Detection of back end deaths and of the requests
 * that may have caused them. */

#include "attempts/back_end_death_func.h"

#include "admission/admission_func.h"
#include "admission/quarantine_func.h"
#include "attempts/attempt_func.h"

#include <algorithm>
#include <vector>

namespace jacinthpond {

namespace {

/**
 * Reports of the same incarnation after which a run that broke off is taken for
 * a broken connection. The first of them may have been requested before that.
 */
constexpr uint32_t MinAliveReports = 2;

/** Gives the fingerprint by which a request is recognised as suspect. */
Digest fingerprintOf(const AttemptStart &m) {
  return fingerprintOf(m.Workspace, m.Class, m.Body);
}

/** Lists the attempts whose runs broke off and are not resolved yet. */
std::vector<AttemptId> brokenAttempts(const AgentState &Agent) {
  std::vector<AttemptId> All;
  for (const auto &[Id, One] : Agent.Attempts)
    if (One.BreakFailure)
      All.push_back(Id);
  return All;
}

/**
 * Lists the attempts that were lost in a death of the back end.
 * @param Replaced A new incarnation of the back end has been seen.
 */
std::vector<AttemptId> lostAttempts(const AgentState &Agent, bool Replaced) {
  std::vector<AttemptId> All = brokenAttempts(Agent);
  // A new incarnation does not continue runs of the old one, even if the close
  // of their connections has not been seen yet.
  for (const auto &[Id, One] : Agent.Attempts)
    if (Replaced && !One.BreakFailure &&
        One.State == KnownAttemptState::Running)
      All.push_back(Id);
  return All;
}

/** Tells all peers that a request may have made the back end die. */
void reportSuspect(AgentState &Agent, Attempt &One, TimePoint Now,
                   Effects &Out) {
  if (One.ReportedDeath.empty())
    One.ReportedDeath = Agent.Fleet.Self.Name.Value + "/" + Agent.BackEndRun +
                        "/" + std::to_string(Agent.WithdrawnDeaths);
  SuspectNotice Notice;
  Notice.Fingerprint = fingerprintOf(One.StartMessage);
  Notice.DeathId = One.ReportedDeath;
  Notice.WasAlone = One.RanAlone;
  publishSuspectNotice(Agent.Suspects, Notice, Agent.Fleet, Now, Out);
}

/** Tells all peers that a request is no suspect after all, since the back end
 * is alive. */
void withdrawSuspect(AgentState &Agent, const Attempt &One, TimePoint Now,
                     Effects &Out) {
  if (One.ReportedDeath.empty())
    return;
  // Gives a later death of the same incarnation a new id.
  ++Agent.WithdrawnDeaths;
  const SuspectNotice Notice{fingerprintOf(One.StartMessage), One.ReportedDeath,
                             0, false, true};
  publishSuspectNotice(Agent.Suspects, Notice, Agent.Fleet, Now, Out);
}

/** Tells all peers that the lost attempts are suspect, then fails them. */
void failLostAttempts(AgentState &Agent, const std::vector<AttemptId> &Lost,
                      TimePoint Now, Effects &Out) {
  Out.push_back(LogNote{LogPart::Admission, LogLevel::Error,
                        "Back end died while it ran " +
                            std::to_string(Lost.size()) + " requests"});
  // The notice goes first, so that an entry has it before it retries.
  for (const AttemptId &Which : Lost)
    reportSuspect(Agent, Agent.Attempts.at(Which), Now, Out);
  for (const AttemptId &Which : Lost)
    failAttempt(Agent, Which, {ErrorKind::OutcomeUnknown, "back end died", {}},
                Ran::Unknown, Out);
}

} // namespace

void handleBrokenRun(AgentState &Agent, const AttemptId &Which,
                     const Failure &Why, TimePoint Now, Effects &Out) {
  Attempt &One = Agent.Attempts.at(Which);
  One.BreakFailure = Why;
  One.ReportsSinceBreak = 0;
  if (!Agent.BackEndRun.empty())
    reportSuspect(Agent, One, Now, Out);
}

/**
 * Reports running requests as suspect while the back end sends no report, and
 * withdraws that once it does. It may have died although no run has broken off
 * yet, and peers need to know before queued requests are sent elsewhere.
 */
static void updateRunningSuspects(AgentState &Agent, const std::string &Run,
                                  TimePoint Now, Effects &Out) {
  for (auto &[Id, One] : Agent.Attempts) {
    if (One.State != KnownAttemptState::Running || One.BreakFailure)
      continue;
    if (Run.empty()) {
      reportSuspect(Agent, One, Now, Out);
    } else if (Run == Agent.BackEndRun) {
      withdrawSuspect(Agent, One, Now, Out);
      One.ReportedDeath.clear();
    }
  }
}

void resolveBrokenRuns(AgentState &Agent, const std::string &Run, TimePoint Now,
                       Effects &Out) {
  const bool Known = !Agent.BackEndRun.empty();
  if (Known)
    updateRunningSuspects(Agent, Run, Now, Out);
  const bool Replaced = Known && !Run.empty() && Run != Agent.BackEndRun;
  const bool Dead = Known && Run != Agent.BackEndRun;
  if (Dead)
    if (const auto Lost = lostAttempts(Agent, Replaced); !Lost.empty())
      failLostAttempts(Agent, Lost, Now, Out);
  if (!Run.empty())
    Agent.BackEndRun = Run;
  for (const AttemptId &Which : brokenAttempts(Agent)) {
    Attempt &One = Agent.Attempts.at(Which);
    if (++One.ReportsSinceBreak < MinAliveReports)
      continue;
    const Failure Why = *One.BreakFailure;
    withdrawSuspect(Agent, One, Now, Out);
    failAttempt(Agent, Which, Why, Ran::Unknown, Out);
  }
}

void clearSuspicion(AgentState &Agent, const Attempt &One, TimePoint Now,
                    Effects &Out) {
  if (!Agent.Suspects.Suspects.empty())
    clearSuspect(Agent.Suspects, fingerprintOf(One.StartMessage), Agent.Fleet,
                 Now, Out);
}

void handleSuspectNotice(AgentState &Agent, const SuspectNotice &Notice,
                         TimePoint Now, Effects &Out) {
  if (!applySuspectNotice(Agent.Suspects, Notice, Now) || Notice.Cleared)
    return;
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    // Requests for slots wait in the same queue; their entries know the
    // request.
    const auto it = Agent.Attempts.find(Which);
    if (it == Agent.Attempts.end() ||
        fingerprintOf(it->second.StartMessage) != Notice.Fingerprint)
      continue;
    removeWaiting(Agent.Gate, Which);
    readmitSuspect(Agent, Which, Now, Out);
  }
  startWaitingWork(Agent, Now, Out);
}

Suspicion suspicionOf(const AgentState &Agent, const AttemptStart &m,
                      TimePoint Now) {
  // Without suspects, avoids the cost of a digest of the body.
  if (Agent.Suspects.Suspects.empty())
    return Suspicion::None;
  return suspicionOf(Agent.Suspects, fingerprintOf(m), Now);
}

} // namespace jacinthpond
