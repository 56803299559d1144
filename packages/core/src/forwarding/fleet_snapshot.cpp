/** @file fleet_snapshot.cpp State of the fleet for the traffic thread. */

#include "forwarding/fleet_snapshot_func.h"

#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/roster_func.h"

#include <algorithm>
#include <set>

namespace jacinthpond {

namespace {

/** Time beyond the wait for peers in which the view of a new process becomes
 * fresh: peers may start at the same time and answer only a second attempt. */
constexpr Millis JoinMargin{300};

/** Gives the names of entries with a working link that accept callers. */
std::set<HostName> linkedEntries(const Membership &Fleet) {
  std::set<HostName> Names;
  for (const auto &[Id, Link] : Fleet.Links) {
    const bool Accepts = Link.State == LinkState::Ready &&
                         Link.Peer.Sender == Role::Entry && !Link.Leaving &&
                         Link.Version.Value > 0 &&
                         !isDeparting(Fleet, Link.Peer.Name, Link.Peer.Run);
    if (Accepts)
      Names.insert(Link.Peer.Name);
  }
  return Names;
}

/** Makes a report from the load that an agent last sent on its link. */
AgentReport makeReport(const PeerLink &Link) {
  AgentReport Report;
  Report.Server.Value = Link.Peer.Name.Value;
  Report.State = Link.Load.State;
  Report.Busy = Link.Load.Running + Link.Load.Waiting;
  Report.Weights = Link.Load.Weights;
  Report.PerSecond = Link.Load.PerSecond;
  Report.Fresh = Link.Load.State != WorkerState::Leaving;
  Report.Link = Link.Link;
  return Report;
}

} // namespace

TimePoint expectedReadyTime(TimePoint Since, Millis JoinWait) {
  return Since + JoinWait + JoinMargin;
}

FleetSnapshot fleetSnapshot(const EntryState &Entry, TimePoint Now) {
  FleetSnapshot Snapshot;
  const Membership &Fleet = Entry.Fleet;
  Snapshot.Ready = Entry.View.InForce != nullptr &&
                   (isViewFresh(Fleet) ||
                    (Entry.Config.ServeCutOff && Fleet.Joining.WasFresh));
  Snapshot.ReadyBy =
      expectedReadyTime(Fleet.Joining.Since, Fleet.Times.JoinWait);
  // An entry that was paused has heard from no peer yet. If that counted as an
  // outage of the list, servers that left the list during the pause would still
  // be used for some time.
  Snapshot.ListingUnavailable =
      isViewFresh(Fleet) && !isServiceAnswering(Fleet, Now);
  const std::set<HostName> Linked = linkedEntries(Fleet);
  const bool SelfAccepts = Snapshot.Ready && !Entry.Stopping;
  const std::vector<EntryHost> Known =
      knownEntries(Entry.View.InForce.get(), Fleet);
  // An entry that was paused or is cut off has no links for some time, and must
  // not use the whole of what all entries share. So entries without a link
  // count as well, as long as the roster remembers them.
  Snapshot.Sharers = static_cast<uint32_t>(std::max<size_t>(1, Known.size()));
  for (const EntryHost &Host : Known)
    Snapshot.SharerNames.push_back(Host.Name);
  for (const EntryHost &Host : Known)
    if (Linked.contains(Host.Name) ||
        (Host.Name == Fleet.Self.Name && SelfAccepts))
      Snapshot.Alive.push_back(Host);
  return Snapshot;
}

std::vector<AgentReport> collectAgentReports(const EntryState &Entry,
                                             PassedAgentReports &Passed) {
  std::vector<AgentReport> Reports;
  std::map<HostName, TimePoint> Heard;
  for (const auto &[Id, Link] : Entry.Fleet.Links) {
    if (Link.State != LinkState::Ready || Link.Peer.Sender != Role::Agent ||
        Link.ReceivedHeartbeat == 0)
      continue;
    Heard[Link.Peer.Name] = Link.LoadAt;
    const auto it = Passed.LoadAt.find(Link.Peer.Name);
    if (it == Passed.LoadAt.end() || it->second != Link.LoadAt)
      Reports.push_back(makeReport(Link));
  }
  for (const auto &[Name, LoadAt] : Passed.LoadAt)
    if (!Heard.contains(Name))
      Reports.push_back({Address{Name.Value},
                         WorkerState::Empty,
                         0,
                         {},
                         false,
                         {},
                         Entry.Fleet.Silent.contains(Name),
                         std::nullopt});
  Passed.LoadAt = std::move(Heard);
  return Reports;
}

} // namespace jacinthpond
