/** @file repeat_budget.cpp Retry budget for requests that an entry
 * sends to back ends itself. */

#include "forwarding/repeat_budget_func.h"

#include <algorithm>
#include <numeric>

namespace jacinthpond {

namespace {

/**
 * Share of the fleet's limit that is used. The rest is a margin for entries
 * that restart with empty counts, and for requests that were counted at the end
 * of one window and arrive at the start of the next.
 */
constexpr double UsedShare = 0.7;

/** Share of this entry's retries that may replace answers which are only
 * silent. */
constexpr double SilenceShare = 0.25;

/** Gives the number of the window step that a time lies in. */
int64_t stepAt(const RepeatBudget &Budget, TimePoint Now) {
  const Duration Step = Budget.Limits.Window / BudgetSteps;
  return Now.time_since_epoch() / Step;
}

/** Advances the window of a service, clears the steps that it enters, and gives
 * its counts. */
RepeatCounts &advanceCounts(RepeatBudget &Budget, const ServiceName &Service,
                            TimePoint Now) {
  RepeatCounts &Counts = Budget.Counts[Service];
  const int64_t Step = stepAt(Budget, Now);
  const int64_t Passed = std::min<int64_t>(Step - Counts.Step, BudgetSteps);
  for (int64_t n = 0; n < Passed; ++n) {
    const auto Index = static_cast<size_t>((Step - n) % int64_t{BudgetSteps});
    Counts.First.at(Index) = 0;
    Counts.Repeats.at(Index) = 0;
  }
  Counts.Step = std::max(Counts.Step, Step);
  return Counts;
}

/** Gives the sum over the window. */
uint32_t sum(const std::array<uint32_t, BudgetSteps> &Steps) {
  return std::accumulate(Steps.begin(), Steps.end(), 0U);
}

/** Gives the index of the newest step. */
size_t newestIndex(const RepeatCounts &Counts) {
  return static_cast<size_t>(Counts.Step % int64_t{BudgetSteps});
}

/** Gives how many retries are left of a share of this entry's budget. */
uint32_t unusedRepeats(RepeatBudget &Budget, const ServiceName &Service,
                       uint32_t Entries, double Share, TimePoint Now) {
  const RepeatCounts &Counts = advanceCounts(Budget, Service, Now);
  const double Slack = static_cast<double>(Budget.Limits.Slack) /
                       static_cast<double>(std::max(1U, Entries));
  const double Allowed =
      Share * UsedShare * (Budget.Limits.Ratio * sum(Counts.First) + Slack);
  return static_cast<uint32_t>(std::max(0.0, Allowed - sum(Counts.Repeats)));
}

} // namespace

void countFirstAttempt(RepeatBudget &Budget, const ServiceName &Service,
                       TimePoint Now) {
  RepeatCounts &Counts = advanceCounts(Budget, Service, Now);
  ++Counts.First.at(newestIndex(Counts));
}

bool takeRepeat(RepeatBudget &Budget, const ServiceName &Service,
                uint32_t Entries, TimePoint Now) {
  if (!hasRepeatsLeft(Budget, Service, Entries, Now)) {
    ++Budget.Denied;
    return false;
  }
  RepeatCounts &Counts = advanceCounts(Budget, Service, Now);
  ++Counts.Repeats.at(newestIndex(Counts));
  return true;
}

bool hasRepeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                    uint32_t Entries, TimePoint Now) {
  return repeatsLeft(Budget, Service, Entries, Now) > 0;
}

uint32_t repeatsLeft(RepeatBudget &Budget, const ServiceName &Service,
                     uint32_t Entries, TimePoint Now) {
  return unusedRepeats(Budget, Service, Entries, 1, Now);
}

bool hasRepeatsForSilence(RepeatBudget &Budget, const ServiceName &Service,
                          uint32_t Entries, TimePoint Now) {
  return unusedRepeats(Budget, Service, Entries, SilenceShare, Now) > 0;
}

} // namespace jacinthpond
