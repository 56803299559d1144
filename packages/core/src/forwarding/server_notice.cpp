/** @file server_notice.cpp What back ends announce in their answers. */

#include "forwarding/server_notice_func.h"

#include "admission/server_backoff_func.h"
#include "base/random_func.h"
#include "forwarding/server_pool_func.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Time for which notices of an unlisted server are kept. Its row may come back
 * as long as the server runs, which is some seconds beyond its last one. */
constexpr std::chrono::minutes Retention{10};
/** Random extension of a pause: at most this fraction (1/N) of it and this
 * time, so that entries that were asked together do not return together. */
constexpr int JitterFraction = 8;
constexpr Millis MaxJitter{250};

/** Gives the notices of a back end, to be changed. */
ServerNotices &noticesOf(ServerPool &Pool, const InstanceId &Id,
                         TimePoint Now) {
  const auto [it, New] = Pool.Notices.try_emplace(Id);
  if (const ServerView *View = findServer(Pool, Id); New && View != nullptr)
    it->second.Born = View->Listed.Born;
  it->second.ForgetAt = Now + Retention;
  return it->second;
}

/** Says whether a server is on the list. */
bool isListed(const ServerPool &Pool, const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  return View != nullptr && !View->UnlistedSince;
}

/** Says whether a listed server is another run than the one whose notices these
 * are. */
bool isOtherRun(const ServerNotices &Notices, const ServerView &View) {
  return View.Listed.Born != 0 && View.Listed.Born != Notices.Born;
}

/** Gives the random extension of a pause. */
Millis drawJitter(Duration Pause, uint64_t &Random) {
  const Millis Longest = std::min(toMillis(Pause / JitterFraction), MaxJitter);
  return Millis(static_cast<int64_t>(
      nextRandom(Random) % (static_cast<uint64_t>(Longest.count()) + 1)));
}

} // namespace

bool recordPause(ServerPool &Pool, const InstanceId &Id, Duration Pause,
                 TimePoint Now) {
  if (Pause <= Duration{0})
    return false;
  const Duration Extended = Pause + drawJitter(Pause, Pool.Random);
  return beginPause(noticesOf(Pool, Id, Now).Backoff, Extended, Now);
}

std::optional<ServerLeavingNotice>
recordLeaving(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerNotices &Notices = noticesOf(Pool, Id, Now);
  if (std::exchange(Notices.Leaving, true))
    return std::nullopt;
  return ServerLeavingNotice{Id, Notices.Born};
}

std::vector<InstanceId> possibleAnswerers(const ServerPool &Pool,
                                          const InstanceId &Expected,
                                          TimePoint SentAt) {
  std::vector<InstanceId> Found = {Expected};
  const ServerView *Meant = findServer(Pool, Expected);
  if (Meant == nullptr)
    return Found;
  for (const auto &[Id, View] : Pool.Servers)
    if (Id != Expected && View.Listed.At == Meant->Listed.At &&
        View.ListedSince <= SentAt)
      Found.push_back(Id);
  return Found;
}

bool recordPeerLeaving(ServerPool &Pool, const ServerLeavingNotice &Notice,
                       TimePoint Now) {
  const ServerView *View = findServer(Pool, Notice.Server);
  const bool OtherRun = View != nullptr && Notice.Born != 0 &&
                        View->Listed.Born != 0 &&
                        Notice.Born != View->Listed.Born;
  if (View == nullptr || OtherRun)
    return false;
  return !std::exchange(noticesOf(Pool, Notice.Server, Now).LeavingElsewhere,
                        true);
}

bool isLeaving(const ServerPool &Pool, const InstanceId &Id) {
  const auto it = Pool.Notices.find(Id);
  return it != Pool.Notices.end() && it->second.Leaving;
}

bool isReportedLeaving(const ServerPool &Pool, const InstanceId &Id) {
  const auto it = Pool.Notices.find(Id);
  return it != Pool.Notices.end() &&
         (it->second.Leaving || it->second.LeavingElsewhere);
}

bool recordUnreadableNotice(ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now) {
  return !std::exchange(noticesOf(Pool, Id, Now).HasUnreadable, true);
}

TimePoint pauseEnd(const ServerPool &Pool, const InstanceId &Id) {
  const auto it = Pool.Notices.find(Id);
  return it == Pool.Notices.end() ? TimePoint{} : it->second.Backoff.Until;
}

bool wantsRequests(const ServerPool &Pool, const InstanceId &Id,
                   TimePoint Now) {
  return !isLeaving(Pool, Id) && Now >= pauseEnd(Pool, Id);
}

bool maySendAfterPause(ServerPool &Pool, const ServerView &View,
                       TimePoint Now) {
  const auto it = Pool.Notices.find(View.Listed.Id);
  return it == Pool.Notices.end() ||
         maySendAfterPause(it->second.Backoff, View.Open, Now);
}

void recordAcceptedRequest(ServerPool &Pool, const InstanceId &Id,
                           TimePoint Now) {
  const auto it = Pool.Notices.find(Id);
  const ServerView *View = findServer(Pool, Id);
  if (it != Pool.Notices.end() && View != nullptr)
    recordAcceptedRequest(it->second.Backoff, View->Listed.Slots, Now);
}

void dropOldNotices(ServerPool &Pool, TimePoint Now) {
  for (auto &[Id, Notices] : Pool.Notices) {
    if (!isListed(Pool, Id))
      continue;
    Notices.ForgetAt = Now + Retention;
    if (Notices.Born == 0) // The announcing run is taken for the listed one.
      Notices.Born = Pool.Servers.at(Id).Listed.Born;
  }
  std::erase_if(Pool.Notices, [&](const auto &Row) {
    const auto &[Id, Notices] = Row;
    if (isListed(Pool, Id))
      return isOtherRun(Notices, Pool.Servers.at(Id));
    return Now >= Notices.ForgetAt && !isPaused(Notices.Backoff, Now);
  });
}

} // namespace jacinthpond
