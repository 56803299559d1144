/** @file log_type.h Parts and severity levels of log lines. */

#ifndef JACINTHPOND_CORE_LOG_TYPE_H
#define JACINTHPOND_CORE_LOG_TYPE_H

#include <cstdint>

namespace jacinthpond {

/** Part of a process; each logs with its own prefix. */
enum class LogPart : uint8_t {
  Main,      ///< Startup and shutdown.
  Config,    ///< Configuration documents.
  Links,     ///< Links and fleet membership.
  Requests,  ///< Requests and attempts.
  Weights,   ///< Weights and load orders.
  Admin,     ///< Administration API.
  Admission, ///< Admission, overload and quarantine.
  Count      ///< Number of parts; not a part.
};

/** Severity of a log line. */
enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

} // namespace jacinthpond

#endif
