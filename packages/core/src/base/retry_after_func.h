/** @file retry_after_func.h Reading the Retry-After header. */

#ifndef JACINTHPOND_CORE_RETRY_AFTER_FUNC_H
#define JACINTHPOND_CORE_RETRY_AFTER_FUNC_H

#include "base/time_type.h"

#include <optional>
#include <string_view>

namespace jacinthpond {

/**
 * Parses the value of a Retry-After header that is given in seconds.
 * @param Value Header value; may have a fraction, but neither sign nor
 * exponent.
 * @return The time, at most MaxRetryAfter; nothing for any other text, dates
 * included.
 */
std::optional<Millis> parseRetryAfter(std::string_view Value);

/** Longest time that is read. A longer one is most likely a mistake: the back
 * end is then checked with single requests, one an hour. */
constexpr Millis MaxRetryAfter = std::chrono::hours(1);

} // namespace jacinthpond

#endif
