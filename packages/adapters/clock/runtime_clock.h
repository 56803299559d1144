/** @file runtime_clock.h The runtime's monotonic clock. */

#ifndef JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H
#define JACINTHPOND_ADAPTERS_CLOCK_RUNTIME_CLOCK_H

#include "clock_port.h"

namespace jacinthpond {

/** ClockPort over std::chrono::steady_clock. */
class RuntimeClock final : public ClockPort {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

} // namespace jacinthpond

#endif
