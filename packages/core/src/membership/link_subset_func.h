/** @file link_subset_func.h Chooses the peers that an entry keeps links to. */

#ifndef JACINTHPOND_CORE_LINK_SUBSET_FUNC_H
#define JACINTHPOND_CORE_LINK_SUBSET_FUNC_H

#include "configuration/document_type.h"
#include "membership/membership_func.h"

#include <vector>

namespace jacinthpond {

/** Entries up to which each keeps links to all others. */
constexpr size_t FullMeshEntries = 32;
/** Workers of a model up to which an entry keeps links to all of them. */
constexpr size_t FullMeshWorkers = 96;
/** Workers of a larger model that an entry keeps links to. */
constexpr size_t WorkersPerModel = 64;

/**
 * Chooses the peers that an entry keeps links to. In a small fleet these are
 * all; in a large one a subset by rendezvous hashing of the names, so that
 * links are spread evenly and stay when other hosts join or leave.
 * @param Doc The document.
 * @param Entries All entries; see roster_func.h.
 * @param Self The entry.
 * @return The chosen peers.
 */
std::vector<PeerAddress> linkSubset(const Document &Doc,
                                    const std::vector<EntryHost> &Entries,
                                    const Hello &Self);

} // namespace jacinthpond

#endif
