/** @file come_back_func.h When refused callers are told to come back. */

#ifndef JACINTHPOND_CORE_COME_BACK_FUNC_H
#define JACINTHPOND_CORE_COME_BACK_FUNC_H

#include "base/error_func.h"
#include "base/time_type.h"

namespace jacinthpond {

/**
 * Gives the time that a refused caller is told to stay away. Callers that were
 * refused in the same moment, as after a restart of everything, are told
 * different times: together they would find all places taken once more.
 * @param Why The refusal.
 * @param Left Time that the caller has left; it would not wait for most of it.
 * @param Random State of the random numbers.
 * @return The time; 0: none is told.
 */
Millis comeBackAfter(const Failure &Why, Duration Left, uint64_t &Random);

} // namespace jacinthpond

#endif
