/** @file route_notices_test.cpp Seeded days on which back ends shed load, and
 * say that they are leaving.
 */
// Labels: routes

#include "route_days.h"

// Guards against requests to back ends that asked the sending entry for a
// pause, or told it that they are leaving.
BOOST_AUTO_TEST_CASE(NoticesOfBackEndsAreKept) {
  jacinthpond::model::playDays(jacinthpond::model::makeNoticedSchedule);
}
