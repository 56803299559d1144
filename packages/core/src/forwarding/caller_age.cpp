/** @file caller_age.cpp How long callers have been trying. */

#include "forwarding/caller_age_func.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace jacinthpond {

namespace {

/**
 * Requests after which a deadline that nobody begins with any more is mostly
 * forgotten: a third of callers that come back do not move it by a tenth.
 */
constexpr int ForgetAfter = 256;
/**
 * Part of the longest deadline that all callers of a route begin with: they
 * differ by a sixth. Whoever has less left was here before.
 */
constexpr double FirstDeadlinePart = 0.8;
/** Longest wait of one that is late: a back end ends its usual work in it. */
constexpr Millis MostLateWait{1500};
/** Part of the time left that it may wait. */
constexpr int LateWaitPart = 3;

} // namespace

Duration callerAge(CallerHabits &Habits, const Route &From, Duration Left) {
  const Duration Told =
      From.Timeout.count() > 0 ? std::min<Duration>(Left, From.Timeout) : Left;
  Duration &First =
      Habits.FirstDeadline.try_emplace(From.Name, Told).first->second;
  First = std::max(Told, First - First / ForgetAfter);
  const auto Shortest =
      std::chrono::duration_cast<Duration>(First * FirstDeadlinePart);
  return std::max(Shortest - Told, Duration{0});
}

Duration awayToBeKnown(const CallerHabits &Habits, const Route &From) {
  const auto it = Habits.FirstDeadline.find(From.Name);
  if (it == Habits.FirstDeadline.end())
    return Duration{0};
  return std::chrono::duration_cast<Duration>(it->second *
                                              (1 - FirstDeadlinePart));
}

void forgetOtherRoutes(CallerHabits &Habits, const Document &Doc) {
  std::set<std::string_view> Names;
  for (const Route &One : Doc.Routes)
    Names.insert(One.Name);
  std::erase_if(Habits.FirstDeadline,
                [&](const auto &Row) { return !Names.contains(Row.first); });
}

Millis lateWait(Duration Left) {
  return std::clamp(toMillis(Left / LateWaitPart), Millis{0}, MostLateWait);
}

} // namespace jacinthpond
