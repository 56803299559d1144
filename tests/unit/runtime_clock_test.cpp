/** @file runtime_clock_test.cpp Which time a process goes by. */
// Labels: promise-3

#include "clock/runtime_clock.h"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace jacinthpond;

namespace {

TimePoint sinceBoot() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

// A host was suspended for four seconds. The steady clock of its processes did
// not count them: nothing looked like a pause, and old weights began requests
// for four seconds more than allowed. The time since boot does count them.
BOOST_AUTO_TEST_CASE(TheTimeOfASuspendedHostCounts) {
  const RuntimeClock Clock;
  const TimePoint Before = sinceBoot();
  const TimePoint Now = Clock.now();
  BOOST_TEST((Before <= Now));
  BOOST_TEST((Now <= sinceBoot()));
}
