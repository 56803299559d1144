/** @file repeat_budget.cpp Requests sent to a second back end, bounded. */

#include "forwarding/repeat_budget_func.h"

#include <algorithm>
#include <numeric>

namespace jacinthpond {

namespace {

/**
 * Part of the fleet's bound that is used. The rest is for entries that start
 * anew with empty counts, and for a request that arrives a moment after it was
 * counted in the window before.
 */
constexpr double UsedPart = 0.7;

int64_t stepOf(const RepeatBudget &Budget, TimePoint Now) {
  const Duration Step = Budget.Limits.Window / BudgetSteps;
  return Now.time_since_epoch() / Step;
}

/** Moves the window on and empties the steps that it enters. */
RepeatCounts &countsAt(RepeatBudget &Budget, const ServiceName &Service,
                       TimePoint Now) {
  RepeatCounts &Counts = Budget.Counts[Service];
  const int64_t Step = stepOf(Budget, Now);
  const int64_t Passed = std::min<int64_t>(Step - Counts.Step, BudgetSteps);
  for (int64_t n = 0; n < Passed; ++n) {
    const auto At = static_cast<size_t>((Step - n) % int64_t{BudgetSteps});
    Counts.First.at(At) = 0;
    Counts.Repeats.at(At) = 0;
  }
  Counts.Step = std::max(Counts.Step, Step);
  return Counts;
}

uint32_t sum(const std::array<uint32_t, BudgetSteps> &Steps) {
  return std::accumulate(Steps.begin(), Steps.end(), 0U);
}

size_t newest(const RepeatCounts &Counts) {
  return static_cast<size_t>(Counts.Step % int64_t{BudgetSteps});
}

} // namespace

void countFirst(RepeatBudget &Budget, const ServiceName &Service,
                TimePoint Now) {
  RepeatCounts &Counts = countsAt(Budget, Service, Now);
  ++Counts.First.at(newest(Counts));
}

bool mayRepeat(RepeatBudget &Budget, const ServiceName &Service,
               uint32_t Entries, TimePoint Now) {
  if (!repeatsLeft(Budget, Service, Entries, Now)) {
    ++Budget.Denied;
    return false;
  }
  RepeatCounts &Counts = countsAt(Budget, Service, Now);
  ++Counts.Repeats.at(newest(Counts));
  return true;
}

bool repeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                 uint32_t Entries, TimePoint Now) {
  const RepeatCounts &Counts = countsAt(Budget, Service, Now);
  const double Shared = static_cast<double>(Budget.Limits.Slack) /
                        static_cast<double>(std::max(1U, Entries));
  const double Allowed =
      UsedPart * (Budget.Limits.Ratio * sum(Counts.First) + Shared);
  return sum(Counts.Repeats) + 1 <= Allowed;
}

} // namespace jacinthpond
