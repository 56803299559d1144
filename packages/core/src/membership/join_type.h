/** @file join_type.h State of a process that makes its view of the fleet fresh.
 *
 * A view is fresh when the process has compared it with its peers or, where
 * none is found, with the configuration service. It stops being fresh when
 * the process was paused or is cut off. Without a fresh view a process neither
 * accepts nor sends new work.
 */

#ifndef JACINTHPOND_CORE_JOIN_TYPE_H
#define JACINTHPOND_CORE_JOIN_TYPE_H

#include "base/time_type.h"

#include <cstdint>
#include <optional>

namespace jacinthpond {

/** Progress of a process in making its view fresh, and its contact since. */
struct Join {
  bool Fresh = false;           ///< The view may be acted on.
  bool WasFresh = false;        ///< It has been fresh since the start.
  TimePoint Since;              ///< Start, end of a pause or loss of contact.
  bool ServiceAnswered = false; ///< A read begun after Since was answered.
  std::optional<TimePoint> LastServiceAnswerAt; ///< Last answer of the service.
  TimePoint LastContact;     ///< When this process was last in contact.
  uint32_t ReadFailures = 0; ///< Consecutive reads without a usable answer.
  /** Up to this time this process knows of every published document; empty:
   * unknown since the start. */
  std::optional<TimePoint> KnownCurrentAt;
  TimePoint BacklogUntil; ///< Until then, messages may be from before a stall
                          ///< and don't advance KnownCurrentAt.
};

} // namespace jacinthpond

#endif
