/** @file caller_age.cpp Estimating how long a caller has been retrying. */

#include "forwarding/caller_age_func.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace jacinthpond {

namespace {

/**
 * Number of requests over which the longest deadline decays when no caller
 * starts with it any more. Slow enough that it moves by less than a tenth when
 * a third of the callers are retrying.
 */
constexpr int DeadlineDecay = 256;
/**
 * Share of the longest deadline below which a caller must be retrying: the
 * deadlines with which callers of a route start differ by a sixth.
 */
constexpr double ShortestDeadlineShare = 0.8;
/** Longest wait of a late request: usually a back end completes a request in
 * it. */
constexpr Millis MaxLateWait{1500};
/** Divisor of the remaining time for the wait of a late request. */
constexpr int LateWaitDivisor = 3;

} // namespace

Duration callerAge(InitialDeadlines &Deadlines, const Route &Matched,
                   Duration Left) {
  const Duration Told = Matched.Timeout.count() > 0
                            ? std::min<Duration>(Left, Matched.Timeout)
                            : Left;
  Duration &Longest =
      Deadlines.LongestDeadline.try_emplace(Matched.Name, Told).first->second;
  Longest = std::max(Told, Longest - Longest / DeadlineDecay);
  const auto Shortest =
      std::chrono::duration_cast<Duration>(Longest * ShortestDeadlineShare);
  return std::max(Shortest - Told, Duration{0});
}

Duration recognizableRetryDelay(const InitialDeadlines &Deadlines,
                                const Route &Matched) {
  const auto it = Deadlines.LongestDeadline.find(Matched.Name);
  if (it == Deadlines.LongestDeadline.end())
    return Duration{0};
  return std::chrono::duration_cast<Duration>(it->second *
                                              (1 - ShortestDeadlineShare));
}

void forgetRemovedRoutes(InitialDeadlines &Deadlines, const Document &Doc) {
  std::set<std::string_view> Names;
  for (const Route &One : Doc.Routes)
    Names.insert(One.Name);
  std::erase_if(Deadlines.LongestDeadline,
                [&](const auto &Row) { return !Names.contains(Row.first); });
}

Millis lateRequestWait(Duration Left) {
  return std::clamp(toMillis(Left / LateWaitDivisor), Millis{0}, MaxLateWait);
}

} // namespace jacinthpond
