/** @file server_rate_type.h Rate limit that a back end announces. */

#ifndef JACINTHPOND_CORE_SERVER_RATE_TYPE_H
#define JACINTHPOND_CORE_SERVER_RATE_TYPE_H

#include "base/rate_limit_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <optional>

namespace jacinthpond {

/**
 * Rate limit of a back end as one process knows it. The back end announces it
 * in its answers, and all entries together have to keep it. It applies until an
 * answer to a later request announces none.
 */
struct ServerRate {
  std::optional<double> PerSecond; ///< Requests per second; empty: no limit.
  TimePoint LimitSeenAt;           ///< When an answer last announced it.
  TimePoint LiftedAt; ///< Send time of the last request whose answer had
                      ///< no limit.
  RateLimit Share;    ///< This process's share of it.
};

/** How an answer changed the known limit. */
enum class RateChange : uint8_t {
  None,   ///< Not at all, or the answer is out of date.
  Set,    ///< The limit is new or has another value.
  Lifted, ///< There is no limit anymore.
};

} // namespace jacinthpond

#endif
