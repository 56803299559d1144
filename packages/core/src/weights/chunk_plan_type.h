/** @file chunk_plan_type.h Who draws, imports and passes on which chunks. */

#ifndef JACINTHPOND_CORE_CHUNK_PLAN_TYPE_H
#define JACINTHPOND_CORE_CHUNK_PLAN_TYPE_H

#include "base/ids_type.h"

#include <cstddef>
#include <vector>

namespace jacinthpond {

/** A worker in the fleet order of its model. */
struct PlanHost {
  HostName Name;         ///< Published name.
  Address At;            ///< Peer address of its agent.
  DomainName Domain;     ///< Failure domain.
  size_t Rank = 0;       ///< Place among the workers of its domain.
  size_t DomainSize = 1; ///< Workers of its domain.
};

/**
 * The published workers of one model in the order that every agent works out
 * alike: by rank, then by domain, so that neighbours are in other domains.
 */
struct ChunkPlan {
  std::vector<PlanHost> Hosts; ///< In fleet order.
  size_t Self = 0;             ///< Position of this host; Hosts.size(): none.
};

} // namespace jacinthpond

#endif
