/** @file repeat_budget_func.h Requests sent to a second back end, bounded.
 *
 * When a service fails, every entry would send its requests again and double
 * the load of what is left. All entries share one bound in a sliding window;
 * since none sees the others' repeats in time, each keeps to its part.
 */

#ifndef JACINTHPOND_CORE_REPEAT_BUDGET_FUNC_H
#define JACINTHPOND_CORE_REPEAT_BUDGET_FUNC_H

#include "forwarding/repeat_budget_type.h"

namespace jacinthpond {

/**
 * Counts a request for a service.
 * @param Budget State to change.
 * @param Service Which service.
 * @param Now Current time.
 */
void countFirst(RepeatBudget &Budget, const ServiceName &Service,
                TimePoint Now);

/**
 * Asks to send a request once more; counts it when it may.
 * @param Budget State to change.
 * @param Service Which service.
 * @param Entries Entries that share the bound; at least 1.
 * @param Now Current time.
 * @return Whether it may be sent.
 */
bool mayRepeat(RepeatBudget &Budget, const ServiceName &Service,
               uint32_t Entries, TimePoint Now);

/**
 * Says whether a repeat would be allowed, without counting one.
 * @param Budget State whose window is moved on.
 * @param Service Which service.
 * @param Entries Entries that share the bound; at least 1.
 * @param Now Current time.
 * @return Whether mayRepeat() would agree.
 */
bool repeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                 uint32_t Entries, TimePoint Now);

} // namespace jacinthpond

#endif
