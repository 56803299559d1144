/** @file directory.cpp Entries that the directory names to a caller. */

#include "routing/directory_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/**
 * Entries that give a caller a choice; a domain with fewer is widened to its
 * region.
 */
constexpr size_t MinAddresses = 2;
/** Limit of addresses in one answer. */
constexpr size_t MaxAddresses = 64;

/** Addresses of the entries that meet a condition, MaxAddresses at most. */
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

std::vector<Address> directoryAddresses(const std::vector<EntryHost> &Alive,
                                        const Document *Doc,
                                        const DomainName &Domain,
                                        const RegionName &Region) {
  std::vector<Address> Near = addressesIf(
      Alive, [&](const EntryHost &Host) { return Host.Domain == Domain; });
  if (Near.size() >= MinAddresses)
    return Near;
  const auto InRegion = [&](const EntryHost &Host) {
    if (Doc == nullptr)
      return false;
    const auto it = Doc->RegionOf.find(Host.Domain);
    return it != Doc->RegionOf.end() && it->second == Region;
  };
  std::vector<Address> Regional = addressesIf(Alive, InRegion);
  if (Regional.size() >= MinAddresses)
    return Regional;
  // A single entry in the region is still returned alone: it is alive, and
  // callers may be required to stay in their region.
  if (!Regional.empty())
    return Regional;
  return addressesIf(Alive, [](const EntryHost &) { return true; });
}

} // namespace jacinthpond
