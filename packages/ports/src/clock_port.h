/** @file clock_port.h Interface to the monotonic clock. */

#ifndef JACINTHPOND_PORTS_CLOCK_PORT_H
#define JACINTHPOND_PORTS_CLOCK_PORT_H

#include "base/time_type.h"

namespace jacinthpond {

/** Source of time; tests use one that they pause and advance. */
class ClockPort {
public:
  virtual ~ClockPort() = default;

  /**
   * Reads the monotonic clock.
   * @return The current time.
   */
  virtual TimePoint now() const = 0;
};

} // namespace jacinthpond

#endif
