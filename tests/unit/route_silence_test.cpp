/** @file route_silence_test.cpp Seeded days on which sound back ends fall
 * silent for a moment and go on.
 */
// Labels: routes weights

#include "route_days.h"

// Guards against answers that are taken from a sound back end, silent for a
// moment, before another one has the request.
BOOST_AUTO_TEST_CASE(SilenceOfSoundBackEndsLosesNoRequest) {
  jacinthpond::model::playDays(jacinthpond::model::makeSilentSchedule);
}
