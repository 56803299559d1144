/** @file notice_checks.cpp Whether entries keep to what back ends ask of them
 * in their answers. Part of RouteChecks.
 */

#include "chaos/route_checks.h"

#include <algorithm>

namespace jacinthpond::chaos {

using namespace std::chrono_literals;

namespace {

/** Time after an answer from which what it asks for holds. */
constexpr auto NoticeTime = 500ms;
/** Requests that may arrive in the rest of a pause. */
constexpr std::ptrdiff_t MostInPause = 2;

} // namespace

void RouteChecks::judgeNotices() {
  for (const auto &[Of, All] : Arrivals) {
    const auto &[Worker, Id, Entry] = Of;
    judgePauses(Worker, Entry, All);
    judgeLeaving(Worker, Entry, All);
  }
}

/** A disturbance of the entry, or of the way to the worker, excuses both. */
void RouteChecks::judgePauses(const std::string &Worker, size_t Entry,
                              const std::vector<WorkerArrival> &All) {
  for (const WorkerArrival &Asked : All) {
    if (Asked.Pause <= NoticeTime)
      continue;
    const auto First = std::ranges::upper_bound(All, Asked.At + NoticeTime, {},
                                                &WorkerArrival::At);
    const auto Last = std::ranges::lower_bound(
        First, All.end(), Asked.At + Asked.Pause, {}, &WorkerArrival::At);
    const Moment Until = Last == First ? Asked.At : std::prev(Last)->At;
    const auto Calm = calmEntry(Entry, Until);
    if (!Calm || *Calm > Asked.At || !workerCalm(Worker, Asked.At, Until))
      continue;
    ++Judged["pauses"];
    if (Last - First > MostInPause)
      broken(std::to_string(Last - First) + " requests reached " + Worker +
             " from entry-" + std::to_string(Entry) + " in its pause of " +
             std::to_string(Asked.Pause.count()) + " ms since " +
             timeOf(Asked.At) + "; first " + First->Attempt + " at " +
             timeOf(First->At));
  }
}

void RouteChecks::judgeLeaving(const std::string &Worker, size_t Entry,
                               const std::vector<WorkerArrival> &All) {
  const auto Told = std::ranges::find_if(All, [&](const WorkerArrival &One) {
    const auto Got = exchangeOf(One.Attempt);
    return One.Leaving && Got && Got->Over && Got->Status != 0;
  });
  if (Told == All.end())
    return;
  ++Judged["leaving workers"];
  const auto Late =
      std::ranges::find_if(Told, All.end(), [&](const WorkerArrival &One) {
        const auto Calm = calmEntry(Entry, One.At);
        return One.Sent > Told->At + NoticeTime && Calm && *Calm <= Told->At &&
               workerCalm(Worker, Told->At, One.At);
      });
  if (Late != All.end())
    broken("a request reached " + Worker + " from entry-" +
           std::to_string(Entry) + " that had said at " + timeOf(Told->At) +
           " that it leaves: " + Late->Attempt + " at " + timeOf(Late->At));
}

} // namespace jacinthpond::chaos
