/** @file link_subset.cpp Chooses the peers that an entry keeps links to. */

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

/** First ranks among the own domain's readers that every entry links to. */
constexpr size_t LinkedReaders = 2 * ReadersPerDomain;

using WorkerList = std::vector<const Worker *>;

/**
 * Chooses the workers of one model to link to: all of a small set, else
 * WorkersPerModel by rendezvous hashing. Half of them are in the own domain, so
 * that enough others remain when the domain is lost as a whole.
 */
WorkerList chooseWorkers(WorkerList All, const Hello &Self) {
  if (All.size() <= FullMeshWorkers)
    return All;
  std::ranges::sort(All, std::greater<>{}, [&](const Worker *Host) {
    return rendezvousScore(Self.Name.Value, Host->Name.Value);
  });
  const auto OthersBegin =
      std::stable_partition(All.begin(), All.end(), [&](const Worker *Host) {
        return Host->Domain == Self.Domain;
      });
  const auto OwnCount = static_cast<size_t>(OthersBegin - All.begin());
  const size_t Share = WorkersPerModel / 2;
  if (OwnCount > Share)
    std::rotate(All.begin() + Share, OthersBegin, All.end());
  All.resize(WorkersPerModel);
  return All;
}

/**
 * Chooses the entries to link to: all of a small set, else the readers of the
 * own domain and, by rendezvous hashing, a number that grows with the logarithm
 * of the fleet.
 */
std::set<HostName> chooseEntries(const std::vector<EntryHost> &Entries,
                                 const Hello &Self) {
  std::vector<HostName> All;
  std::ranges::transform(Entries, std::back_inserter(All), &EntryHost::Name);
  if (All.size() <= FullMeshEntries)
    return {All.begin(), All.end()};
  std::vector<HostName> Chosen = readerOrder(Entries, Self.Domain);
  Chosen.resize(std::min(Chosen.size(), LinkedReaders));
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
    // An idempotency key belongs to one certain worker, so links to the workers
    // of plain services are all kept.
    if (Host.Model.Value.empty())
      Peers.push_back({Host.Name, Host.Agent});
    else
      Models[Host.Model].push_back(&Host);
  }
  for (const auto &[Model, All] : Models)
    for (const Worker *Host : chooseWorkers(All, Self))
      Peers.push_back({Host->Name, Host->Agent});
  const std::set<HostName> Chosen = chooseEntries(Entries, Self);
  for (const EntryHost &Host : Entries)
    if (Host.Name != Self.Name && Chosen.contains(Host.Name))
      Peers.push_back({Host.Name, Host.Peers});
  return Peers;
}

} // namespace jacinthpond
