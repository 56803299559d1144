/** @file route_crashes_test.cpp Seeded days on which copies of a request crash
 * the back ends that run them.
 */
// Labels: quarantine routes

#include "route_days.h"

// Guards against requests that crash one back end after the other, and against
// others that are refused for it.
BOOST_AUTO_TEST_CASE(CrashingRequestsAreKeptFromBackEnds) {
  jacinthpond::model::playDays(jacinthpond::model::makeCrashingSchedule);
}
