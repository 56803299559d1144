/** @file chunk_plan_type.h Which host fetches which chunks, and from where. */

#ifndef JACINTHPOND_CORE_CHUNK_PLAN_TYPE_H
#define JACINTHPOND_CORE_CHUNK_PLAN_TYPE_H

#include "base/ids_type.h"

#include <cstddef>
#include <vector>

namespace jacinthpond {

/** A worker in the fleet order of its model; see ChunkPlan. */
struct PlanHost {
  HostName Name;         ///< Published name.
  Address AgentAddress;  ///< Peer address of its agent.
  DomainName Domain;     ///< Failure domain.
  size_t Rank = 0;       ///< Position among the workers of its domain.
  size_t DomainSize = 1; ///< Number of workers in its domain.
};

/**
 * The published workers of one model in fleet order: by rank, then by domain,
 * so that neighbours are in different domains. Every agent computes the same
 * order.
 */
struct ChunkPlan {
  std::vector<PlanHost> Hosts; ///< In fleet order.
  size_t Self = 0; ///< Index of this host; Hosts.size(): not listed.
};

} // namespace jacinthpond

#endif
