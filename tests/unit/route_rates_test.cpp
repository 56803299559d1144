/** @file route_rates_test.cpp Seeded days on which back ends limit their rates.
 */
// Labels: routes

#include "route_days.h"

// Guards against back ends that get more requests than their own rate limit
// allows, summed over all entries that know of it.
BOOST_AUTO_TEST_CASE(RateLimitsAreKeptByAllEntriesTogether) {
  jacinthpond::model::playDays(jacinthpond::model::makeLimitedSchedule);
}
