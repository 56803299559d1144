/** @file log_type.h Parts and levels of log lines. */

#ifndef JACINTHPOND_CORE_LOG_TYPE_H
#define JACINTHPOND_CORE_LOG_TYPE_H

#include <cstdint>

namespace jacinthpond {

/** Parts of a process; each has its own prefix. */
enum class LogPart : uint8_t {
  Main,      ///< Start and shutdown.
  Config,    ///< Configuration.
  Links,     ///< Links and membership.
  Requests,  ///< Requests and attempts.
  Weights,   ///< Weights and load orders.
  Admin,     ///< Administration API.
  Admission, ///< Admission, overload and quarantine.
  Count      ///< Number of parts; not a part.
};

/** How much a line matters. */
enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

} // namespace jacinthpond

#endif
