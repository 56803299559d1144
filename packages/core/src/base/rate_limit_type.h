/** @file rate_limit_type.h Token bucket rate limiter. */

#ifndef JACINTHPOND_CORE_RATE_LIMIT_TYPE_H
#define JACINTHPOND_CORE_RATE_LIMIT_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace jacinthpond {

/** Limits a flow of units, such as bytes or requests, to an average rate. */
struct RateLimit {
  /** Size of the bucket, as time at the full rate; must exceed the period at
   * which the limit is checked. */
  double BurstSeconds = 0.1;
  double PerSecond = 0;   ///< Rate in units/s; 0: unlimited.
  double Tokens = 0;      ///< Units that may be sent; negative: debt.
  TimePoint RefilledAt;   ///< When Tokens was last refilled.
  uint64_t LiveBytes = 0; ///< Bytes of live traffic in the present window.
  uint64_t LiveRate = 0;  ///< Live traffic in the last window, in bytes/s.
  TimePoint LiveSince;    ///< Start of the present window.
};

} // namespace jacinthpond

#endif
