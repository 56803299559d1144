/** @file departure.cpp Hosts that leave, as told by list, peer or host. */

#include "membership/departure_func.h"

#include "configuration/config_view_func.h"
#include "membership/membership_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Time after which a departure that nobody confirms is forgotten. */
constexpr Millis HoldTime{10000};

void tellPeers(const Membership &Fleet, const Departure &Who, TimePoint SaidAt,
               TimePoint Now, Effects &Out) {
  LeavingNotice Notice;
  Notice.Host = Who.Host;
  Notice.Run = Who.Run;
  Notice.AgeMillis = static_cast<uint64_t>(toMillis(Now - SaidAt).count());
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready)
      Out.push_back(SendMessage{Link, Notice});
}

} // namespace

void hostListRead(Membership &Fleet, const std::vector<HostName> &Named,
                  TimePoint Now, Effects &Out) {
  for (const HostName &Host : Named)
    departureHeard(Fleet, {Host, Incarnation{}, 0}, Now, Out);
}

void departureHeard(Membership &Fleet, const LeavingNotice &Notice,
                    TimePoint Now, Effects &Out) {
  if (Notice.AgeMillis >= static_cast<uint64_t>(HoldTime.count()))
    return;
  const TimePoint SaidAt = Now - Millis(static_cast<int64_t>(Notice.AgeMillis));
  const Departure Who{Notice.Host, Notice.Run};
  const auto [it, New] = Fleet.Departures.try_emplace(Who, SaidAt);
  it->second = std::max(it->second, SaidAt);
  if (New) // The others must know within seconds: no wait for a heartbeat.
    tellPeers(Fleet, Who, SaidAt, Now, Out);
}

bool isDeparting(const Membership &Fleet, const HostName &Name,
                 Incarnation Run) {
  // The list means the host; the process itself only its present run, so that
  // one which was started again gets work at once.
  return Fleet.Departures.contains({Name, Incarnation{}}) ||
         Fleet.Departures.contains({Name, Run});
}

void departureTick(Membership &Fleet, TimePoint Now, Effects &Out) {
  std::erase_if(Fleet.Departures,
                [&](const auto &Row) { return Now - Row.second >= HoldTime; });
  if (Fleet.LastHeartbeat != Now)
    return;
  for (const auto &[Who, SaidAt] : Fleet.Departures)
    tellPeers(Fleet, Who, SaidAt, Now, Out);
}

void announceLeaving(Membership &Fleet, const ConfigView &View, TimePoint Now,
                     Effects &Out) {
  Fleet.Leaving = true;
  sendHeartbeats(Fleet, View, Now, Out);
  // A start that a peer sent before it knew would be lost when the links are
  // closed, and its caller told that the outcome is unknown. Links keep the
  // order, so whatever was sent before stands in front of the answer.
  for (auto &[Link, Peer] : Fleet.Links) {
    if (Peer.State != LinkState::Ready)
      continue;
    Peer.Answered = false;
    Peer.AskedToKnow = true;
    Out.push_back(SendMessage{Link, ConfigPull{versionInForce(View), true}});
  }
}

bool leavingIsKnown(const Membership &Fleet) {
  // A link that came about later carries no start that could be lost: its
  // peer gives work only after a heartbeat, and that says that we leave.
  // Waiting for such links too held up a shutdown for as long as peers were
  // restarted and came back.
  return std::ranges::all_of(Fleet.Links, [](const auto &Row) {
    return !Row.second.AskedToKnow || Row.second.Answered;
  });
}

} // namespace jacinthpond
