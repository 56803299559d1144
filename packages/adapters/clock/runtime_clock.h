/** @file runtime_clock.h Monotonic clock of a process, by CLOCK_BOOTTIME. */

#ifndef JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H
#define JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H

#include "clock_port.h"

#include <ctime>

namespace jacinthpond {

/**
 * ClockPort over the time since boot. It is monotonic like the steady clock,
 * but goes on while the host is suspended. With the steady clock, a process on
 * a suspended host would not notice the pause: its view of the other processes,
 * its time limits and the deadlines of its requests would all seem younger than
 * they are.
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
