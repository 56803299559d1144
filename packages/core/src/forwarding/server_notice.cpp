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
/** Time for which a server is kept off that may be an instance which said,
 * before it was on the list, that it is leaving; such an instance ends within
 * it. */
constexpr std::chrono::seconds UnlistedLeaverTime{15};
/** Random extension of a pause: at most this fraction (1/N) of it and this
 * time, so that entries that were asked together do not return together. */
constexpr int JitterFraction = 8;
constexpr Millis MaxJitter{250};

/** Gives the notices of a back end, to be changed. */
ServerNotices &noticesOf(ServerPool &Pool, const InstanceId &Id,
                         TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  ServerNotices &Found =
      View == nullptr ? Pool.FormerNotices[Id] : View->Notices;
  Found.ForgetAt = Now + Retention;
  return Found;
}

/** Says whether a notice is of another run than the listed one. A run whose
 * start is not known is taken for the listed one. */
bool isOfOtherRun(uint64_t Born, const BackEndServer &Listed) {
  return Listed.Born != 0 && Born != 0 && Listed.Born != Born;
}

/** Binds notices to the listed run; those of another run are dropped. */
void bindToRun(ServerNotices &Notices, const BackEndServer &Listed) {
  if (isOfOtherRun(Notices.Born, Listed))
    Notices = {};
  if (Listed.Born != 0)
    Notices.Born = Listed.Born;
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

std::vector<ServerLeavingNotice>
recordMisdirectedLeaving(ServerPool &Pool, const InstanceId &Expected,
                         TimePoint SentAt, TimePoint Now) {
  std::vector<InstanceId> Answerers = {Expected};
  if (const ServerView *Meant = findServer(Pool, Expected)) {
    const Address At = Meant->Listed.At;
    Pool.LeavingAt[At] = Now;
    for (const auto &[Id, View] : Pool.Servers)
      if (Id != Expected && View.Listed.At == At && View.ListedSince <= SentAt)
        Answerers.push_back(Id);
  }
  std::vector<ServerLeavingNotice> News;
  for (const InstanceId &Id : Answerers)
    if (const auto One = recordLeaving(Pool, Id, Now))
      News.push_back(*One);
  return News;
}

bool recordPeerLeaving(ServerPool &Pool, const ServerLeavingNotice &Notice,
                       TimePoint Now) {
  const ServerView *View = findServer(Pool, Notice.Server);
  if (View == nullptr || isOfOtherRun(Notice.Born, View->Listed))
    return false;
  return !std::exchange(noticesOf(Pool, Notice.Server, Now).LeavingElsewhere,
                        true);
}

bool recordUnreadableNotice(ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now) {
  return !std::exchange(noticesOf(Pool, Id, Now).HasUnreadable, true);
}

bool wantsRequests(const ServerNotices &Notices, TimePoint Now) {
  return !Notices.Leaving && !isPaused(Notices.Backoff, Now);
}

bool isShuttingDown(const ServerView &View) {
  return View.Listed.Draining || View.Notices.Leaving ||
         View.Notices.LeavingElsewhere;
}

void recordAcceptedRequest(ServerPool &Pool, const InstanceId &Id,
                           TimePoint Now) {
  if (ServerView *View = findServer(Pool, Id))
    recordAcceptedRequest(View->Notices.Backoff, View->Listed.Slots, Now);
}

void restoreNotices(ServerPool &Pool, ServerView &View, TimePoint Now) {
  if (auto Node = Pool.FormerNotices.extract(View.Listed.Id))
    View.Notices = Node.mapped();
  // An instance at this address may have said, before it was on the list, that
  // it is leaving.
  const auto it = Pool.LeavingAt.find(View.Listed.At);
  if (it != Pool.LeavingAt.end())
    beginPause(View.Notices.Backoff, it->second + UnlistedLeaverTime - Now,
               Now);
}

void keepNotices(ServerPool &Pool, const ServerView &View) {
  const ServerNotices &Own = View.Notices;
  if (Own.Leaving || Own.LeavingElsewhere || Own.Backoff.SlowStart)
    Pool.FormerNotices[View.Listed.Id] = Own;
}

void dropOldNotices(ServerPool &Pool, TimePoint Now) {
  std::erase_if(Pool.LeavingAt, [&](const auto &Row) {
    return Now >= Row.second + UnlistedLeaverTime;
  });
  for (auto &[Id, View] : Pool.Servers)
    if (!View.UnlistedSince) {
      View.Notices.ForgetAt = Now + Retention;
      bindToRun(View.Notices, View.Listed);
    }
  std::erase_if(Pool.FormerNotices, [&](const auto &Row) {
    return Now >= Row.second.ForgetAt && !isPaused(Row.second.Backoff, Now);
  });
}

} // namespace jacinthpond
