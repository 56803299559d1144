/** @file entry_addresses.cpp Entry addresses given to callers. */

#include "routing/entry_addresses_func.h"

#include "base/hash_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "membership/roster_func.h"

#include <algorithm>
#include <functional>

namespace jacinthpond {

namespace {

/** Limit of addresses in one answer. */
constexpr size_t MaxAddresses = 4;
/** How many of them come first from the domain of this entry. */
constexpr size_t NearAddresses = 2;

/**
 * True when callers may be sent to an entry: its domain is not out, and it is
 * not known to be leaving, unreachable or without a fresh configuration.
 */
bool canTakeCallers(const EntryState &Entry, const EntryHost &Host) {
  if (Entry.View.InForce->DomainsOut.contains(Host.Domain))
    return false;
  if (Host.Name == Entry.Fleet.Self.Name)
    return !Entry.Stopping && isViewFresh(Entry.Fleet) &&
           !isDeparting(Entry.Fleet, Host.Name, Entry.Fleet.Self.Run);
  if (const PeerLink *Link = readyLink(Entry.Fleet, Host.Name))
    return Link->Fresh && !Link->Leaving &&
           !isDeparting(Entry.Fleet, Host.Name, Link->Peer.Run);
  // An entry that this one keeps no link to is assumed to be well. One whose
  // link is wanted but not ready is down or unreachable.
  return !Entry.Fleet.Wanted.contains(Host.Name);
}

} // namespace

std::vector<Address> entryAddressesFor(const EntryState &Entry,
                                       std::string_view Caller) {
  if (!Entry.View.InForce)
    return {};
  std::vector<const EntryHost *> Hosts;
  const std::vector<EntryHost> All =
      knownEntries(Entry.View.InForce.get(), Entry.Fleet);
  for (const EntryHost &Host : All)
    if (canTakeCallers(Entry, Host))
      Hosts.push_back(&Host);
  std::ranges::sort(Hosts, std::greater<>{}, [&](const EntryHost *Host) {
    return rendezvousScore(Caller, Host->Name.Value);
  });
  const auto IsNear = [&](const EntryHost *Host) {
    return Host->Domain == Entry.Fleet.Self.Domain;
  };
  const auto Far = std::stable_partition(Hosts.begin(), Hosts.end(), IsNear);
  // Further entries of this domain go last and are used when others are too
  // few.
  const auto Near = static_cast<size_t>(Far - Hosts.begin());
  if (Near > NearAddresses)
    std::rotate(Hosts.begin() + NearAddresses, Far, Hosts.end());
  Hosts.resize(std::min(Hosts.size(), MaxAddresses));
  std::vector<Address> Chosen;
  Chosen.reserve(Hosts.size());
  for (const EntryHost *Host : Hosts)
    Chosen.push_back(Host->Callers);
  return Chosen;
}

} // namespace jacinthpond
