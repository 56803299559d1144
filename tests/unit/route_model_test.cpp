/** @file route_model_test.cpp Seeded days of a whole fleet against the rules.
 */
// Labels: routes weights

#include "route_days.h"

BOOST_AUTO_TEST_CASE(SeededDaysBreakNoRule) {
  jacinthpond::model::playDays(jacinthpond::model::makeSchedule);
}
