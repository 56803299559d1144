/** @file retry_after.cpp Reading the Retry-After header. */

#include "base/retry_after_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace jacinthpond {

std::optional<Millis> parseRetryAfter(std::string_view Value) {
  double Seconds = 0;
  const char *const End = Value.data() + Value.size();
  const auto Read =
      std::from_chars(Value.data(), End, Seconds, std::chars_format::fixed);
  // Digits beyond the range of a double are valid, and longer than any bound.
  const bool TooLarge =
      Read.ec == std::errc::result_out_of_range && Read.ptr == End;
  if (Value.empty() || Value.front() == '-' || Read.ptr != End)
    return std::nullopt;
  if (TooLarge)
    return MaxRetryAfter;
  if (Read.ec != std::errc{} || !std::isfinite(Seconds))
    return std::nullopt;
  const double Longest = std::chrono::duration<double>(MaxRetryAfter).count();
  return Millis(
      static_cast<int64_t>(std::ceil(1000 * std::min(Seconds, Longest))));
}

} // namespace jacinthpond
