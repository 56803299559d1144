/** @file attempt_func.h Attempts at an agent: taken, run, answered. */

#ifndef JACINTHPOND_CORE_ATTEMPT_FUNC_H
#define JACINTHPOND_CORE_ATTEMPT_FUNC_H

#include "attempts/agent_type.h"

namespace jacinthpond {

/**
 * Says whether this agent takes no new work because it or its host leaves.
 * @param Agent The state.
 * @return True after a stop signal, or while the list of hosts names it.
 */
bool agentIsLeaving(const AgentState &Agent);

/**
 * An entry asks for an attempt: it is run, queued, or refused at once.
 * @param Agent State to change.
 * @param Link Who asks.
 * @param m What is asked.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void takeAttempt(AgentState &Agent, LinkId Link, const AttemptStart &m,
                 TimePoint Now, Effects &Out);

/**
 * Nobody waits for an attempt any more.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void cancelAttempt(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                   Effects &Out);

/**
 * An entry asks what became of an attempt whose link it lost.
 * @param Agent State to change.
 * @param Link Who asks; the attempt is answered over it from now on.
 * @param m What is asked.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void queryAttempt(AgentState &Agent, LinkId Link, const AttemptQuery &m,
                  TimePoint Now, Effects &Out);

/**
 * The link of attempts is gone; they go on for a while.
 * @param Agent State to change.
 * @param Link Which link.
 * @param Now Current time.
 */
void detachAttempts(AgentState &Agent, LinkId Link, TimePoint Now);

/**
 * Ends attempts that no entry has asked for since their link was lost.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sweepAttempts(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Ends an attempt without a whole answer and forgets it.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Why Kind and detail.
 * @param Executed Whether the work ran.
 * @param Out Effects are appended.
 */
void failAttempt(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                 Ran Executed, Effects &Out);

/**
 * Ends an attempt with a whole answer and forgets it.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Status Status of a plain service; 200 for a model.
 * @param Out Effects are appended.
 */
void finishAttempt(AgentState &Agent, const AttemptId &Which, int Status,
                   Effects &Out);

/**
 * Gives the sequence of the next frame of an attempt.
 * @param One The attempt.
 * @return The number that the entry expects next, when it has all so far.
 */
uint64_t nextFrame(const Attempt &One);

/**
 * Tells the entry that the back end has an attempt.
 * @param One The attempt.
 * @param Weights What the back end uses; empty: none.
 * @param Out Effects are appended.
 */
void tellBegun(Attempt &One, const Digest &Weights, Effects &Out);

/**
 * Sends one piece of an answer.
 * @param One The attempt.
 * @param Data The piece.
 * @param Out Effects are appended.
 */
void sendFrame(Attempt &One, const std::string &Data, Effects &Out);

/**
 * Starts waiting attempts while the limit allows.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void runWaiting(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * An attempt that waited has become suspect: it runs alone, or is refused.
 * @param Agent State to change.
 * @param Which The attempt, out of the queue.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void readmit(AgentState &Agent, const AttemptId &Which, TimePoint Now,
             Effects &Out);

/**
 * Refuses everything that waits.
 * @param Agent State to change.
 * @param Kind Why.
 * @param Out Effects are appended.
 */
void refuseWaiting(AgentState &Agent, ErrorKind Kind, Effects &Out);

/**
 * Says whether most answers that have begun have stopped coming, as those of a
 * back end that turned cold do.
 * @param Agent The state.
 * @param Now Current time.
 * @return True when their tokens are far later than a warm back end's.
 */
bool mostAnswersStall(const AgentState &Agent, TimePoint Now);

/**
 * Refuses what waits past its deadline.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void refuseOverdue(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
