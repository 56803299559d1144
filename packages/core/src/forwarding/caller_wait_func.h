/** @file caller_wait_func.h How long a caller waits for the next part. */

#ifndef JACINTHPOND_CORE_CALLER_WAIT_FUNC_H
#define JACINTHPOND_CORE_CALLER_WAIT_FUNC_H

#include "base/time_type.h"
#include "configuration/document_type.h"

namespace jacinthpond {

/**
 * Gives until when a caller has to hear something. Callers of streams abandon
 * a silent one long before their deadline, and come back to none that they
 * abandoned; one that is answered in time may try again.
 * @param From The route of the request.
 * @param Deadline The caller's deadline or the route's timeout.
 * @param LastGiven When the request came, or the caller was sent a part last.
 * @return The time; not after the deadline.
 */
TimePoint answerNeededBy(const Route &From, TimePoint Deadline,
                         TimePoint LastGiven);

} // namespace jacinthpond

#endif
