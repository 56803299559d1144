/** @file chunk_plan_func.h Which host fetches which chunks, and from where. */

#ifndef JACINTHPOND_CORE_CHUNK_PLAN_FUNC_H
#define JACINTHPOND_CORE_CHUNK_PLAN_FUNC_H

#include "configuration/document_type.h"
#include "membership/membership_func.h"
#include "weights/chunk_plan_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Computes the fleet order of the workers of a host's model.
 * @param Doc The document in force.
 * @param Self Name of the host.
 * @return The plan; without hosts when the host runs no model.
 */
ChunkPlan makeChunkPlan(const Document &Doc, const HostName &Self);

/**
 * Says whether this host is in the plan.
 * @param Plan The plan.
 * @return False for a host that is not published.
 */
bool isPlanned(const ChunkPlan &Plan);

/**
 * Gives the rank of this host for fetching a chunk from the origin.
 * @param Plan The plan, with this host in it.
 * @param n Index of the chunk.
 * @return 0: fetches at once; higher ranks take over on lack of progress.
 */
size_t originRank(const ChunkPlan &Plan, size_t n);

/**
 * Gives the rank of this host for fetching a chunk from another domain.
 * @param Plan The plan, with this host in it.
 * @param n Index of the chunk.
 * @return 0: fetches at once; higher ranks take over on lack of progress.
 */
size_t importRank(const ChunkPlan &Plan, size_t n);

/**
 * Gives the agents to keep links to for exchanging chunks: about log2 of the
 * domain's size in the own domain, and two ranks in each other domain.
 * @param Plan The plan.
 * @return The peers; a link serves both of its ends.
 */
std::vector<PeerAddress> chunkPeers(const ChunkPlan &Plan);

} // namespace jacinthpond

#endif
