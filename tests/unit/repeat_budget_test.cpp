/** @file repeat_budget_test.cpp Requests sent once more stay bounded. */
// Labels: routes

#include "forwarding/repeat_budget_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

const ServiceName Service{"s"};

RepeatBudget budget(double Ratio, uint32_t Slack) {
  RepeatBudget One;
  One.Limits = {Ratio, Slack, Millis(10000)};
  return One;
}

/** Repeats that are allowed in a row. */
uint32_t allowed(RepeatBudget &Budget, uint32_t Entries, TimePoint Now) {
  uint32_t n = 0;
  while (n < 10000 && mayRepeat(Budget, Service, Entries, Now))
    ++n;
  return n;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesTogetherStayWithinTheSlack) {
  // A service lost all its back ends; each of eight entries believed that it
  // alone was sending again, and together they sent eight times what was
  // allowed to the few that came back.
  uint32_t Sum = 0;
  for (int n = 0; n < 8; ++n) {
    RepeatBudget One = budget(0.2, 104);
    Sum += allowed(One, 8, TimePoint{});
  }
  BOOST_TEST(Sum <= 104U);
  BOOST_TEST(Sum >= 50U);
}

BOOST_AUTO_TEST_CASE(RequestsEarnRepeats) {
  RepeatBudget One = budget(0.2, 0);
  BOOST_TEST(allowed(One, 1, TimePoint{}) == 0U);
  for (int n = 0; n < 100; ++n)
    countFirst(One, Service, TimePoint{});
  BOOST_TEST(allowed(One, 1, TimePoint{}) == 14U); // 0.7 x 0.2 x 100
}

BOOST_AUTO_TEST_CASE(TheWindowMovesOn) {
  RepeatBudget One = budget(0, 10);
  const TimePoint Start{};
  BOOST_TEST(allowed(One, 1, Start) == 7U);
  BOOST_TEST(allowed(One, 1, Start + Millis(9000)) == 0U);
  BOOST_TEST(allowed(One, 1, Start + Millis(10000)) == 7U);
  BOOST_TEST(allowed(One, 1, Start + Millis(500000)) == 7U);
}

BOOST_AUTO_TEST_CASE(LookingCountsNothing) {
  RepeatBudget One = budget(0, 10);
  for (int n = 0; n < 100; ++n)
    BOOST_TEST(repeatsLeft(One, Service, 1, TimePoint{}));
  BOOST_TEST(allowed(One, 1, TimePoint{}) == 7U);
}
