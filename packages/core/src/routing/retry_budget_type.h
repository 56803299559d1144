/** @file retry_budget_type.h Bounds on the load that retries add. */

#ifndef JACINTHPOND_CORE_RETRY_BUDGET_TYPE_H
#define JACINTHPOND_CORE_RETRY_BUDGET_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <map>
#include <utility>

namespace jacinthpond {

/** Token bucket of one class and tenant, in hundredths of a retry. */
struct RetryBucket {
  uint32_t Hundredths = 0; ///< What is left.
  TimePoint LastUsed;      ///< For forgetting idle ones.
};

/** Retries that an entry may still make. */
struct RetryBudget {
  std::map<std::pair<ClassName, TenantName>, RetryBucket> Buckets;
  uint64_t Denied = 0; ///< Retries that were not made.
};

} // namespace jacinthpond

#endif
