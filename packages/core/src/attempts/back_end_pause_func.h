/** @file back_end_pause_func.h Pauses that an agent's back end asks for.
 *
 * Attempts wait for the end of a pause only where nobody else can run them:
 * those with an idempotency key. The others are refused as not run, so that
 * their entry tries another back end.
 */

#ifndef JACINTHPOND_CORE_BACK_END_PAUSE_FUNC_H
#define JACINTHPOND_CORE_BACK_END_PAUSE_FUNC_H

#include "attempts/agent_type.h"

namespace jacinthpond {

/**
 * Records that the back end refused a request and asked for a pause, and
 * refuses the queued attempts that do not wait for its end.
 * @param Agent State to change.
 * @param Pause Time without requests; 0 asks for none.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void recordBackEndPause(AgentState &Agent, Duration Pause, TimePoint Now,
                        Effects &Out);

/**
 * Ends the pause when another run of the back end is seen.
 * @param Agent State to change.
 * @param Run The run; empty: not known.
 */
void endPauseOfFormerRun(AgentState &Agent, const std::string &Run);

/**
 * Says whether the back end wants no requests at present.
 * @param Agent The state.
 * @param Now Current time.
 * @return True until the end of the pause.
 */
bool isBackEndPaused(const AgentState &Agent, TimePoint Now);

/**
 * Gives the refusal of an attempt that does not wait for the end of a pause.
 * @param Agent The state.
 * @param Asked Request for the attempt.
 * @param Deadline Time after which its answer is of no use.
 * @param Now Current time.
 * @return The refusal with the time left of the pause; nothing: there is no
 * pause, or the attempt waits.
 */
std::optional<Failure> pauseRefusal(const AgentState &Agent,
                                    const AttemptStart &Asked,
                                    TimePoint Deadline, TimePoint Now);

} // namespace jacinthpond

#endif
