/** @file come_back_test.cpp When refused callers are told to come back. */
// Labels: routes admission

#include "forwarding/come_back_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace jacinthpond;

namespace {

/** Most callers of 500, refused at once, that come back in some 100 ms. */
size_t mostTogether(const Failure &Why, Duration Left) {
  uint64_t Random = 7;
  std::vector<size_t> Slots(100);
  for (int n = 0; n < 500; ++n)
    ++Slots.at(static_cast<size_t>(comeBackAfter(Why, Left, Random).count()) /
               100);
  return *std::ranges::max_element(Slots);
}

} // namespace

// Everything restarts. 500 callers were told the same second, came back in the
// same 100 ms, and 400 of them were refused once more although the places were
// free a moment later.
BOOST_AUTO_TEST_CASE(CallersRefusedTogetherComeBackApart) {
  const Failure NoView{ErrorKind::StaleView, "", {}};
  BOOST_TEST(mostTogether(NoView, std::chrono::seconds(6)) < 120U);
  // Also where the time that they have left is what counts.
  BOOST_TEST(mostTogether(NoView, std::chrono::seconds(3)) < 200U);
}

BOOST_AUTO_TEST_CASE(NobodyIsToldMoreThanItWaits) {
  uint64_t Random = 7;
  const Failure Why{ErrorKind::Overloaded, "", Millis(60000)};
  for (int n = 0; n < 100; ++n) {
    const Millis Told = comeBackAfter(Why, Millis(3000), Random);
    BOOST_TEST(Told.count() <= 1000);
    BOOST_TEST(Told.count() >= 600);
  }
  BOOST_TEST(comeBackAfter(Why, Millis(-5), Random).count() == 0);
}
