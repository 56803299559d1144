/** @file runtime_clock_test.cpp RuntimeClock counts the time while a host is
 * suspended. */
// Labels: promise-3

#include "clock/runtime_clock.h"

#include <boost/test/unit_test.hpp>

#include <ctime>

using namespace jacinthpond;

namespace {

/** Reads CLOCK_BOOTTIME, which also counts suspended time. */
TimePoint readBootClock() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

// A host was suspended for four seconds, which the steady clock does not count.
// Its processes detected no pause and started requests on replaced weights for
// four seconds longer than allowed. CLOCK_BOOTTIME counts suspended time.
BOOST_AUTO_TEST_CASE(SuspendedTimeIsCounted) {
  const RuntimeClock Clock;
  const TimePoint Before = readBootClock();
  const TimePoint Now = Clock.now();
  BOOST_TEST((Before <= Now));
  BOOST_TEST((Now <= readBootClock()));
}
