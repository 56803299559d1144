/** @file retry_budget_type.h Limits the load that retries add. */

#ifndef JACINTHPOND_CORE_RETRY_BUDGET_TYPE_H
#define JACINTHPOND_CORE_RETRY_BUDGET_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <map>
#include <utility>

namespace jacinthpond {

/** Token bucket of one class and workspace, in hundredths of a retry. */
struct RetryBucket {
  uint32_t Hundredths = 0; ///< Remaining credit.
  TimePoint LastUsed;      ///< Last first attempt; idle buckets are removed.
};

/** Remaining retries of an entry. */
struct RetryBudget {
  std::map<std::pair<ClassName, WorkspaceName>, RetryBucket>
      Buckets;         ///< By class and workspace.
  uint64_t Denied = 0; ///< Retries refused for lack of budget.
};

} // namespace jacinthpond

#endif
