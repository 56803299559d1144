/** @file directory_func.h Entries that the directory names to a caller. */

#ifndef JACINTHPOND_CORE_DIRECTORY_FUNC_H
#define JACINTHPOND_CORE_DIRECTORY_FUNC_H

#include "configuration/document_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Chooses entries for a caller on a route: those in its failure domain if there
 * are at least two, else those in its region, else all. Callers spread their
 * requests over the addresses, so the entries of a domain share its callers.
 * With one address only, a caller that loses it would have to query the
 * directory again before it could go on.
 * @param Alive Entries that accept callers.
 * @param Doc Document in force, which maps domains to regions; may be null.
 * @param Domain Failure domain of the caller; may be empty.
 * @param Region Region of the caller; may be empty.
 * @return Addresses for callers, 64 at most; empty when no entry is alive.
 */
std::vector<Address> directoryAddresses(const std::vector<EntryHost> &Alive,
                                        const Document *Doc,
                                        const DomainName &Domain,
                                        const RegionName &Region);

} // namespace jacinthpond

#endif
