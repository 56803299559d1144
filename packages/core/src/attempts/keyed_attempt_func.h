/** @file keyed_attempt_func.h Non-repeatable calls at the agent that is home.
 */

#ifndef JACINTHPOND_CORE_KEYED_ATTEMPT_FUNC_H
#define JACINTHPOND_CORE_KEYED_ATTEMPT_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

#include <optional>

namespace jacinthpond {

/**
 * Looks a keyed attempt up in the home's memory and answers it when it must
 * not run.
 * @param Agent State to change.
 * @param One The attempt; not among the open ones yet.
 * @param Standing Why this agent takes no new work; nothing: it does.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return False when the attempt may ask for admission.
 */
bool answerByKey(AgentState &Agent, const Attempt &One,
                 std::optional<ErrorKind> Standing, TimePoint Now,
                 Effects &Out);

/**
 * Remembers the key of an attempt that is about to wait or run.
 * @param Agent State to change.
 * @param Asked The attempt's start.
 * @param Now Current time.
 */
void openKeyOf(AgentState &Agent, const AttemptStart &Asked, TimePoint Now);

/**
 * The back end is about to get a keyed attempt.
 * @param Agent State to change.
 * @param Asked The attempt's start.
 */
void keyBegan(AgentState &Agent, const AttemptStart &Asked);

/**
 * An attempt ended without an answer: its key is settled, and repeats that
 * wait for it get the same.
 * @param Agent State to change.
 * @param Asked The attempt's start.
 * @param Why Kind and detail.
 * @param Executed Whether the work ran.
 * @param Out Effects are appended.
 */
void keyFailed(AgentState &Agent, const AttemptStart &Asked, const Failure &Why,
               Ran Executed, Effects &Out);

/**
 * The back end answered an attempt: repeats that wait get the same answer.
 * @param Agent State to change.
 * @param Asked The attempt's start.
 * @param Answer The answer.
 * @param Out Effects are appended.
 */
void keyAnswered(AgentState &Agent, const AttemptStart &Asked,
                 const ServiceAnswer &Answer, Effects &Out);

} // namespace jacinthpond

#endif
