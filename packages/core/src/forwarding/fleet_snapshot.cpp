/** @file fleet_snapshot.cpp What the traffic thread knows of the fleet. */

#include "forwarding/fleet_snapshot_func.h"

#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/roster_func.h"

#include <algorithm>
#include <set>

namespace jacinthpond {

namespace {

/** Time beyond the wait of a new process for its peers in which its view
 * becomes fresh: they start with it, and some of them answer on a second try.
 */
constexpr Millis JoinSlack{300};

/** Names the entries with a working link that take callers. */
std::set<HostName> linkedEntries(const Membership &Fleet) {
  std::set<HostName> Names;
  for (const auto &[Id, Link] : Fleet.Links) {
    const bool Takes = Link.State == LinkState::Ready &&
                       Link.Peer.Sender == Role::Entry && !Link.Leaving &&
                       Link.Version.Value > 0 &&
                       !isDeparting(Fleet, Link.Peer.Name, Link.Peer.Run);
    if (Takes)
      Names.insert(Link.Peer.Name);
  }
  return Names;
}

AgentNews newsOf(const PeerLink &Link) {
  AgentNews News;
  News.Server.Value = Link.Peer.Name.Value;
  News.State = Link.Load.State;
  News.Busy = Link.Load.Running + Link.Load.Waiting;
  News.Weights = Link.Load.Weights;
  News.PerSecond = Link.Load.PerSecond;
  News.Fresh = Link.Load.State != WorkerState::Leaving;
  News.Link = Link.Link;
  return News;
}

} // namespace

TimePoint joinedBy(TimePoint Since, Millis JoinWait) {
  return Since + JoinWait + JoinSlack;
}

FleetSnapshot fleetSnapshot(const EntryState &Entry, TimePoint Now) {
  FleetSnapshot Snapshot;
  const Membership &Fleet = Entry.Fleet;
  Snapshot.Ready = Entry.View.InForce != nullptr &&
                   (viewIsFresh(Fleet) ||
                    (Entry.Config.ServeCutOff && Fleet.Joining.WasFresh));
  Snapshot.ReadyBy = joinedBy(Fleet.Joining.Since, Fleet.Times.JoinWait);
  // One that stood still has heard of nobody yet. Taken for an outage of the
  // list, it would let servers that vanished meanwhile be used for a while.
  Snapshot.ListingAway = viewIsFresh(Fleet) && !anybodyAnswered(Fleet, Now);
  const std::set<HostName> Linked = linkedEntries(Fleet);
  const bool SelfTakes = Snapshot.Ready && !Entry.Stopping;
  const std::vector<EntryHost> Known =
      knownEntries(Entry.View.InForce.get(), Fleet);
  // One that stood still, or is cut off, has no links for a while: what all
  // entries share must not be taken for its own until then. An entry without a
  // link is remembered long enough for that.
  Snapshot.Sharers = static_cast<uint32_t>(std::max<size_t>(1, Known.size()));
  for (const EntryHost &Host : Known)
    Snapshot.SharerNames.push_back(Host.Name);
  for (const EntryHost &Host : Known)
    if (Linked.contains(Host.Name) ||
        (Host.Name == Fleet.Self.Name && SelfTakes))
      Snapshot.Alive.push_back(Host);
  return Snapshot;
}

std::vector<AgentNews> newsOfAgents(const EntryState &Entry, ToldNews &Told) {
  std::vector<AgentNews> News;
  std::map<HostName, TimePoint> Heard;
  for (const auto &[Id, Link] : Entry.Fleet.Links) {
    if (Link.State != LinkState::Ready || Link.Peer.Sender != Role::Agent ||
        Link.HeardHeartbeat == 0)
      continue;
    Heard[Link.Peer.Name] = Link.LoadAt;
    const auto it = Told.LoadAt.find(Link.Peer.Name);
    if (it == Told.LoadAt.end() || it->second != Link.LoadAt)
      News.push_back(newsOf(Link));
  }
  for (const auto &[Name, LoadAt] : Told.LoadAt)
    if (!Heard.contains(Name))
      News.push_back({Address{Name.Value},
                      WorkerState::Empty,
                      0,
                      {},
                      false,
                      {},
                      Entry.Fleet.Silent.contains(Name),
                      std::nullopt});
  Told.LoadAt = std::move(Heard);
  return News;
}

} // namespace jacinthpond
