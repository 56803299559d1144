/** @file rate_share.cpp Rates that a back end bears, kept by all entries
 * together. */

#include "forwarding/rate_share_func.h"

#include "admission/server_rate_func.h"
#include "base/hash_func.h"
#include "forwarding/server_pool_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Part of a rate that entries use together where there is no agent. Two halves
 * of the fleet that do not see each other use twice as much.
 */
constexpr double PartWithoutAgents = 0.65;
/** The same where the agent is silent: it may still give places to others. */
constexpr double PartPastAgents = 0.4;
/** Entries that have a part of a small rate, and how many more have one for
 * each request a second. */
constexpr double LeastSharers = 2;
constexpr double SharersByRate = 0.2;
/** Time since a limit was heard of after which the first entry that has no part
 * of it finds out whether it still holds; the next ones take longer. They hear
 * from others that it was lifted, unless a link was away then. */
constexpr std::chrono::seconds ProbeAfter{30};
/** Least requests a second that a service is taken to bear. */
constexpr double LeastSum = 0.25;
/** Longest time for which turns are given out. */
constexpr Millis LongestTurn{10000};
/** Age above which all news of a limit is equally old. */
constexpr Millis LongestAge{3600000};
/** Shortest time for which an agent that refused for a rate is not asked. */
constexpr Millis ShortestNoPlace{10};

/** Counts the entries that get a part of a back end's rate before this one. */
uint32_t entriesBefore(const ServerPool &Pool, const ServerView &View) {
  const auto Score = [&](const HostName &Name) {
    return rendezvousScore(View.Listed.Id.Value, Name.Value);
  };
  const uint64_t Own = Score(Pool.Options.Self);
  return static_cast<uint32_t>(std::ranges::count_if(
      Pool.Sharers, [&](const HostName &One) { return Score(One) > Own; }));
}

/**
 * Gives the part of a rate that is this entry's own. What entries may send at
 * once, one request each, would alone exceed a small rate, so only so many of
 * them have a part.
 */
double partOf(const ServerRate &Rate, const ServerPool &Pool,
              const ServerView &View, const Service &Kind) {
  const auto Sharers = static_cast<uint32_t>(
      std::min(LeastSharers + SharersByRate * *Rate.PerSecond,
               std::max(1.0, static_cast<double>(Pool.Entries))));
  if (entriesBefore(Pool, View) >= Sharers)
    return 0;
  const bool Agents = !Kind.Model.Value.empty();
  return (Agents ? PartPastAgents : PartWithoutAgents) / Sharers;
}

/** Says whether an entry without a part may find out whether a limit holds. */
bool mayProbe(const ServerPool &Pool, const ServerView &View, TimePoint Now) {
  const int64_t Turn = 1 + int64_t{entriesBefore(Pool, View)};
  return Now - View.Rate.NamedAt >= ProbeAfter * Turn;
}

bool limitAllows(const ServerPool &Pool, ServerView &View, const Service &Kind,
                 TimePoint Now) {
  if (!View.Rate.PerSecond)
    return true;
  const double Part = partOf(View.Rate, Pool, View, Kind);
  return Part > 0 ? rateAllowsRequest(View.Rate, Part, Now)
                  : mayProbe(Pool, View, Now);
}

bool coldAllows(const ServerPool &Pool, ServerView &View, const Service &Kind,
                TimePoint Now) {
  if (Kind.ColdPerSecond <= 0 || Now >= View.ColdUntil)
    return true;
  View.Cold.PerSecond = Kind.ColdPerSecond;
  return rateAllowsRequest(View.Cold, partOf(View.Cold, Pool, View, Kind), Now);
}

} // namespace

bool ratesAllow(const ServerPool &Pool, ServerView &View, const Service &Kind,
                TimePoint Now) {
  if (hasAgent(View))
    return Now >= View.NoPlaceUntil;
  return limitAllows(Pool, View, Kind, Now) &&
         coldAllows(Pool, View, Kind, Now);
}

Millis turnToComeBack(ServerPool &Pool, const ServiceName &Service,
                      double PerSecond, TimePoint Now) {
  const double Own = std::max(PerSecond, LeastSum) /
                     static_cast<double>(std::max(1U, Pool.Entries));
  const auto Apart = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Own));
  const TimePoint Last = Now + LongestTurn;
  TimePoint &Next = Pool.NextTurn[Service];
  Next = std::clamp(Next + Apart, std::min(Now + Apart, Last), Last);
  return toMillis(Next - Now);
}

void sentPastAgent(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return;
  if (Now < View->ColdUntil)
    countRequest(View->Cold);
  countRequest(View->Rate);
  if (View->Rate.PerSecond && mayProbe(Pool, *View, Now))
    View->Rate.NamedAt = Now;
}

RateChange rateHeard(ServerPool &Pool, const InstanceId &Id,
                     std::optional<double> PerSecond, TimePoint SentAt,
                     TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr)
    return RateChange::None;
  return PerSecond ? rateNamed(View->Rate, *PerSecond, Now)
                   : rateNotNamed(View->Rate, SentAt);
}

RateChange rateTold(ServerPool &Pool, const RateHeard &Told, TimePoint Now) {
  ServerView *View = findServer(Pool, Told.Server);
  if (View == nullptr)
    return RateChange::None;
  const Millis Age(static_cast<int64_t>(
      std::min<uint64_t>(Told.AgeMillis, LongestAge.count())));
  return Told.PerSecond ? rateNamed(View->Rate, *Told.PerSecond, Now - Age)
                        : rateNotNamed(View->Rate, Now - Age);
}

void rateRefused(ServerPool &Pool, const InstanceId &Id, Duration Wait,
                 TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    View->NoPlaceUntil = Now + std::max(Wait, Duration(ShortestNoPlace));
}

std::optional<RateHeard> rateToTell(const ServerView &View, TimePoint Now) {
  if (!View.Rate.PerSecond || !hasAgent(View) || View.Agent->PerSecond)
    return std::nullopt;
  const Millis Age = toMillis(Now - View.Rate.NamedAt);
  return RateHeard{{},
                   View.Listed.Id,
                   View.Rate.PerSecond,
                   static_cast<uint64_t>(std::max<int64_t>(0, Age.count()))};
}

bool isRateLimited(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View != nullptr && View->Rate.PerSecond.has_value();
}

} // namespace jacinthpond
