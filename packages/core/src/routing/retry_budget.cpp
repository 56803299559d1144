/** @file retry_budget.cpp Limits the load that retries add. */

#include "routing/retry_budget_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** What a retry costs, in hundredths of a retry. */
constexpr uint32_t HundredthsPerRetry = 100;

} // namespace

void creditFirstAttempt(RetryBudget &Budget, const ClassName &Class,
                        const WorkspaceName &Workspace, TimePoint Now) {
  auto &Buckets = Budget.Buckets;
  const auto Name = std::pair(Class, Workspace);
  if (!Buckets.contains(Name)) {
    if (Buckets.size() >= MaxRetryBuckets)
      Buckets.erase(std::ranges::min_element(
          Buckets, {}, [](const auto &Row) { return Row.second.LastUsed; }));
    Buckets[Name].Hundredths = MaxRetryCredit * HundredthsPerRetry;
  }
  RetryBucket &One = Buckets[Name];
  One.LastUsed = Now;
  One.Hundredths = std::min(One.Hundredths + HundredthsPerFirstAttempt,
                            MaxRetryCredit * HundredthsPerRetry);
}

bool trySpendRetry(RetryBudget &Budget, const ClassName &Class,
                   const WorkspaceName &Workspace) {
  const auto it = Budget.Buckets.find({Class, Workspace});
  if (it == Budget.Buckets.end() ||
      it->second.Hundredths < HundredthsPerRetry) {
    ++Budget.Denied;
    return false;
  }
  it->second.Hundredths -= HundredthsPerRetry;
  return true;
}

} // namespace jacinthpond
