/** @file repeat_budget_type.h Requests sent to a second back end, bounded. */

#ifndef JACINTHPOND_CORE_REPEAT_BUDGET_TYPE_H
#define JACINTHPOND_CORE_REPEAT_BUDGET_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <array>
#include <cstdint>
#include <map>

namespace jacinthpond {

/** Steps into which the window is cut. */
constexpr size_t BudgetSteps = 10;

/** What the whole fleet may send again; from the settings. */
struct RepeatLimits {
  double Ratio = 0.2;   ///< Repeats for each first request.
  uint32_t Slack = 100; ///< Repeats in a window beyond the ratio.
  Millis Window{10000}; ///< Length of the window.
};

/** Counts of one service in one window. */
struct RepeatCounts {
  std::array<uint32_t, BudgetSteps> First{};   ///< First requests, by step.
  std::array<uint32_t, BudgetSteps> Repeats{}; ///< Repeats, by step.
  int64_t Step = 0; ///< Number of the newest step since the clock's start.
};

/** Repeats of one entry, by service. */
struct RepeatBudget {
  RepeatLimits Limits;                        ///< Bounds of the fleet.
  std::map<ServiceName, RepeatCounts> Counts; ///< What this entry did.
  uint64_t Denied = 0;                        ///< Repeats not made.
};

} // namespace jacinthpond

#endif
