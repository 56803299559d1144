/** @file rate_limit.cpp Token bucket rate limiter. */

#include "base/rate_limit_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Share of the rate that live traffic cannot use up. */
constexpr double MinShare = 0.1;
/** Length of the window that measures live traffic. */
constexpr Millis LiveWindow{250};

/** Updates the rate of live traffic and starts a new window, once the present
 * window is over. */
void updateLiveRate(RateLimit &Limit, TimePoint Now) {
  const Duration Passed = Now - Limit.LiveSince;
  if (Passed < LiveWindow)
    return;
  Limit.LiveRate =
      Limit.LiveBytes * 1000 / static_cast<uint64_t>(toMillis(Passed).count());
  Limit.LiveBytes = 0;
  Limit.LiveSince = Now;
}

} // namespace

bool isWithinRate(RateLimit &Limit, TimePoint Now) {
  if (Limit.PerSecond <= 0)
    return true;
  updateLiveRate(Limit, Now);
  const double Rate =
      std::max(Limit.PerSecond * MinShare,
               Limit.PerSecond - static_cast<double>(Limit.LiveRate));
  const std::chrono::duration<double> Passed = Now - Limit.RefilledAt;
  Limit.RefilledAt = Now;
  Limit.Tokens =
      std::min(Limit.Tokens + Rate * Passed.count(), Rate * Limit.BurstSeconds);
  return Limit.Tokens >= 0;
}

void takeRateTokens(RateLimit &Limit, double Units) {
  if (Limit.PerSecond > 0)
    Limit.Tokens -= Units;
}

Duration rateWaitTime(const RateLimit &Limit, TimePoint Now) {
  if (Limit.PerSecond <= 0 || Limit.Tokens >= 0)
    return Duration{0};
  const std::chrono::duration<double> Debt(-Limit.Tokens / Limit.PerSecond);
  const auto Due =
      Limit.RefilledAt + std::chrono::duration_cast<Duration>(Debt);
  return std::max(Due - Now, Duration{0});
}

void countLiveTraffic(RateLimit &Limit, uint64_t Bytes, TimePoint Now) {
  updateLiveRate(Limit, Now);
  Limit.LiveBytes += Bytes;
}

} // namespace jacinthpond
