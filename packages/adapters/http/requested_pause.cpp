/** @file requested_pause.cpp Pauses that back ends ask for over HTTP. */

#include "http/requested_pause.h"

#include "base/retry_after_func.h"
#include "log/log.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>

namespace jacinthpond {

namespace {

constexpr const char *RetryAfterHeader = "Retry-After";
constexpr int ServiceUnavailable = 503;

} // namespace

Millis requestedPause(const httplib::Response &Answer) {
  static std::once_flag Logged;
  Millis Longest{0};
  if (Answer.status != ServiceUnavailable)
    return Longest;
  const size_t Count = Answer.get_header_value_count(RetryAfterHeader);
  for (size_t n = 0; n < Count; ++n) {
    const std::string Value = Answer.get_header_value(RetryAfterHeader, n);
    const auto Read = parseRetryAfter(Value);
    if (!Read)
      std::call_once(Logged, [] {
        logLine(LogPart::Admission, LogLevel::Warn,
                "The back end's Retry-After is no number of seconds.");
      });
    Longest = std::max(Longest, Read.value_or(Millis{0}));
  }
  return Longest;
}

} // namespace jacinthpond
