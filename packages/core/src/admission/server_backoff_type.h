/** @file server_backoff_type.h Pauses that a back end asks for. */

#ifndef JACINTHPOND_CORE_SERVER_BACKOFF_TYPE_H
#define JACINTHPOND_CORE_SERVER_BACKOFF_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace jacinthpond {

/**
 * Pause that one run of a back end asked this process for, and the slow start
 * that follows it. It binds no other process, and ends with that run.
 */
struct ServerBackoff {
  TimePoint Until;        ///< No request is sent before this time.
  bool SlowStart = false; ///< Requests return step by step after it.
  uint32_t MaxOpen = 0;   ///< Open requests allowed in the slow start; 0: it
                          ///< has not begun.
};

} // namespace jacinthpond

#endif
