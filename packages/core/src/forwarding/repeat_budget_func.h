/** @file repeat_budget_func.h Retry budget for requests that an entry
 * sends to back ends itself.
 *
 * When back ends of a service fail, retries of all entries would double the
 * load of the remaining ones. All entries share one limit of retries in a
 * sliding window. As no entry sees the retries of the others in time, each one
 * keeps to its share.
 */

#ifndef JACINTHPOND_CORE_REPEAT_BUDGET_FUNC_H
#define JACINTHPOND_CORE_REPEAT_BUDGET_FUNC_H

#include "forwarding/repeat_budget_type.h"

namespace jacinthpond {

/**
 * Counts the first attempt of a request for a service.
 * @param Budget State to change.
 * @param Service The service.
 * @param Now Current time.
 */
void countFirstAttempt(RepeatBudget &Budget, const ServiceName &Service,
                       TimePoint Now);

/**
 * Takes one retry from the budget, if it has any left.
 * @param Budget State to change.
 * @param Service The service.
 * @param Entries Number of entries that share the limit; at least 1.
 * @param Now Current time.
 * @return Whether the retry may be sent.
 */
bool takeRepeat(RepeatBudget &Budget, const ServiceName &Service,
                uint32_t Entries, TimePoint Now);

/**
 * Gives how many retries the budget has left.
 * @param Budget State whose window is advanced.
 * @param Service The service.
 * @param Entries Number of entries that share the limit; at least 1.
 * @param Now Current time.
 * @return Retries that this entry may send now.
 */
uint32_t repeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                     uint32_t Entries, TimePoint Now);

/**
 * Says whether a retry may replace an answer that is only silent. Part of the
 * budget is left for answers of back ends that are gone: most silences end by
 * themselves.
 * @param Budget State whose window is advanced.
 * @param Service The service.
 * @param Entries Number of entries that share the limit; at least 1.
 * @param Now Current time.
 * @return Whether takeRepeat() would return true, with that part left.
 */
bool hasRepeatsForSilence(RepeatBudget &Budget, const ServiceName &Service,
                          uint32_t Entries, TimePoint Now);

/**
 * Says whether the budget has a retry left, without taking it.
 * @param Budget State whose window is advanced.
 * @param Service The service.
 * @param Entries Number of entries that share the limit; at least 1.
 * @param Now Current time.
 * @return Whether takeRepeat() would return true.
 */
bool hasRepeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                    uint32_t Entries, TimePoint Now);

} // namespace jacinthpond

#endif
