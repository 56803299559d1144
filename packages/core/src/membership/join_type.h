/** @file join_type.h Whether a process may act on its view of the fleet.
 *
 * A view is fresh when the process has compared it with its peers or, where
 * none is found, with the configuration service. It stops being fresh when
 * the process was paused or is cut off. Without a fresh view no new work is
 * taken or given.
 */

#ifndef JACINTHPOND_CORE_JOIN_TYPE_H
#define JACINTHPOND_CORE_JOIN_TYPE_H

#include "base/time_type.h"

#include <cstdint>
#include <optional>

namespace jacinthpond {

/** How far a process has come in making its view fresh. */
struct Join {
  bool Fresh = false;           ///< The view may be acted on.
  bool WasFresh = false;        ///< It was acted on since the start.
  TimePoint Since;              ///< Start, wake-up or loss of contact.
  bool ServiceAnswered = false; ///< A read begun after Since was answered.
  std::optional<TimePoint> ServiceHeard; ///< Last answer of the service.
  TimePoint LastContact;                 ///< Last time that counted as contact.
  uint32_t ReadFailures = 0; ///< Reads in a row that brought nothing.
  /** Last time at which anything published would have been heard of; nothing:
   * not since the start. */
  std::optional<TimePoint> KnownCurrent;
  TimePoint DoubtUntil; ///< Till then what is heard may be from before a
                        ///< stall, and does not move KnownCurrent.
};

} // namespace jacinthpond

#endif
