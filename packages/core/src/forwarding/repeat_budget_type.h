/** @file repeat_budget_type.h Retry budget for requests that an entry
 * sends to back ends itself. */

#ifndef JACINTHPOND_CORE_REPEAT_BUDGET_TYPE_H
#define JACINTHPOND_CORE_REPEAT_BUDGET_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <array>
#include <cstdint>
#include <map>

namespace jacinthpond {

/** Number of steps that make up the sliding window. */
constexpr size_t BudgetSteps = 10;

/** Limits of the retries of the whole fleet; from the settings. */
struct RepeatLimits {
  double Ratio = 0.2;   ///< Retries for each first attempt.
  uint32_t Slack = 100; ///< Retries in a window beyond the ratio.
  Millis Window{10000}; ///< Length of the window.
};

/** Attempts of one service in the sliding window. */
struct RepeatCounts {
  std::array<uint32_t, BudgetSteps> First{};   ///< First attempts, by step.
  std::array<uint32_t, BudgetSteps> Repeats{}; ///< Retries, by step.
  int64_t Step = 0; ///< Newest step, counted from the clock's epoch.
};

/** Retry budget of one entry. */
struct RepeatBudget {
  RepeatLimits Limits; ///< Limits of the fleet.
  std::map<ServiceName, RepeatCounts>
      Counts;          ///< Attempts of this entry, by service.
  uint64_t Denied = 0; ///< Retries that the budget denied.
};

} // namespace jacinthpond

#endif
