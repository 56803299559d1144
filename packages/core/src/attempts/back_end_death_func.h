/** @file back_end_death_func.h Detection of back end deaths and of the requests
 * that may have caused them.
 */

#ifndef JACINTHPOND_CORE_BACK_END_DEATH_FUNC_H
#define JACINTHPOND_CORE_BACK_END_DEATH_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Handles a run that broke off: holds the attempt until the next reports of the
 * back end show whether it died. Peers are told at once that the request is
 * suspect, since equal requests could each make another back end die meanwhile.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Why How it broke off.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleBrokenRun(AgentState &Agent, const AttemptId &Which,
                     const Failure &Why, TimePoint Now, Effects &Out);

/**
 * Resolves runs that broke off, after the back end's report was read. If the
 * back end died, peers are told that its running requests are suspect, and
 * these fail. If it is alive, the notices are withdrawn and the attempts fail
 * with their own errors.
 * @param Agent State to change.
 * @param Run Incarnation in the report; empty when it could not be read.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void resolveBrokenRuns(AgentState &Agent, const std::string &Run, TimePoint Now,
                       Effects &Out);

/**
 * Clears a request of suspicion, here and at all peers, after its attempt ran
 * to its end.
 * @param Agent State to change.
 * @param One The attempt.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void clearSuspicion(AgentState &Agent, const Attempt &One, TimePoint Now,
                    Effects &Out);

/**
 * Handles a peer's notice of a suspect request: queued attempts with the same
 * content are to run alone, or are refused.
 * @param Agent State to change.
 * @param Notice The notice.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleSuspectNotice(AgentState &Agent, const SuspectNotice &Notice,
                         TimePoint Now, Effects &Out);

/**
 * Says whether an attempt may run beside others, only alone, or not at all.
 * @param Agent The state.
 * @param m Request for the attempt.
 * @param Now Current time.
 * @return The restriction that the known deaths put on its request.
 */
Suspicion suspicionOf(const AgentState &Agent, const AttemptStart &m,
                      TimePoint Now);

} // namespace jacinthpond

#endif
