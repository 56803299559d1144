/** @file rate_limit.cpp A token bucket. */

#include "base/rate_limit_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Part of the rate that live traffic cannot take. */
constexpr double LeastShare = 0.1;
/** Time over which live traffic is measured. */
constexpr Millis LiveWindow{250};

/** Closes the window of live traffic when it has lasted long enough. */
void measureLive(RateLimit &Limit, TimePoint Now) {
  const Duration Passed = Now - Limit.LiveSince;
  if (Passed < LiveWindow)
    return;
  Limit.LiveRate =
      Limit.LiveBytes * 1000 / static_cast<uint64_t>(toMillis(Passed).count());
  Limit.LiveBytes = 0;
  Limit.LiveSince = Now;
}

} // namespace

bool rateAllows(RateLimit &Limit, TimePoint Now) {
  if (Limit.PerSecond <= 0)
    return true;
  measureLive(Limit, Now);
  const double Rate =
      std::max(Limit.PerSecond * LeastShare,
               Limit.PerSecond - static_cast<double>(Limit.LiveRate));
  const std::chrono::duration<double> Passed = Now - Limit.Filled;
  Limit.Filled = Now;
  Limit.Tokens =
      std::min(Limit.Tokens + Rate * Passed.count(), Rate * Limit.BurstSeconds);
  return Limit.Tokens >= 0;
}

void rateSpend(RateLimit &Limit, double Units) {
  if (Limit.PerSecond > 0)
    Limit.Tokens -= Units;
}

Duration rateWait(const RateLimit &Limit, TimePoint Now) {
  if (Limit.PerSecond <= 0 || Limit.Tokens >= 0)
    return Duration{0};
  const std::chrono::duration<double> Debt(-Limit.Tokens / Limit.PerSecond);
  const auto Due = Limit.Filled + std::chrono::duration_cast<Duration>(Debt);
  return std::max(Due - Now, Duration{0});
}

void rateYield(RateLimit &Limit, uint64_t Bytes, TimePoint Now) {
  measureLive(Limit, Now);
  Limit.LiveBytes += Bytes;
}

} // namespace jacinthpond
