/** @file retry_budget_func.h Bounds on the load that retries add.
 *
 * When back ends fail or refuse, every request that is tried again adds load
 * to those that are left, which then refuse more: the fleet stays down after
 * the fault has gone. First tries earn a share of a retry each, so retries add
 * at most that share to the load, and a small tenant cannot be starved by the
 * retries of a large one.
 */

#ifndef JACINTHPOND_CORE_RETRY_BUDGET_FUNC_H
#define JACINTHPOND_CORE_RETRY_BUDGET_FUNC_H

#include "routing/retry_budget_type.h"

namespace jacinthpond {

/** What a first try earns: a fifth of a retry. */
constexpr uint32_t EarnedHundredths = 20;
/**
 * Retries saved at most, and those that a new bucket starts with: the answers
 * of a few hosts that die together go on elsewhere at once.
 */
constexpr uint32_t MaxSavedRetries = 100;
/** Buckets kept at most; the one idle longest goes first. */
constexpr size_t MaxRetryBuckets = 4096;

/**
 * Notes a first try.
 * @param Budget State to change.
 * @param Class Its class.
 * @param Tenant Whose.
 * @param Now Current time.
 */
void earnRetry(RetryBudget &Budget, const ClassName &Class,
               const TenantName &Tenant, TimePoint Now);

/**
 * Asks for a retry.
 * @param Budget State to change; the retry is paid for when allowed.
 * @param Class Its class.
 * @param Tenant Whose.
 * @return Whether it may be made.
 */
bool spendRetry(RetryBudget &Budget, const ClassName &Class,
                const TenantName &Tenant);

} // namespace jacinthpond

#endif
