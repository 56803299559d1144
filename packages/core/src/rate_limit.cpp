/** @file rate_limit.cpp A token bucket. */

#include "rate_limit_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Idle time that is made up for; longer than the period of decisions. */
constexpr double BurstSeconds = 0.1;

} // namespace

bool rateAllows(RateLimit &Limit, TimePoint Now) {
  if (Limit.BytesPerSecond == 0)
    return true;
  const auto Rate = static_cast<double>(Limit.BytesPerSecond);
  const std::chrono::duration<double> Passed = Now - Limit.Filled;
  Limit.Filled = Now;
  Limit.Tokens =
      std::min(Limit.Tokens + Rate * Passed.count(), Rate * BurstSeconds);
  return Limit.Tokens >= 0;
}

void rateSpend(RateLimit &Limit, uint64_t Bytes) {
  if (Limit.BytesPerSecond > 0)
    Limit.Tokens -= static_cast<double>(Bytes);
}

} // namespace jacinthpond
