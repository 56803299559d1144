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

RateChange recordRateLimit(ServerRate &Rate, double PerSecond,
                           TimePoint AnswerArrivedAt) {
  if (AnswerArrivedAt < Rate.LiftedAt)
    return RateChange::None;
  Rate.LimitSeenAt = std::max(Rate.LimitSeenAt, AnswerArrivedAt);
  if (Rate.PerSecond == PerSecond)
    return RateChange::None;
  if (!Rate.PerSecond)
    Rate.Share = {};
  Rate.PerSecond = PerSecond;
  return RateChange::Set;
}

RateChange recordNoRateLimit(ServerRate &Rate, TimePoint SentAt) {
  if (SentAt < Rate.LimitSeenAt)
    return RateChange::None;
  Rate.LiftedAt = std::max(Rate.LiftedAt, SentAt);
  if (!Rate.PerSecond)
    return RateChange::None;
  Rate.PerSecond.reset();
  return RateChange::Lifted;
}

bool maySendRequest(ServerRate &Rate, double Part, TimePoint Now) {
  if (!Rate.PerSecond)
    return true;
  if (Part <= 0)
    return false;
  Rate.Share.PerSecond = Part * std::max(*Rate.PerSecond, MinPerSecond);
  return isWithinRate(Rate.Share, Now);
}

void countRequest(ServerRate &Rate) {
  if (Rate.PerSecond)
    takeRateTokens(Rate.Share, 1);
}

void refundRequest(ServerRate &Rate) {
  if (Rate.PerSecond)
    takeRateTokens(Rate.Share, -1);
}

Duration timeUntilRequest(const ServerRate &Rate, TimePoint Now) {
  return Rate.PerSecond ? rateWaitTime(Rate.Share, Now) : Duration{0};
}

std::string formatRateLimit(const ServerRate &Rate) {
  return Rate.PerSecond ? std::to_string(*Rate.PerSecond) : "-";
}

} // namespace jacinthpond
