/** @file directory.cpp Which entries callers on routes are told to use. */

#include "routing/directory_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** Addresses of a domain or region with which a caller has a choice. */
constexpr size_t EnoughAddresses = 2;
/** Addresses given at most. */
constexpr size_t MaxAddresses = 64;

template <typename Predicate>
std::vector<Address> addressesIf(const std::vector<EntryHost> &Alive,
                                 Predicate &&Wanted) {
  std::vector<Address> Found;
  for (const EntryHost &Host : Alive)
    if (Found.size() < MaxAddresses && Wanted(Host))
      Found.push_back(Host.Callers);
  return Found;
}

} // namespace

std::vector<Address> directoryAnswer(const std::vector<EntryHost> &Alive,
                                     const Document *Doc,
                                     const DomainName &Domain,
                                     const RegionName &Region) {
  std::vector<Address> Near = addressesIf(
      Alive, [&](const EntryHost &Host) { return Host.Domain == Domain; });
  if (Near.size() >= EnoughAddresses)
    return Near;
  const auto InRegion = [&](const EntryHost &Host) {
    if (Doc == nullptr)
      return false;
    const auto it = Doc->RegionOf.find(Host.Domain);
    return it != Doc->RegionOf.end() && it->second == Region;
  };
  std::vector<Address> Around = addressesIf(Alive, InRegion);
  if (Around.size() >= EnoughAddresses)
    return Around;
  // A single near entry is still named alone: it is alive, and the region's
  // callers may be bound to it.
  if (!Around.empty())
    return Around;
  return addressesIf(Alive, [](const EntryHost &) { return true; });
}

} // namespace jacinthpond
