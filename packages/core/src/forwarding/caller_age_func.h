/** @file caller_age_func.h How long callers have been trying.
 *
 * A caller that was refused and comes back tells only what is left of its time.
 * It missed the target of its route while it was away, so a place does it no
 * more good now than a second later, but it would make a fresh request late
 * that could still be on time. Callers of a route begin with similar deadlines;
 * what is missing of the shortest of them is the least time that one has been
 * away.
 */

#ifndef JACINTHPOND_CORE_CALLER_AGE_FUNC_H
#define JACINTHPOND_CORE_CALLER_AGE_FUNC_H

#include "configuration/document_type.h"
#include "forwarding/caller_age_type.h"

namespace jacinthpond {

/**
 * Gives how long a caller has been trying already.
 * @param Habits State to change: deadlines are learned.
 * @param From The route of the request.
 * @param Left Time that the caller has left.
 * @return Its least age; 0 for one that may be here for the first time.
 */
Duration callerAge(CallerHabits &Habits, const Route &From, Duration Left);

/**
 * Gives how long a refused caller has to stay away to be known for one when it
 * comes back. Sooner it would pass for a fresh one and take the place of one
 * that can still be on time, while itself it is late in any case.
 * @param Habits The state.
 * @param From The route of the request.
 * @return The time; 0 where nothing is known.
 */
Duration awayToBeKnown(const CallerHabits &Habits, const Route &From);

/**
 * Forgets routes that a document does not have; names change with it.
 * @param Habits State to change.
 * @param Doc The document in force.
 */
void forgetOtherRoutes(CallerHabits &Habits, const Document &Doc);

/**
 * Gives how long a request that is late in any case may wait for a place that
 * no request on time needs.
 * @param Left Time that the caller has left.
 * @return The time; a refusal after it still leaves time to come back.
 */
Millis lateWait(Duration Left);

} // namespace jacinthpond

#endif
