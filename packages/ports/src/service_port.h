/** @file service_port.h Interface between an agent and its plain service. */

#ifndef JACINTHPOND_PORTS_SERVICE_PORT_H
#define JACINTHPOND_PORTS_SERVICE_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"

#include <string>

namespace jacinthpond {

/** A service without a model engine. All calls block and may be made from
 * several threads. */
class ServicePort {
public:
  virtual ~ServicePort() = default;

  /**
   * Sends a call once, without retries.
   * @param Call The call.
   * @return The answer; Unreachable only when nothing was sent, otherwise
   *         OutcomeUnknown.
   */
  virtual Result<ServiceAnswer> call(const ServiceCall &Call) = 0;

  /**
   * Checks whether the service answers.
   * @return Its incarnation, which changes when it restarts; or Unreachable.
   */
  virtual Result<std::string> ping() = 0;
};

} // namespace jacinthpond

#endif
