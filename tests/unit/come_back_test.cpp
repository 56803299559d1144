/** @file come_back_test.cpp Retry delays for refused callers. */
// Labels: routes admission

#include "forwarding/come_back_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace jacinthpond;

namespace {

/** Gives the largest number of 500 callers refused at once that retry within
 * the same 100 ms. */
size_t maxSimultaneousRetries(const Failure &Why, Duration Left) {
  uint64_t Random = 7;
  std::vector<size_t> Slots(100);
  for (int n = 0; n < 500; ++n)
    ++Slots.at(
        static_cast<size_t>(spreadRetryAfter(Why, Left, Random).count()) / 100);
  return *std::ranges::max_element(Slots);
}

} // namespace

// Guards against a burst of retries after a restart of the whole fleet: 500
// callers were told the same delay, retried within the same 100 ms, and 400 of
// them were refused again although slots were free a moment later.
BOOST_AUTO_TEST_CASE(RetriesOfCallersRefusedTogetherAreSpread) {
  const Failure NoView{ErrorKind::StaleView, "", {}};
  BOOST_TEST(maxSimultaneousRetries(NoView, std::chrono::seconds(6)) < 120U);
  // Also where the remaining time limits the delay.
  BOOST_TEST(maxSimultaneousRetries(NoView, std::chrono::seconds(3)) < 200U);
}

BOOST_AUTO_TEST_CASE(TheRetryDelayIsAPartOfTheRemainingTime) {
  uint64_t Random = 7;
  const Failure Why{ErrorKind::Overloaded, "", Millis(60000)};
  for (int n = 0; n < 100; ++n) {
    const Millis Delay = spreadRetryAfter(Why, Millis(3000), Random);
    BOOST_TEST(Delay.count() <= 1000);
    BOOST_TEST(Delay.count() >= 600);
  }
  BOOST_TEST(spreadRetryAfter(Why, Millis(-5), Random).count() == 0);
}
