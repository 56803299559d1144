/** @file directory_func.h Which entries callers on routes are told to use. */

#ifndef JACINTHPOND_CORE_DIRECTORY_FUNC_H
#define JACINTHPOND_CORE_DIRECTORY_FUNC_H

#include "configuration/document_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Chooses entries for a caller: those of its failure domain while there are
 * two, else those of its region, else all. Callers spread over what they are
 * given, so that near entries share the callers of their domain; two, since a
 * caller that has lost its only address would have to ask again first.
 * @param Alive Entries that take callers.
 * @param Doc Document in force, for the regions; may be null.
 * @param Domain Failure domain of the caller; may be empty.
 * @param Region Region of the caller; may be empty.
 * @return Their addresses; empty when no entry is alive.
 */
std::vector<Address> directoryAnswer(const std::vector<EntryHost> &Alive,
                                     const Document *Doc,
                                     const DomainName &Domain,
                                     const RegionName &Region);

} // namespace jacinthpond

#endif
