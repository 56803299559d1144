/** @file retry_budget_func.h Limits the load that retries add.
 *
 * When back ends fail or refuse work, each retried request adds load to the
 * remaining ones, which then refuse more, so that the fleet stays overloaded
 * after the fault is gone. Each first attempt therefore credits a fraction of a
 * retry, which limits retries to that fraction of the load. Budgets are kept
 * for each class and workspace, so a large workspace cannot use up the retries
 * of a small one.
 */

#ifndef JACINTHPOND_CORE_RETRY_BUDGET_FUNC_H
#define JACINTHPOND_CORE_RETRY_BUDGET_FUNC_H

#include "routing/retry_budget_type.h"

namespace jacinthpond {

/** Credit for a first attempt, in hundredths of a retry: a fifth of one. */
constexpr uint32_t HundredthsPerFirstAttempt = 20;
/**
 * Limit of saved retries, and what a new bucket starts with: enough for the
 * calls of a few hosts that fail together to continue elsewhere at once.
 */
constexpr uint32_t MaxRetryCredit = 100;
/** Limit of buckets; the one that was idle longest is removed first. */
constexpr size_t MaxRetryBuckets = 4096;

/**
 * Credits the budget of a class and workspace for a first attempt.
 * @param Budget State to change.
 * @param Class Class of the call.
 * @param Workspace Workspace of the call.
 * @param Now Current time.
 */
void creditFirstAttempt(RetryBudget &Budget, const ClassName &Class,
                        const WorkspaceName &Workspace, TimePoint Now);

/**
 * Takes one retry out of the budget of a class and workspace, if it has one.
 * @param Budget State to change.
 * @param Class Class of the call.
 * @param Workspace Workspace of the call.
 * @return True when the retry may be made.
 */
bool trySpendRetry(RetryBudget &Budget, const ClassName &Class,
                   const WorkspaceName &Workspace);

} // namespace jacinthpond

#endif
