/** @file departure.cpp Tracks hosts that are leaving the fleet. */

#include "membership/departure_func.h"

#include "configuration/config_view_func.h"
#include "membership/membership_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Time after which a departure that is not reported again is removed. */
constexpr Millis DepartureLifetime{10000};

/**
 * Sends a departure to every ready peer.
 * @param ReportedAt When the departure was last reported at its source.
 */
void sendLeavingNotice(const Membership &Fleet, const Departure &Who,
                       TimePoint ReportedAt, TimePoint Now, Effects &Out) {
  LeavingNotice Notice;
  Notice.Host = Who.Host;
  Notice.Run = Who.Run;
  Notice.AgeMillis = static_cast<uint64_t>(toMillis(Now - ReportedAt).count());
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready)
      Out.push_back(SendMessage{Link, Notice});
}

} // namespace

void handleHostList(Membership &Fleet,
                    const std::vector<HostName> &LeavingHosts, TimePoint Now,
                    Effects &Out) {
  for (const HostName &Host : LeavingHosts)
    recordDeparture(Fleet, {Host, Incarnation{}, 0}, Now, Out);
}

void recordDeparture(Membership &Fleet, const LeavingNotice &Notice,
                     TimePoint Now, Effects &Out) {
  if (Notice.AgeMillis >= static_cast<uint64_t>(DepartureLifetime.count()))
    return;
  const TimePoint ReportedAt =
      Now - Millis(static_cast<int64_t>(Notice.AgeMillis));
  const Departure Who{Notice.Host, Notice.Run};
  const auto [it, New] = Fleet.Departures.try_emplace(Who, ReportedAt);
  it->second = std::max(it->second, ReportedAt);
  if (New) // Sent at once: the peers have to know within seconds.
    sendLeavingNotice(Fleet, Who, ReportedAt, Now, Out);
}

bool isDeparting(const Membership &Fleet, const HostName &Name,
                 Incarnation Run) {
  // The platform's list names the host, whatever incarnation runs there. A
  // process reports only its own incarnation, so that its successor on the same
  // host gets work at once.
  return Fleet.Departures.contains({Name, Incarnation{}}) ||
         Fleet.Departures.contains({Name, Run});
}

void tickDepartures(Membership &Fleet, TimePoint Now, Effects &Out) {
  std::erase_if(Fleet.Departures, [&](const auto &Row) {
    return Now - Row.second >= DepartureLifetime;
  });
  if (Fleet.LastHeartbeat != Now)
    return;
  for (const auto &[Who, ReportedAt] : Fleet.Departures)
    sendLeavingNotice(Fleet, Who, ReportedAt, Now, Out);
}

void announceLeaving(Membership &Fleet, const ConfigView &View, TimePoint Now,
                     Effects &Out) {
  Fleet.Leaving = true;
  sendHeartbeats(Fleet, View, Now, Out);
  // An AttemptStart that a peer sent before it received the heartbeat would be
  // lost when the links are closed, and its caller would be told that the
  // outcome is unknown. Links deliver in order, so all that was sent earlier
  // arrives before the answer to this probe.
  for (auto &[Link, Peer] : Fleet.Links) {
    if (Peer.State != LinkState::Ready)
      continue;
    Peer.Answered = false;
    Peer.LeavingAckRequested = true;
    Out.push_back(SendMessage{Link, ConfigPull{versionInForce(View), true}});
  }
}

bool isLeavingAcknowledged(const Membership &Fleet) {
  // A link that was opened later carries no AttemptStart that could be lost:
  // its peer sends work only after a heartbeat, which says that this process is
  // leaving. Waiting for such links too would delay a shutdown for as long as
  // peers restart and reconnect.
  return std::ranges::all_of(Fleet.Links, [](const auto &Row) {
    return !Row.second.LeavingAckRequested || Row.second.Answered;
  });
}

} // namespace jacinthpond
