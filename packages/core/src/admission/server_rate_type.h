/** @file server_rate_type.h Rate limit that a back end sets for itself. */

#ifndef JACINTHPOND_CORE_SERVER_RATE_TYPE_H
#define JACINTHPOND_CORE_SERVER_RATE_TYPE_H

#include "base/rate_limit_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <optional>

namespace jacinthpond {

/**
 * A server-side rate limit as one process knows it. The back end names it in
 * its answers, all entries together have to keep it, and it holds until an
 * answer to a later request names none.
 */
struct ServerRate {
  std::optional<double> PerSecond; ///< Requests a second; nothing: no limit.
  TimePoint NamedAt;               ///< When an answer named it last.
  TimePoint LiftedAt; ///< When the request was sent whose answer named none.
  RateLimit Share;    ///< What this process may send of it.
};

/** What an answer changed in what is known of a limit. */
enum class RateChange : uint8_t {
  None,   ///< Nothing, or it is out of date.
  Set,    ///< The limit is new, or another one.
  Lifted, ///< There is no limit any more.
};

} // namespace jacinthpond

#endif
