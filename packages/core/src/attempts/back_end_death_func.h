/** @file back_end_death_func.h An agent that sees its back end die. */

#ifndef JACINTHPOND_CORE_BACK_END_DEATH_FUNC_H
#define JACINTHPOND_CORE_BACK_END_DEATH_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * A run broke off. Whether the back end died with it shows only in its next
 * states, so that the attempt is held until then. Peers are told at once: equal
 * requests that come meanwhile could each kill another back end.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Why How it broke off.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void runBrokeOff(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 TimePoint Now, Effects &Out);

/**
 * The back end's state was read: decides on runs that broke off. When it died,
 * what ran is told to all peers as suspect and then failed; when it lives, what
 * was told is withdrawn.
 * @param Agent State to change.
 * @param Run Incarnation read; empty when it gave none.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void judgeBrokenRuns(AgentState &Agent, const std::string &Run, TimePoint Now,
                     Effects &Out);

/**
 * An attempt ran to its end: if it was suspect, it is so no more.
 * @param Agent State to change.
 * @param One The attempt.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void ranWhole(AgentState &Agent, const Attempt &One, TimePoint Now,
              Effects &Out);

/**
 * A peer told of a suspect: what waits here of it waits to run alone, or is
 * refused.
 * @param Agent State to change.
 * @param Notice What was told.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentSuspect(AgentState &Agent, const SuspectNotice &Notice, TimePoint Now,
                  Effects &Out);

/**
 * Says how an attempt is to be treated.
 * @param Agent The state.
 * @param m The attempt.
 * @param Now Current time.
 * @return What its record of deaths says.
 */
Suspicion suspicionOf(const AgentState &Agent, const AttemptStart &m,
                      TimePoint Now);

} // namespace jacinthpond

#endif
