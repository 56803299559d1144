/** @file retry_budget_test.cpp Retries add a bounded fraction of load. */
// Labels: promise-5 overload

#include "mesh.h"
#include "routing/retry_budget_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::Mesh;

// All workers of a class refuse work. Without a budget each request would be
// tried at every worker, and the retries alone would keep the fleet overloaded
// after the fault is gone.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  constexpr uint64_t Requests = 500;
  Mesh All(1, 0, 4);
  for (auto &Row : All.Agents)
    Row.second.Gate.Limits.Queue = Row.second.Gate.Limit = 0;
  for (uint64_t n = 0; n < Requests; ++n) {
    const uint64_t Call = All.sendRequest("e0", "status");
    BOOST_REQUIRE(All.Finals.contains(Call)); // Ended at once.
    BOOST_TEST((All.Finals.at(Call).Executed == Ran::No));
  }
  const uint64_t Share =
      Requests * HundredthsPerFirstAttempt / 100 + MaxRetryCredit;
  BOOST_TEST(All.Entries.at("e0").Counters.Retries <= Share);
  BOOST_TEST(All.Entries.at("e0").Counters.Retries > 0U);
}

// A workspace whose requests keep failing must not use up the retries of
// another. The number of buckets is bounded.
BOOST_AUTO_TEST_CASE(WorkspacesDoNotShareABudget) {
  RetryBudget Budget;
  const ClassName Class{"c"};
  const TimePoint Now{};
  for (const char *Name : {"large", "small"})
    creditFirstAttempt(Budget, Class, WorkspaceName{Name}, Now);
  while (trySpendRetry(Budget, Class, WorkspaceName{"large"}))
    continue;
  BOOST_TEST(trySpendRetry(Budget, Class, WorkspaceName{"small"}));
  for (size_t n = 0; n < 2 * MaxRetryBuckets; ++n)
    creditFirstAttempt(Budget, Class, WorkspaceName{std::to_string(n)},
                       Now + Millis(1 + n));
  BOOST_TEST(Budget.Buckets.size() == MaxRetryBuckets);
}
