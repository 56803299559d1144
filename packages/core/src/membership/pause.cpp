/** @file pause.cpp Detects that this process did not run for a while. */

#include "membership/pause_func.h"

#include "base/hash_func.h"
#include "membership/join_func.h"

#include <string>

namespace jacinthpond {

namespace {

/** Gives an incarnation that differs from that of any other start or resume. */
Incarnation nextIncarnation(const Membership &Fleet, TimePoint Now) {
  const std::string Old = std::to_string(Fleet.Self.Run.Value);
  const std::string At = std::to_string(Now.time_since_epoch().count());
  return Incarnation{(rendezvousScore(Old, At) >> 1U) | 1U};
}

} // namespace

std::vector<LinkId> dropLinksAfterPause(Membership &Fleet, TimePoint Now,
                                        Effects &Out) {
  // A process that resumes has an outdated view, and its sockets are full of
  // old messages: it would send work to a domain that was taken out meanwhile,
  // and run requests that were given up. What its peers sent before the pause
  // is out of date, so the links are closed without reading it.
  if (Now - Fleet.LastTick <= Fleet.Times.PauseGap)
    return {};
  Out.push_back(
      LogNote{LogPart::Links, LogLevel::Warn,
              "event=paused ms=" +
                  std::to_string(toMillis(Now - Fleet.LastTick).count()) +
                  " links_dropped=" + std::to_string(Fleet.Links.size())});
  std::vector<LinkId> Dropped;
  for (const auto &[Link, Peer] : Fleet.Links) {
    Dropped.push_back(Link);
    Out.push_back(CloseLink{Link});
  }
  Fleet.Links.clear();
  for (auto &[Name, Peer] : Fleet.Wanted) {
    Peer.Link.reset();
    Peer.NextTry = Now;
    Peer.Failures = 0;
  }
  Fleet.Self.Run = nextIncarnation(Fleet, Now);
  Fleet.Joining.LastServiceAnswerAt.reset();
  Fleet.LastTick = Now;
  restartJoin(Fleet, Now);
  return Dropped;
}

} // namespace jacinthpond
