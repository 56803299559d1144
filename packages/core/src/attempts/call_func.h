/** @file call_func.h Calls of an entry host: attempts, frames and ends. */

#ifndef JACINTHPOND_CORE_CALL_FUNC_H
#define JACINTHPOND_CORE_CALL_FUNC_H

#include "attempts/entry_type.h"

namespace jacinthpond {

/**
 * Sends the next attempt of a call, or ends the call when there is no worker.
 * @param Entry State to change.
 * @param One The call.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void startAttempt(EntryState &Entry, Call &One, TimePoint Now, Effects &Out);

/**
 * Gives a caller its final error and forgets the call.
 * @param Entry State to change.
 * @param Id Which call.
 * @param Why Kind and detail.
 * @param Executed Whether the work ran.
 * @param Out Effects are appended.
 */
void endCallWithError(EntryState &Entry, CallId Id, const Failure &Why,
                      Ran Executed, Effects &Out);

/**
 * The back end has an attempt.
 * @param Entry State to change.
 * @param m The message.
 * @param Out Effects are appended.
 */
void attemptBegun(EntryState &Entry, const AttemptBegun &m, Effects &Out);

/**
 * A piece of an answer arrived.
 * @param Entry State to change.
 * @param m The message.
 * @param Out Effects are appended.
 */
void frameArrived(EntryState &Entry, const AnswerFrame &m, Effects &Out);

/**
 * An answer ended.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void answerEnded(EntryState &Entry, const AnswerEnd &m, TimePoint Now,
                 Effects &Out);

/**
 * An attempt ended without a whole answer.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void attemptFailed(EntryState &Entry, const AttemptFailed &m, TimePoint Now,
                   Effects &Out);

/**
 * The link of open attempts is gone. They are kept, and asked after once the
 * agent is reached again; a silent link says nothing about the work.
 * @param Entry State to change.
 * @param Link Which link.
 * @param Now Current time.
 */
void attemptsLost(EntryState &Entry, LinkId Link, TimePoint Now);

/**
 * An agent is reached: asks it what became of attempts whose link was lost,
 * and sends it the keyed calls that wait for it.
 * @param Entry State to change.
 * @param Worker The agent.
 * @param Link The link to it.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void askAfterAttempts(EntryState &Entry, const HostName &Worker, LinkId Link,
                      TimePoint Now, Effects &Out);

/**
 * An agent says what became of an attempt.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void attemptStatusHeard(EntryState &Entry, const AttemptStatus &m,
                        TimePoint Now, Effects &Out);

/**
 * An agent cannot be reached: its repeatable attempts go elsewhere at once.
 * @param Entry State to change.
 * @param Worker The agent.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentUnreachable(EntryState &Entry, const HostName &Worker, TimePoint Now,
                      Effects &Out);

/**
 * Gives up attempts that were asked after for too long.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void endLostAttempts(EntryState &Entry, TimePoint Now, Effects &Out);

/**
 * Ends calls whose deadline has passed.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void endLateCalls(EntryState &Entry, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
