/** @file roster.cpp Lets entries find each other without a published list. */

#include "membership/roster_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/**
 * Time without a link after which an entry is removed. Longer than a restart of
 * a host takes, so that the parts of a partitioned fleet find each other again.
 */
constexpr Millis EntryLifetime{60000};

/** Makes the message that tells a peer of an entry. */
EntryNotice makeEntryNotice(const EntryHost &Host) {
  return {Host.Name, Host.Domain, Host.Peers, Host.Callers};
}

/** Gives the entry that a hello describes. */
EntryHost entryHostOf(const Hello &Self) {
  return {Self.Name, Self.Domain, Self.CallerAddress, Self.LinkAddress};
}

/** Tells all ready peers, but the entry itself, of an entry. */
void announceEntry(const Membership &Fleet, const EntryHost &Host,
                   Effects &Out) {
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready && Peer.Peer.Name != Host.Name)
      Out.push_back(SendMessage{Link, makeEntryNotice(Host)});
}

} // namespace

std::vector<PeerAddress> seedPeers(const Settings &Config) {
  std::vector<PeerAddress> Seeds;
  for (const std::string &At : Config.SeedPeers)
    if (At != Config.PeerListen) // All hosts may have the same seeds.
      Seeds.push_back({HostName{"seed " + At}, Address{At}});
  return Seeds;
}

bool exchangeEntries(Membership &Fleet, LinkId Link, const Hello &Peer,
                     TimePoint Now, Effects &Out) {
  for (const auto &[Name, Known] : Fleet.Roster)
    if (Name != Peer.Name)
      Out.push_back(SendMessage{Link, makeEntryNotice(Known.Host)});
  if (Peer.Sender != Role::Entry || Peer.LinkAddress.Value.empty() ||
      Peer.Name == Fleet.Self.Name)
    return false;
  const EntryHost Host = entryHostOf(Peer);
  KnownEntry &Known = Fleet.Roster[Peer.Name];
  Known.LastSeen = Now;
  if (Known.Host == Host)
    return false;
  Known.Host = Host;
  announceEntry(Fleet, Host, Out);
  return true;
}

bool handleEntryNotice(Membership &Fleet, const EntryNotice &Seen,
                       TimePoint Now, Effects &Out) {
  // For a known entry its own hello has precedence over what peers report.
  if (Seen.Name == Fleet.Self.Name || Fleet.Roster.contains(Seen.Name))
    return false;
  const EntryHost Host{Seen.Name, Seen.Domain, Seen.CallerAddress,
                       Seen.LinkAddress};
  Fleet.Roster[Seen.Name] = {Host, Now};
  announceEntry(Fleet, Host, Out);
  return true;
}

bool removeStaleEntries(Membership &Fleet, TimePoint Now) {
  for (const auto &[Link, Peer] : Fleet.Links) {
    const auto it = Fleet.Roster.find(Peer.Peer.Name);
    if (Peer.State == LinkState::Ready && it != Fleet.Roster.end())
      it->second.LastSeen = Now;
  }
  return std::erase_if(Fleet.Roster, [&](const auto &Row) {
           return Now - Row.second.LastSeen > EntryLifetime;
         }) > 0;
}

std::vector<EntryHost> knownEntries(const Document *Doc,
                                    const Membership &Fleet) {
  if (Doc != nullptr && !Doc->Entries.empty())
    return Doc->Entries;
  std::vector<EntryHost> All;
  std::ranges::transform(Fleet.Roster, std::back_inserter(All),
                         [](const auto &Row) { return Row.second.Host; });
  if (Fleet.Self.Sender == Role::Entry && !Fleet.Self.LinkAddress.Value.empty())
    All.push_back(entryHostOf(Fleet.Self));
  std::ranges::sort(All, {}, &EntryHost::Name);
  return All;
}

} // namespace jacinthpond
