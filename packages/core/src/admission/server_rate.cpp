/** @file server_rate.cpp Rate limit that a back end announces. */

#include "admission/server_rate_func.h"

#include "base/rate_limit_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Lower bound of the limit applied, so that an occasional request finds out
 * whether a very low limit still stands. */
constexpr double MinPerSecond = 0.25;

} // namespace

RateChange rateNamed(ServerRate &Rate, double PerSecond, TimePoint HeardAt) {
  if (HeardAt < Rate.LiftedAt)
    return RateChange::None;
  Rate.LimitSeenAt = std::max(Rate.LimitSeenAt, HeardAt);
  if (Rate.PerSecond == PerSecond)
    return RateChange::None;
  if (!Rate.PerSecond)
    Rate.Share = {};
  Rate.PerSecond = PerSecond;
  return RateChange::Set;
}

RateChange rateNotNamed(ServerRate &Rate, TimePoint SentAt) {
  if (SentAt < Rate.LimitSeenAt)
    return RateChange::None;
  Rate.LiftedAt = std::max(Rate.LiftedAt, SentAt);
  if (!Rate.PerSecond)
    return RateChange::None;
  Rate.PerSecond.reset();
  return RateChange::Lifted;
}

bool rateAllowsRequest(ServerRate &Rate, double Part, TimePoint Now) {
  if (!Rate.PerSecond)
    return true;
  if (Part <= 0)
    return false;
  Rate.Share.PerSecond = Part * std::max(*Rate.PerSecond, MinPerSecond);
  return rateAllows(Rate.Share, Now);
}

void countRequest(ServerRate &Rate) {
  if (Rate.PerSecond)
    rateSpend(Rate.Share, 1);
}

void uncountRequest(ServerRate &Rate) {
  if (Rate.PerSecond)
    rateSpend(Rate.Share, -1);
}

Duration timeToRequest(const ServerRate &Rate, TimePoint Now) {
  return Rate.PerSecond ? rateWait(Rate.Share, Now) : Duration{0};
}

std::string rateText(const ServerRate &Rate) {
  return Rate.PerSecond ? std::to_string(*Rate.PerSecond) : "-";
}

} // namespace jacinthpond
