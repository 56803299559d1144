/** @file rate_limit_func.h Token bucket rate limiter. */

#ifndef JACINTHPOND_CORE_RATE_LIMIT_FUNC_H
#define JACINTHPOND_CORE_RATE_LIMIT_FUNC_H

#include "base/rate_limit_type.h"

namespace jacinthpond {

/**
 * Refills the bucket and checks whether a send is allowed. Any size is allowed
 * while the bucket has no debt, so that units larger than the burst pass too.
 * @param Limit State, updated.
 * @param Now Current time.
 * @return True if there is no debt, or no limit.
 */
bool isWithinRate(RateLimit &Limit, TimePoint Now);

/**
 * Takes tokens for units that were sent.
 * @param Limit State, updated.
 * @param Units Number of units; negative: refund of units that were not sent.
 */
void takeRateTokens(RateLimit &Limit, double Units);

/**
 * Returns the time until the debt is paid off, live traffic not considered.
 * @param Limit The state.
 * @param Now Current time.
 * @return Time until the next send is allowed; 0: now.
 */
Duration rateWaitTime(const RateLimit &Limit, TimePoint Now);

/**
 * Counts live traffic on the same link. It has priority: its rate is subtracted
 * from the limit, down to a minimum that keeps the limited flow from starving.
 * @param Limit State, updated.
 * @param Bytes Live traffic sent, in bytes.
 * @param Now Current time.
 */
void countLiveTraffic(RateLimit &Limit, uint64_t Bytes, TimePoint Now);

} // namespace jacinthpond

#endif
