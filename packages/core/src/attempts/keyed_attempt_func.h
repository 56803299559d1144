/** @file keyed_attempt_func.h Attempts with an idempotency key, at the home
 * agent.
 *
 * The home agent of a key keeps the record of its result, so that a call that
 * is not repeatable runs once and a repeat gets the same answer.
 */

#ifndef JACINTHPOND_CORE_KEYED_ATTEMPT_FUNC_H
#define JACINTHPOND_CORE_KEYED_ATTEMPT_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

#include <optional>

namespace jacinthpond {

/**
 * Looks up the record of an attempt's key, and answers or refuses the attempt
 * when it must not run.
 * @param Agent State to change.
 * @param One The attempt; not yet in Agent.Attempts.
 * @param Refusal Why this agent accepts no new work; nothing: it does.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return False when the attempt may ask for admission.
 */
bool answerFromKeyRecord(AgentState &Agent, const Attempt &One,
                         const std::optional<Failure> &Refusal, TimePoint Now,
                         Effects &Out);

/**
 * Creates the key record of an attempt that is about to be queued or to run.
 * @param Agent State to change.
 * @param Asked Request for the attempt.
 * @param Now Current time.
 */
void recordKeyOf(AgentState &Agent, const AttemptStart &Asked, TimePoint Now);

/**
 * Marks the key of an attempt as running, just before the back end gets it.
 * @param Agent State to change.
 * @param Asked Request for the attempt.
 */
void markKeyRunning(AgentState &Agent, const AttemptStart &Asked);

/**
 * Records that an attempt ended without an answer, and fails the repeats that
 * wait for its key in the same way.
 * @param Agent State to change.
 * @param Asked Request for the attempt.
 * @param Why Kind and detail of the error.
 * @param Executed Whether the work ran.
 * @param Out Effects are appended.
 */
void settleFailedKey(AgentState &Agent, const AttemptStart &Asked,
                     const Failure &Why, Ran Executed, Effects &Out);

/**
 * Records the back end's answer to an attempt under its key, and sends it to
 * the repeats that wait for it.
 * @param Agent State to change.
 * @param Asked Request for the attempt.
 * @param Answer The answer.
 * @param Out Effects are appended.
 */
void settleAnsweredKey(AgentState &Agent, const AttemptStart &Asked,
                       const ServiceAnswer &Answer, Effects &Out);

} // namespace jacinthpond

#endif
