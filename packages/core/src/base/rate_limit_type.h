/** @file rate_limit_type.h A token bucket. */

#ifndef JACINTHPOND_CORE_RATE_LIMIT_TYPE_H
#define JACINTHPOND_CORE_RATE_LIMIT_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace jacinthpond {

/** Limits a flow of units, such as bytes or requests, to a mean rate. */
struct RateLimit {
  /** Idle time that is made up for; longer than the period of decisions. */
  double BurstSeconds = 0.1;
  double PerSecond = 0;   ///< Units a second; 0: unlimited.
  double Tokens = 0;      ///< Units that may go now; below 0: a debt.
  TimePoint Filled;       ///< When Tokens was brought up to date.
  uint64_t LiveBytes = 0; ///< Live traffic in the present window.
  uint64_t LiveRate = 0;  ///< Its bytes a second in the last window.
  TimePoint LiveSince;    ///< Start of the present window.
};

} // namespace jacinthpond

#endif
