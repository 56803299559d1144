/** @file roster.cpp Entries that find each other without a published list. */

#include "membership/roster_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/**
 * Time without a link after which an entry is forgotten. Longer than a host
 * takes to start again, so that a fleet that was cut in two finds together.
 */
constexpr Millis ForgetAfter{60000};

EntrySeen noticeOf(const EntryHost &Host) {
  return {Host.Name, Host.Domain, Host.Peers, Host.Callers};
}

EntryHost selfAsEntry(const Hello &Self) {
  return {Self.Name, Self.Domain, Self.Callers, Self.At};
}

void tellAll(const Membership &Fleet, const EntryHost &Host, Effects &Out) {
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready && Peer.Peer.Name != Host.Name)
      Out.push_back(SendMessage{Link, noticeOf(Host)});
}

} // namespace

std::vector<PeerAddress> seedPeers(const Settings &Config) {
  std::vector<PeerAddress> Seeds;
  for (const std::string &At : Config.SeedPeers)
    if (At != Config.PeerListen) // All hosts may be given the same seeds.
      Seeds.push_back({HostName{"seed " + At}, Address{At}});
  return Seeds;
}

bool rosterHello(Membership &Fleet, LinkId Link, const Hello &Peer,
                 TimePoint Now, Effects &Out) {
  for (const auto &[Name, Known] : Fleet.Roster)
    if (Name != Peer.Name)
      Out.push_back(SendMessage{Link, noticeOf(Known.Host)});
  if (Peer.Sender != Role::Entry || Peer.At.Value.empty() ||
      Peer.Name == Fleet.Self.Name)
    return false;
  const EntryHost Host = selfAsEntry(Peer);
  KnownEntry &Known = Fleet.Roster[Peer.Name];
  Known.LastSeen = Now;
  if (Known.Host == Host)
    return false;
  Known.Host = Host;
  tellAll(Fleet, Host, Out);
  return true;
}

bool entrySeen(Membership &Fleet, const EntrySeen &Seen, TimePoint Now,
               Effects &Out) {
  // An entry's own hello is the better word on what is known already.
  if (Seen.Name == Fleet.Self.Name || Fleet.Roster.contains(Seen.Name))
    return false;
  const EntryHost Host{Seen.Name, Seen.Domain, Seen.Callers, Seen.At};
  Fleet.Roster[Seen.Name] = {Host, Now};
  tellAll(Fleet, Host, Out);
  return true;
}

bool rosterTick(Membership &Fleet, TimePoint Now) {
  for (const auto &[Link, Peer] : Fleet.Links) {
    const auto it = Fleet.Roster.find(Peer.Peer.Name);
    if (Peer.State == LinkState::Ready && it != Fleet.Roster.end())
      it->second.LastSeen = Now;
  }
  return std::erase_if(Fleet.Roster, [&](const auto &Row) {
           return Now - Row.second.LastSeen > ForgetAfter;
         }) > 0;
}

std::vector<EntryHost> knownEntries(const Document *Doc,
                                    const Membership &Fleet) {
  if (Doc != nullptr && !Doc->Entries.empty())
    return Doc->Entries;
  std::vector<EntryHost> All;
  std::ranges::transform(Fleet.Roster, std::back_inserter(All),
                         [](const auto &Row) { return Row.second.Host; });
  if (Fleet.Self.Sender == Role::Entry && !Fleet.Self.At.Value.empty())
    All.push_back(selfAsEntry(Fleet.Self));
  std::ranges::sort(All, {}, &EntryHost::Name);
  return All;
}

} // namespace jacinthpond
