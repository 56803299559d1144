/** @file call_func.h Attempts, answer frames and final results of calls. */

#ifndef JACINTHPOND_CORE_CALL_FUNC_H
#define JACINTHPOND_CORE_CALL_FUNC_H

#include "attempts/entry_type.h"

namespace jacinthpond {

/**
 * Sends the next attempt of a call to a worker. Ends the call when no worker
 * can take it. A keyed call waits for a while when its home has no ready link.
 * @param Entry State to change.
 * @param ActiveCall The call.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void startAttempt(EntryState &Entry, Call &ActiveCall, TimePoint Now,
                  Effects &Out);

/**
 * Sends the final error to the caller and removes the call. Does nothing for an
 * unknown call.
 * @param Entry State to change.
 * @param Id The call.
 * @param Why Error kind and detail.
 * @param Executed Whether the attempt that ended ran.
 * @param Out Effect list to append to.
 */
void endCallWithError(EntryState &Entry, CallId Id, const Failure &Why,
                      Ran Executed, Effects &Out);

/**
 * Handles the message that the back end has started an attempt. Ends a resumed
 * call when the worker has loaded other weights in the meantime.
 * @param Entry State to change.
 * @param m The message.
 * @param Out Effect list to append to.
 */
void handleAttemptStarted(EntryState &Entry, const AttemptStarted &m,
                          Effects &Out);

/**
 * Passes a part of an answer on to the caller. Drops frames that are late,
 * repeated or out of order.
 * @param Entry State to change.
 * @param m The message.
 * @param Out Effect list to append to.
 */
void handleAnswerFrame(EntryState &Entry, const AnswerFrame &m, Effects &Out);

/**
 * Ends a call whose answer is complete, after checking the number of frames and
 * the digest.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleAnswerEnd(EntryState &Entry, const AnswerEnd &m, TimePoint Now,
                     Effects &Out);

/**
 * Handles an attempt that ended without a complete answer: retries the call or
 * ends it.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleAttemptFailed(EntryState &Entry, const AttemptFailed &m,
                         TimePoint Now, Effects &Out);

/**
 * Marks the open attempts of a closed link as lost. They are kept, and the
 * agent is queried about them once it is reachable again: a silent link does
 * not show whether the work ran.
 * @param Entry State to change.
 * @param Link The link that closed.
 * @param Now Current time.
 */
void markAttemptsLost(EntryState &Entry, LinkId Link, TimePoint Now);

/**
 * Handles a new link to an agent: queries the agent about attempts whose link
 * was lost, and sends it the keyed calls that wait for it.
 * @param Entry State to change.
 * @param Worker The agent's worker.
 * @param Link The link to the agent.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleAgentReached(EntryState &Entry, const HostName &Worker, LinkId Link,
                        TimePoint Now, Effects &Out);

/**
 * Handles an agent's reply to a query about a lost attempt: continues the
 * attempt, or starts another one when the agent does not know it.
 * @param Entry State to change.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleAttemptStatus(EntryState &Entry, const AttemptStatus &m,
                         TimePoint Now, Effects &Out);

/**
 * Handles a failed connection to an agent: retries its lost repeatable attempts
 * elsewhere at once, and ends the keyed calls that wait for a link to it.
 * @param Entry State to change.
 * @param Worker The agent's worker.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void handleAgentUnreachable(EntryState &Entry, const HostName &Worker,
                            TimePoint Now, Effects &Out);

/**
 * Retries or ends calls whose attempt has been lost, or whose home has had no
 * ready link, for longer than the respective timeout.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void expireLostAttempts(EntryState &Entry, TimePoint Now, Effects &Out);

/**
 * Ends calls whose deadline has passed.
 * @param Entry State to change.
 * @param Now Current time.
 * @param Out Effect list to append to.
 */
void endExpiredCalls(EntryState &Entry, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
