/** @file caller_wait_func.h How long a caller waits for the next part of an
 * answer. */

#ifndef JACINTHPOND_CORE_CALLER_WAIT_FUNC_H
#define JACINTHPOND_CORE_CALLER_WAIT_FUNC_H

#include "base/time_type.h"
#include "configuration/document_type.h"

namespace jacinthpond {

/**
 * Gives the time by which a caller must be sent something. Callers abandon a
 * silent stream long before their deadline and do not retry it; a caller that
 * gets an error in time may retry.
 * @param Matched Route of the request.
 * @param Deadline The caller's deadline or the route's timeout.
 * @param LastDeliveryAt When the request arrived, or the last part was sent to
 * the caller.
 * @return The time; not after the deadline.
 */
TimePoint answerDeadline(const Route &Matched, TimePoint Deadline,
                         TimePoint LastDeliveryAt);

} // namespace jacinthpond

#endif
