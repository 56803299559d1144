/** @file service_port.h A plain service as its agent uses it. */

#ifndef JACINTHPOND_PORTS_SERVICE_PORT_H
#define JACINTHPOND_PORTS_SERVICE_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"

#include <string>

namespace jacinthpond {

/** A plain service. Calls block and may be made from several threads. */
class ServicePort {
public:
  virtual ~ServicePort() = default;

  /**
   * Makes the call once; never repeats it.
   * @param Call What to call.
   * @return The answer; Unreachable only when nothing was sent, else
   *         OutcomeUnknown.
   */
  virtual Result<ServiceAnswer> call(const ServiceCall &Call) = 0;

  /**
   * Asks whether the service answers at all.
   * @return Its incarnation, or Unreachable.
   */
  virtual Result<std::string> ping() = 0;
};

} // namespace jacinthpond

#endif
