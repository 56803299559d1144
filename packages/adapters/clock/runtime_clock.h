/** @file runtime_clock.h The clock of a process: it never goes back. */

#ifndef JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H
#define JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H

#include "clock_port.h"

#include <ctime>

namespace jacinthpond {

/**
 * ClockPort over the time since boot. Like the steady clock, but the time for
 * which a host is suspended counts. On the steady clock a process that slept
 * with its host would neither notice the pause nor that its view, its bounds
 * and the deadlines of its requests are older by it.
 */
class RuntimeClock final : public ClockPort {
public:
  TimePoint now() const override {
    timespec Time{};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return TimePoint(std::chrono::seconds(Time.tv_sec) +
                     std::chrono::nanoseconds(Time.tv_nsec));
  }
};

} // namespace jacinthpond

#endif
