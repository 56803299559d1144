/** @file attempt_func.h Lifecycle of attempts at an agent. */

#ifndef JACINTHPOND_CORE_ATTEMPT_FUNC_H
#define JACINTHPOND_CORE_ATTEMPT_FUNC_H

#include "attempts/agent_type.h"

namespace jacinthpond {

/**
 * Says whether this agent accepts no new work because it or its host leaves.
 * @param Agent The state.
 * @return True after a stop signal, or while the list of hosts names it as
 *   leaving.
 */
bool isAgentLeaving(const AgentState &Agent);

/**
 * Handles an entry's request for an attempt: sends it to the back end, queues
 * it, refuses it, or answers it from the record of its idempotency key. A
 * repeated message is ignored.
 * @param Agent State to change.
 * @param Link Link to the entry.
 * @param m The request.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleAttemptStart(AgentState &Agent, LinkId Link, const AttemptStart &m,
                        TimePoint Now, Effects &Out);

/**
 * Cancels an attempt: a queued one fails, the run of a running one is stopped
 * unless it has an idempotency key.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void cancelAttempt(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                   Effects &Out);

/**
 * Handles an entry's question about an attempt whose link it lost: sends the
 * attempt's state and the frames that the entry lacks. An unknown attempt is
 * never run after this.
 * @param Agent State to change.
 * @param Link Link to the entry; the attempt is answered over it from now on.
 * @param m The question.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleAttemptQuery(AgentState &Agent, LinkId Link, const AttemptQuery &m,
                        TimePoint Now, Effects &Out);

/**
 * Marks the attempts of a lost link; they continue for a while, so that the
 * entry can ask for them over a new link.
 * @param Agent State to change.
 * @param Link The lost link.
 * @param Now Current time.
 */
void detachAttempts(AgentState &Agent, LinkId Link, TimePoint Now);

/**
 * Cancels attempts that no entry has asked for in time after their link was
 * lost, and forgets ended attempts that have expired.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void expireAttempts(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Ends an attempt with an error: tells the entry, settles its idempotency key
 * and keeps the result for repeated messages.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Why Kind and detail of the error.
 * @param Executed Whether the work ran.
 * @param Out Effects are appended.
 */
void failAttempt(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 Ran Executed, Effects &Out);

/**
 * Ends an attempt with a complete answer: sends its end to the entry and keeps
 * the answer for a query after a lost link.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Status HTTP status of a plain service; 200 for a model.
 * @param Out Effects are appended.
 */
void finishAttempt(AgentState &Agent, const AttemptId &Which, int Status,
                   Effects &Out);

/**
 * Gives the sequence number of the next frame of an attempt.
 * @param One The attempt.
 * @return The number; frames that the caller already had are counted.
 */
uint64_t nextFrameNumber(const Attempt &One);

/**
 * Tells the entry that the back end has begun an attempt.
 * @param One The attempt; changed.
 * @param Weights Weights that produce the answer; empty: none.
 * @param Out Effects are appended.
 */
void sendAttemptStarted(Attempt &One, const Digest &Weights, Effects &Out);

/**
 * Sends one piece of an answer to the entry and keeps it for a repeat.
 * @param One The attempt; changed.
 * @param Data The piece.
 * @param Out Effects are appended.
 */
void sendFrame(Attempt &One, const std::string &Data, Effects &Out);

/**
 * Starts queued attempts and grants queued slots while the limits allow.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void startWaitingWork(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Admits an attempt again that became suspect while it was queued: it runs
 * alone, waits until it can, or is refused.
 * @param Agent State to change.
 * @param Which The attempt, already removed from the queue.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void readmitSuspect(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                    Effects &Out);

/**
 * Refuses all queued attempts and slots.
 * @param Agent State to change.
 * @param Kind Reason that entries are told.
 * @param Out Effects are appended.
 */
void refuseWaiting(AgentState &Agent, ErrorKind Kind, Effects &Out);

/**
 * Says whether most answers that have begun are stalled, as those of a back end
 * that turned cold are.
 * @param Agent The state.
 * @param Now Current time.
 * @return True when their next tokens are far later than a warm back end's.
 */
bool isMostlyStalled(const AgentState &Agent, TimePoint Now);

/**
 * Fails queued attempts whose deadline has passed.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void refuseOverdueAttempts(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
