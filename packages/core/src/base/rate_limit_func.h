/** @file rate_limit_func.h A token bucket. */

#ifndef JACINTHPOND_CORE_RATE_LIMIT_FUNC_H
#define JACINTHPOND_CORE_RATE_LIMIT_FUNC_H

#include "base/rate_limit_type.h"

namespace jacinthpond {

/**
 * Says whether something may be sent now. The limit lets a whole unit go as
 * soon as there is no debt, so that units larger than the burst pass too.
 * @param Limit State to change: tokens are added for the time that passed.
 * @param Now Current time.
 * @return True when there is no debt.
 */
bool rateAllows(RateLimit &Limit, TimePoint Now);

/**
 * Counts units that were sent.
 * @param Limit State to change.
 * @param Units How many; below 0: so many were not sent after all.
 */
void rateSpend(RateLimit &Limit, double Units);

/**
 * Gives how long a debt lasts, without live traffic.
 * @param Limit The state.
 * @param Now Current time.
 * @return Time until something may be sent; 0: now.
 */
Duration rateWait(const RateLimit &Limit, TimePoint Now);

/**
 * Counts live traffic on the same link. It goes first: what it takes is taken
 * off the rate, down to a small rest, so that the limited flow cannot starve.
 * @param Limit State to change.
 * @param Bytes How many.
 * @param Now Current time.
 */
void rateYield(RateLimit &Limit, uint64_t Bytes, TimePoint Now);

} // namespace jacinthpond

#endif
