/** @file caller_age_func.h Estimating how long a caller has been retrying.
 *
 * A caller that retries after a refusal states only its remaining time. It has
 * already missed the target of its route, so serving it at once is no better
 * than serving it a second later, but would delay a new request that can still
 * be on time. Callers of a route start with similar deadlines: the difference
 * between the shortest of these and the remaining time is the least time that
 * a caller has been retrying.
 */

#ifndef JACINTHPOND_CORE_CALLER_AGE_FUNC_H
#define JACINTHPOND_CORE_CALLER_AGE_FUNC_H

#include "configuration/document_type.h"
#include "forwarding/caller_age_type.h"

namespace jacinthpond {

/**
 * Estimates how long a caller has been retrying, and learns the deadlines with
 * which callers of the route start.
 * @param Deadlines State to change.
 * @param Matched Route of the request.
 * @param Left Remaining time of the caller.
 * @return Lower bound of its age; 0 for a caller that may be new.
 */
Duration callerAge(InitialDeadlines &Deadlines, const Route &Matched,
                   Duration Left);

/**
 * Gives the shortest retry delay after which callerAge() recognizes a refused
 * caller. A caller that retries sooner would count as new and take the slot of
 * one that can still be on time, although it is late itself in any case.
 * @param Deadlines The state.
 * @param Matched Route of the request.
 * @return The delay; 0 where nothing is known.
 */
Duration recognizableRetryDelay(const InitialDeadlines &Deadlines,
                                const Route &Matched);

/**
 * Removes the state of routes that a document does not have; route names change
 * between documents.
 * @param Deadlines State to change.
 * @param Doc The document in force.
 */
void forgetRemovedRoutes(InitialDeadlines &Deadlines, const Document &Doc);

/**
 * Gives how long a request that has missed its target may wait for a slot that
 * no request on time needs.
 * @param Left Remaining time of the caller.
 * @return The time; a refusal after it still leaves time for a retry.
 */
Millis lateRequestWait(Duration Left);

} // namespace jacinthpond

#endif
