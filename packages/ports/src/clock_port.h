/** @file clock_port.h The runtime's clock behind an interface. */

#ifndef JACINTHPOND_PORTS_CLOCK_PORT_H
#define JACINTHPOND_PORTS_CLOCK_PORT_H

#include "base/time_type.h"

namespace jacinthpond {

/** Source of time; tests pause and advance theirs. */
class ClockPort {
public:
  virtual ~ClockPort() = default;

  /**
   * Reads the monotonic clock.
   * @return Now.
   */
  virtual TimePoint now() const = 0;
};

} // namespace jacinthpond

#endif
