/** @file repeat_budget_test.cpp Retries of an entry stay within a budget. */
// Labels: routes

#include "forwarding/repeat_budget_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

const ServiceName Service{"s"};

/** Makes a budget with a window of ten seconds. */
RepeatBudget makeBudget(double Ratio, uint32_t Slack) {
  RepeatBudget Limiter;
  Limiter.Limits = {Ratio, Slack, Millis(10000)};
  return Limiter;
}

/** Takes all retries that are left, and gives their number. */
uint32_t takeAllRepeats(RepeatBudget &Budget, uint32_t Entries, TimePoint Now) {
  uint32_t n = 0;
  while (n < 10000 && takeRepeat(Budget, Service, Entries, Now))
    ++n;
  return n;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesTogetherStayWithinTheSlack) {
  // Guards against a budget that each entry uses alone: after a service lost
  // all its back ends, eight entries together sent eight times the allowed
  // retries to the few that returned.
  uint32_t Sum = 0;
  for (int n = 0; n < 8; ++n) {
    RepeatBudget Limiter = makeBudget(0.2, 104);
    Sum += takeAllRepeats(Limiter, 8, TimePoint{});
  }
  BOOST_TEST(Sum <= 104U);
  BOOST_TEST(Sum >= 50U);
}

BOOST_AUTO_TEST_CASE(FirstAttemptsEarnRetries) {
  RepeatBudget Limiter = makeBudget(0.2, 0);
  BOOST_TEST(takeAllRepeats(Limiter, 1, TimePoint{}) == 0U);
  for (int n = 0; n < 100; ++n)
    countFirstAttempt(Limiter, Service, TimePoint{});
  BOOST_TEST(takeAllRepeats(Limiter, 1, TimePoint{}) == 14U); // 0.7 x 0.2 x 100
}

BOOST_AUTO_TEST_CASE(TheWindowSlides) {
  RepeatBudget Limiter = makeBudget(0, 10);
  const TimePoint Start{};
  BOOST_TEST(takeAllRepeats(Limiter, 1, Start) == 7U);
  BOOST_TEST(takeAllRepeats(Limiter, 1, Start + Millis(9000)) == 0U);
  BOOST_TEST(takeAllRepeats(Limiter, 1, Start + Millis(10000)) == 7U);
  BOOST_TEST(takeAllRepeats(Limiter, 1, Start + Millis(500000)) == 7U);
}

BOOST_AUTO_TEST_CASE(CheckingTheBudgetTakesNothing) {
  RepeatBudget Limiter = makeBudget(0, 10);
  for (int n = 0; n < 100; ++n)
    BOOST_TEST(hasRepeatsLeft(Limiter, Service, 1, TimePoint{}));
  BOOST_TEST(takeAllRepeats(Limiter, 1, TimePoint{}) == 7U);
}

BOOST_AUTO_TEST_CASE(SilencesLeaveRetriesForBackEndsThatAreGone) {
  // Guards against a budget that is used up by silences which end by
  // themselves, just before a back end is lost.
  RepeatBudget Limiter = makeBudget(0.2, 100);
  uint32_t ForSilence = 0;
  while (hasRepeatsForSilence(Limiter, Service, 1, TimePoint{}) &&
         takeRepeat(Limiter, Service, 1, TimePoint{}))
    ++ForSilence;
  BOOST_TEST(ForSilence > 0U);
  BOOST_TEST(repeatsLeft(Limiter, Service, 1, TimePoint{}) >= ForSilence);
  BOOST_TEST(hasRepeatsLeft(Limiter, Service, 1, TimePoint{}));
}
