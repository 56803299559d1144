/** @file first_part_test.cpp Estimated time to the first part of an answer. */
// Labels: routes admission

#include "admission/first_part_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(TheEstimateAddsReadingToTheMeasuredRest) {
  FirstPartTime Time;
  for (int n = 0; n < 100; ++n)
    recordFirstPart(Time, Millis(n % 2 == 0 ? 250 : 150), Millis(50));
  const Duration Short = expectedFirstPartTime(Time, Millis(10));
  BOOST_TEST((Short > Millis(180) && Short < Millis(240)));
  BOOST_TEST((expectedFirstPartTime(Time, Millis(200)) == Short + Millis(190)));
}

BOOST_AUTO_TEST_CASE(WithoutSamplesTheEstimateIsTheReadingTime) {
  BOOST_TEST((expectedFirstPartTime({}, Millis(70)) == Millis(70)));
}

BOOST_AUTO_TEST_CASE(TheEstimateFollowsASlowerEngineWithinABatch) {
  FirstPartTime Time;
  for (int n = 0; n < 50; ++n)
    recordFirstPart(Time, Millis(100), Millis(0));
  for (int n = 0; n < 16; ++n)
    recordFirstPart(Time, Millis(300), Millis(0));
  BOOST_TEST((expectedFirstPartTime(Time, Millis(0)) > Millis(220)));
}
