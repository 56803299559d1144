/** @file chunk_plan.cpp Which host fetches which chunks, and from where. */

#include "weights/chunk_plan_func.h"

#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace jacinthpond {

namespace {

/** Groups the workers of a model by failure domain. */
std::map<DomainName, std::vector<PlanHost>>
groupHostsByDomain(const Document &Doc, const ModelName &Model) {
  std::map<DomainName, std::vector<PlanHost>> Domains;
  for (const Worker &Host : Doc.Workers)
    if (Host.Model == Model)
      Domains[Host.Domain].push_back({Host.Name, Host.Agent, Host.Domain});
  return Domains;
}

/** Ranks the hosts of a domain by a hash, independent of their names' order. */
void rankHosts(std::vector<PlanHost> &Hosts, const ModelName &Model) {
  std::ranges::sort(Hosts, [&](const PlanHost &A, const PlanHost &B) {
    const uint64_t ScoreA = rendezvousScore(Model.Value, A.Name.Value);
    const uint64_t ScoreB = rendezvousScore(Model.Value, B.Name.Value);
    return std::tie(ScoreA, A.Name) < std::tie(ScoreB, B.Name);
  });
  for (size_t n = 0; n < Hosts.size(); ++n) {
    Hosts[n].Rank = n;
    Hosts[n].DomainSize = Hosts.size();
  }
}

/** Gives the distance from one rank to another around the ring of a domain. */
size_t ringDistance(size_t From, size_t To, size_t Size) {
  return (To % Size + Size - From % Size) % Size;
}

/** Says whether this host opens the link to another host of its domain. */
bool needsLinkWithinDomain(const PlanHost &Self, const PlanHost &Other) {
  const size_t Ahead = ringDistance(Self.Rank, Other.Rank, Self.DomainSize);
  const size_t Back = Self.DomainSize - Ahead;
  const auto IsPower = [](size_t n) { return (n & (n - 1)) == 0; };
  if (Ahead == 0 || !IsPower(Ahead))
    return false;
  // When both distances are powers of two, one link serves the pair.
  return !IsPower(Back) || Self.Rank < Other.Rank;
}

/** Says whether this host opens the link to a host of another domain. */
bool needsLinkAcrossDomains(const PlanHost &Self, const PlanHost &Other) {
  const size_t Ahead = ringDistance(Self.Rank, Other.Rank, Other.DomainSize);
  if (Ahead == 1)
    return true;
  if (Ahead != 0)
    return false;
  const bool Mutual = ringDistance(Other.Rank, Self.Rank, Self.DomainSize) == 0;
  return !Mutual || Self.Domain < Other.Domain;
}

} // namespace

ChunkPlan makeChunkPlan(const Document &Doc, const HostName &Self) {
  ChunkPlan Plan;
  const Worker *Host = findWorker(Doc, Self);
  if (Host == nullptr || Host->Model.Value.empty())
    return Plan;
  for (auto &[Domain, Hosts] : groupHostsByDomain(Doc, Host->Model)) {
    rankHosts(Hosts, Host->Model);
    Plan.Hosts.insert(Plan.Hosts.end(), Hosts.begin(), Hosts.end());
  }
  std::ranges::stable_sort(Plan.Hosts, {}, &PlanHost::Rank);
  const auto it = std::ranges::find(Plan.Hosts, Self, &PlanHost::Name);
  Plan.Self = static_cast<size_t>(it - Plan.Hosts.begin());
  return Plan;
}

bool isPlanned(const ChunkPlan &Plan) { return Plan.Self < Plan.Hosts.size(); }

size_t originRank(const ChunkPlan &Plan, size_t n) {
  return ringDistance(n, Plan.Self, Plan.Hosts.size());
}

size_t importRank(const ChunkPlan &Plan, size_t n) {
  const PlanHost &Fetcher = Plan.Hosts[n % Plan.Hosts.size()];
  const PlanHost &Self = Plan.Hosts[Plan.Self];
  // The first two ranks have links to the host that fetches the chunk from the
  // origin.
  return ringDistance(Fetcher.Rank, Self.Rank, Self.DomainSize);
}

std::vector<PeerAddress> chunkPeers(const ChunkPlan &Plan) {
  std::vector<PeerAddress> Peers;
  if (!isPlanned(Plan))
    return Peers;
  const PlanHost &Self = Plan.Hosts[Plan.Self];
  for (const PlanHost &Other : Plan.Hosts) {
    const bool Opens = Other.Domain == Self.Domain
                           ? needsLinkWithinDomain(Self, Other)
                           : needsLinkAcrossDomains(Self, Other);
    if (Opens)
      Peers.push_back({Other.Name, Other.AgentAddress});
  }
  return Peers;
}

} // namespace jacinthpond
