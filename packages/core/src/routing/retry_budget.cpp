/** @file retry_budget.cpp Bounds on the load that retries add. */

#include "routing/retry_budget_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

constexpr uint32_t WholeRetry = 100;

} // namespace

void earnRetry(RetryBudget &Budget, const ClassName &Class,
               const TenantName &Tenant, TimePoint Now) {
  auto &Buckets = Budget.Buckets;
  const auto Name = std::pair(Class, Tenant);
  if (!Buckets.contains(Name)) {
    if (Buckets.size() >= MaxRetryBuckets)
      Buckets.erase(std::ranges::min_element(
          Buckets, {}, [](const auto &Row) { return Row.second.LastUsed; }));
    Buckets[Name].Hundredths = MaxSavedRetries * WholeRetry;
  }
  RetryBucket &One = Buckets[Name];
  One.LastUsed = Now;
  One.Hundredths =
      std::min(One.Hundredths + EarnedHundredths, MaxSavedRetries * WholeRetry);
}

bool spendRetry(RetryBudget &Budget, const ClassName &Class,
                const TenantName &Tenant) {
  const auto it = Budget.Buckets.find({Class, Tenant});
  if (it == Budget.Buckets.end() || it->second.Hundredths < WholeRetry) {
    ++Budget.Denied;
    return false;
  }
  it->second.Hundredths -= WholeRetry;
  return true;
}

} // namespace jacinthpond
