/** @file come_back_func.h Retry delays for refused callers. */

#ifndef JACINTHPOND_CORE_COME_BACK_FUNC_H
#define JACINTHPOND_CORE_COME_BACK_FUNC_H

#include "base/error_func.h"
#include "base/time_type.h"

namespace jacinthpond {

/**
 * Gives the randomized retry delay that a refused caller is told. Callers that
 * were refused at the same moment, as after a restart of the whole fleet, must
 * not retry together: most of them would find all slots taken again.
 * @param Why The refusal.
 * @param Left Remaining time of the caller; the delay is only a part of it.
 * @param Random State of the random generator.
 * @return The delay; 0: none is told.
 */
Millis spreadRetryAfter(const Failure &Why, Duration Left, uint64_t &Random);

} // namespace jacinthpond

#endif
