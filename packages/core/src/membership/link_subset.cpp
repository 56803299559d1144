/** @file link_subset.cpp Which peers an entry keeps links to. */

#include "membership/link_subset_func.h"

#include "base/hash_func.h"
#include "configuration/reader_rank_func.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <map>
#include <set>

namespace jacinthpond {

namespace {

/** Ranks of the own domain's readers that every entry hears. */
constexpr size_t ReaderLinks = 2 * ReadersPerDomain;

using WorkerList = std::vector<const Worker *>;

/** Half of the links go to the own domain, so that it may go out as a whole. */
WorkerList someOf(WorkerList All, const Hello &Self) {
  if (All.size() <= FullMeshWorkers)
    return All;
  std::ranges::sort(All, std::greater<>{}, [&](const Worker *Host) {
    return rendezvousScore(Self.Name.Value, Host->Name.Value);
  });
  const auto Far =
      std::stable_partition(All.begin(), All.end(), [&](const Worker *Host) {
        return Host->Domain == Self.Domain;
      });
  const auto Near = static_cast<size_t>(Far - All.begin());
  const size_t Share = WorkersPerModel / 2;
  if (Near > Share)
    std::rotate(All.begin() + Share, Far, All.end());
  All.resize(WorkersPerModel);
  return All;
}

std::set<HostName> entriesFor(const std::vector<EntryHost> &Entries,
                              const Hello &Self) {
  std::vector<HostName> All;
  std::ranges::transform(Entries, std::back_inserter(All), &EntryHost::Name);
  if (All.size() <= FullMeshEntries)
    return {All.begin(), All.end()};
  std::vector<HostName> Chosen = readerOrder(Entries, Self.Domain);
  Chosen.resize(std::min(Chosen.size(), ReaderLinks));
  All = rendezvousOrder("links/" + Self.Name.Value, std::move(All));
  All.resize(static_cast<size_t>(std::bit_width(All.size())));
  Chosen.insert(Chosen.end(), All.begin(), All.end());
  return {Chosen.begin(), Chosen.end()};
}

} // namespace

std::vector<PeerAddress> linkSubset(const Document &Doc,
                                    const std::vector<EntryHost> &Entries,
                                    const Hello &Self) {
  std::vector<PeerAddress> Peers;
  std::map<ModelName, WorkerList> Models;
  for (const Worker &Host : Doc.Workers) {
    // A key's home is one certain worker: plain services keep all links.
    if (Host.Model.Value.empty())
      Peers.push_back({Host.Name, Host.Agent});
    else
      Models[Host.Model].push_back(&Host);
  }
  for (const auto &[Model, All] : Models)
    for (const Worker *Host : someOf(All, Self))
      Peers.push_back({Host->Name, Host->Agent});
  const std::set<HostName> Chosen = entriesFor(Entries, Self);
  for (const EntryHost &Host : Entries)
    if (Host.Name != Self.Name && Chosen.contains(Host.Name))
      Peers.push_back({Host.Name, Host.Peers});
  return Peers;
}

} // namespace jacinthpond
