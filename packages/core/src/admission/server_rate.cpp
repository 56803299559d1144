/** @file server_rate.cpp Rate limit that a back end sets for itself. */

#include "admission/server_rate_func.h"

#include <algorithm>

namespace jacinthpond {

RateChange rateNamed(ServerRate &Rate, double PerSecond, TimePoint HeardAt) {
  if (HeardAt < Rate.LiftedAt)
    return RateChange::None;
  Rate.NamedAt = std::max(Rate.NamedAt, HeardAt);
  if (Rate.PerSecond == PerSecond)
    return RateChange::None;
  Rate.PerSecond = PerSecond;
  return RateChange::Set;
}

RateChange rateNotNamed(ServerRate &Rate, TimePoint SentAt) {
  if (SentAt < Rate.NamedAt)
    return RateChange::None;
  Rate.LiftedAt = std::max(Rate.LiftedAt, SentAt);
  if (!Rate.PerSecond)
    return RateChange::None;
  Rate.PerSecond.reset();
  return RateChange::Lifted;
}

std::string rateText(const ServerRate &Rate) {
  return Rate.PerSecond ? std::to_string(*Rate.PerSecond) : "-";
}

} // namespace jacinthpond
