/** @file rate_share.cpp Sharing the rate limit of a back end among entries. */

#include "forwarding/rate_share_func.h"

#include "admission/server_rate_func.h"
#include "base/hash_func.h"
#include "forwarding/server_pool_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Share of a rate that all entries together use where there is no agent. Two
 * halves of a partitioned fleet use twice as much.
 */
constexpr double ShareWithoutAgents = 0.65;
/** The same where the agent is silent: it may still grant slots to others. */
constexpr double ShareWithSilentAgents = 0.4;
/** Entries that get a share of the lowest rates, and how many more get one for
 * each request per second. */
constexpr double MinSharers = 2;
constexpr double SharersPerRate = 0.2;
/** Time since a limit was last stated after which the first entry without a
 * share sends a request to check whether the limit still holds; each further
 * entry waits one such time more. Normally other entries report that a limit
 * was lifted, but the notice is lost while a link is down. */
constexpr std::chrono::seconds ProbeAfter{30};
/** Lowest rate assumed for a service, in requests per second. */
constexpr double MinServiceRate = 0.25;
/** Longest time ahead for which retry times are assigned. */
constexpr Millis MaxRetryAhead{10000};
/** Upper bound of the age of a rate limit notice. */
constexpr Millis MaxNoticeAge{3600000};
/** Shortest time without slot requests after a refusal for the rate limit. */
constexpr Millis MinNoSlotTime{10};

/** Counts the entries that rank before this one for a share of a back end's
 * rate. */
uint32_t entriesBefore(const ServerPool &Pool, const ServerView &View) {
  const auto Score = [&](const HostName &Name) {
    return rendezvousScore(View.Listed.Id.Value, Name.Value);
  };
  const uint64_t Own = Score(Pool.Options.Self);
  return static_cast<uint32_t>(std::ranges::count_if(
      Pool.Sharers, [&](const HostName &One) { return Score(One) > Own; }));
}

/**
 * Gives this entry's share of a rate, from 0 to 1. Every entry with a share may
 * send one request at once, which alone would exceed a low rate if all entries
 * had one, so the number of entries with a share depends on the rate.
 */
double shareOfRate(const ServerRate &Rate, const ServerPool &Pool,
                   const ServerView &View, const Service &Spec) {
  const auto Sharers = static_cast<uint32_t>(
      std::min(MinSharers + SharersPerRate * *Rate.PerSecond,
               std::max(1.0, static_cast<double>(Pool.Entries))));
  if (entriesBefore(Pool, View) >= Sharers)
    return 0;
  const bool Agents = !Spec.Model.Value.empty();
  return (Agents ? ShareWithSilentAgents : ShareWithoutAgents) / Sharers;
}

/** Says whether an entry without a share may check whether a limit still holds.
 */
bool mayProbe(const ServerPool &Pool, const ServerView &View, TimePoint Now) {
  const int64_t Rank = 1 + int64_t{entriesBefore(Pool, View)};
  return Now - View.Rate.LimitSeenAt >= ProbeAfter * Rank;
}

/** Says whether the rate limit that a back end sets for itself allows a
 * request.
 */
bool isWithinLimit(const ServerPool &Pool, ServerView &View,
                   const Service &Spec, TimePoint Now) {
  if (!View.Rate.PerSecond)
    return true;
  const double Share = shareOfRate(View.Rate, Pool, View, Spec);
  return Share > 0 ? maySendRequest(View.Rate, Share, Now)
                   : mayProbe(Pool, View, Now);
}

/** Says whether the rate of a back end's cold start allows a request. */
bool isWithinColdRate(const ServerPool &Pool, ServerView &View,
                      const Service &Spec, TimePoint Now) {
  if (Spec.ColdPerSecond <= 0 || Now >= View.ColdUntil)
    return true;
  View.ColdLimit.PerSecond = Spec.ColdPerSecond;
  return maySendRequest(View.ColdLimit,
                        shareOfRate(View.ColdLimit, Pool, View, Spec), Now);
}

} // namespace

bool isWithinRates(const ServerPool &Pool, ServerView &View,
                   const Service &Spec, TimePoint Now) {
  if (hasAgent(View))
    return Now >= View.NoSlotUntil;
  return isWithinLimit(Pool, View, Spec, Now) &&
         isWithinColdRate(Pool, View, Spec, Now);
}

Millis assignRetryTime(ServerPool &Pool, const ServiceName &Service,
                       double PerSecond, TimePoint Now) {
  const double Own = std::max(PerSecond, MinServiceRate) /
                     static_cast<double>(std::max(1U, Pool.Entries));
  const auto Spacing = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Own));
  const TimePoint Latest = Now + MaxRetryAhead;
  TimePoint &Retry = Pool.LastRetryTime[Service];
  Retry = std::clamp(Retry + Spacing, std::min(Now + Spacing, Latest), Latest);
  return toMillis(Retry - Now);
}

void countRequestWithoutSlot(ServerPool &Pool, const InstanceId &Id,
                             TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  if (Now < View->ColdUntil)
    countRequest(View->ColdLimit);
  countRequest(View->Rate);
  if (View->Rate.PerSecond && mayProbe(Pool, *View, Now))
    View->Rate.LimitSeenAt = Now;
}

RateChange recordAnswerRate(ServerPool &Pool, const InstanceId &Id,
                            std::optional<double> PerSecond, TimePoint SentAt,
                            TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return RateChange::None;
  return PerSecond ? recordRateLimit(View->Rate, *PerSecond, Now)
                   : recordNoRateLimit(View->Rate, SentAt);
}

RateChange recordPeerRate(ServerPool &Pool, const RateLimitNotice &Notice,
                          TimePoint Now) {
  ServerView *View = findServer(Pool, Notice.Server);
  if (View == nullptr)
    return RateChange::None;
  const Millis Age(static_cast<int64_t>(
      std::min<uint64_t>(Notice.AgeMillis, MaxNoticeAge.count())));
  return Notice.PerSecond
             ? recordRateLimit(View->Rate, *Notice.PerSecond, Now - Age)
             : recordNoRateLimit(View->Rate, Now - Age);
}

void recordRateRefusal(ServerPool &Pool, const InstanceId &Id, Duration Wait,
                       TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    View->NoSlotUntil = Now + std::max(Wait, Duration(MinNoSlotTime));
}

std::optional<RateLimitNotice> rateNoticeForAgent(const ServerView &View,
                                                  TimePoint Now) {
  if (!View.Rate.PerSecond || !hasAgent(View) || View.Agent->PerSecond)
    return std::nullopt;
  const Millis Age = toMillis(Now - View.Rate.LimitSeenAt);
  return RateLimitNotice{
      {},
      View.Listed.Id,
      View.Rate.PerSecond,
      static_cast<uint64_t>(std::max<int64_t>(0, Age.count()))};
}

bool isRateLimited(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View != nullptr && View->Rate.PerSecond.has_value();
}

} // namespace jacinthpond
