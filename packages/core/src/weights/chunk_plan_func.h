/** @file chunk_plan_func.h Who draws, imports and passes on which chunks. */

#ifndef JACINTHPOND_CORE_CHUNK_PLAN_FUNC_H
#define JACINTHPOND_CORE_CHUNK_PLAN_FUNC_H

#include "configuration/document_type.h"
#include "membership/membership_func.h"
#include "weights/chunk_plan_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Orders the workers of a host's model.
 * @param Doc The document in force.
 * @param Self Name of the host.
 * @return The plan; without hosts where the host runs no model.
 */
ChunkPlan makeChunkPlan(const Document &Doc, const HostName &Self);

/**
 * Says whether the plan names this host.
 * @param Plan The plan.
 * @return False for a host that is not published.
 */
bool planned(const ChunkPlan &Plan);

/**
 * Gives the rank at which this host draws a chunk from the origin.
 * @param Plan The plan; this host is planned.
 * @param n Index of the chunk.
 * @return 0: draws at once; higher ones take over on lack of progress.
 */
size_t drawRank(const ChunkPlan &Plan, size_t n);

/**
 * Gives the rank at which this host fetches a chunk from another domain.
 * @param Plan The plan; this host is planned.
 * @param n Index of the chunk.
 * @return 0: fetches at once; higher ones take over on lack of progress.
 */
size_t importRank(const ChunkPlan &Plan, size_t n);

/**
 * Gives the bounded set of agents to keep links to for exchanging chunks:
 * about log2 of the domain's size, and two ranks in each other domain.
 * @param Plan The plan.
 * @return The peers; each link serves both of its ends.
 */
std::vector<PeerAddress> chunkPeers(const ChunkPlan &Plan);

} // namespace jacinthpond

#endif
