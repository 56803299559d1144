/** @file route_parts_test.cpp Seeded days on which a part of prompts crashes
 * the back ends that answer requests with it.
 */
// Labels: quarantine routes

#include "route_days.h"

// Guards against requests, no two alike, that crash one back end after the
// other by a part that they share, and against others that are refused for it.
BOOST_AUTO_TEST_CASE(CrashingPartsAreKeptFromBackEnds) {
  jacinthpond::model::playDays(jacinthpond::model::makePartSchedule);
}
