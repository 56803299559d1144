/** @file back_end_pause.cpp Pauses that an agent's back end asks for. */

#include "attempts/back_end_pause_func.h"

#include "admission/admission_func.h"
#include "admission/server_backoff_func.h"
#include "attempts/attempt_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Gives the run of the back end that was last seen; empty: none. */
const std::string &knownRun(const AgentState &Agent) {
  return Agent.Config.EngineUrl.empty() ? Agent.ServiceRun : Agent.BackEndRun;
}

/** Refuses the queued attempts that do not wait for the end of the pause. */
void refuseQueued(AgentState &Agent, TimePoint Now, Effects &Out) {
  for (const AttemptId &Which : waitingAttempts(Agent.Gate)) {
    const auto it = Agent.Attempts.find(Which);
    if (it == Agent.Attempts.end())
      continue; // A slot: its entry keeps the pauses that it was asked for.
    const auto Why =
        pauseRefusal(Agent, it->second.StartMessage, it->second.Deadline, Now);
    if (!Why)
      continue;
    removeWaiting(Agent.Gate, Which);
    failAttempt(Agent, Which, *Why, Ran::No, Out);
  }
}

} // namespace

void recordBackEndPause(AgentState &Agent, Duration Pause, TimePoint Now,
                        Effects &Out) {
  if (Pause <= Duration{0})
    return;
  const bool Begins = beginPause(Agent.Backoff, Pause, Now);
  Agent.PausedRun = knownRun(Agent);
  if (Begins) {
    ++Agent.Counters.Pauses;
    applyColdLimit(Agent.Gate); // Work returns step by step.
    Out.push_back(
        LogNote{LogPart::Admission, LogLevel::Info,
                "event=pause ms=" + std::to_string(toMillis(Pause).count()) +
                    " run=" + Agent.PausedRun +
                    " waiting=" + std::to_string(Agent.Gate.Waiting.Size)});
  }
  refuseQueued(Agent, Now, Out);
}

void endPauseOfFormerRun(AgentState &Agent, const std::string &Run) {
  if (!Run.empty() && !Agent.PausedRun.empty() && Run != Agent.PausedRun)
    Agent.Backoff = {};
}

bool isBackEndPaused(const AgentState &Agent, TimePoint Now) {
  return isPaused(Agent.Backoff, Now);
}

std::optional<Failure> pauseRefusal(const AgentState &Agent,
                                    const AttemptStart &Asked,
                                    TimePoint Deadline, TimePoint Now) {
  const bool Waits = !Asked.Key.Value.empty() && Agent.Backoff.Until < Deadline;
  if (!isBackEndPaused(Agent, Now) || Waits)
    return std::nullopt;
  return Failure{ErrorKind::Overloaded, "the back end asked for a pause",
                 std::max(toMillis(Agent.Backoff.Until - Now), Millis{1})};
}

} // namespace jacinthpond
