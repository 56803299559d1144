/** @file entry_addresses_func.h Entry addresses given to callers. */

#ifndef JACINTHPOND_CORE_ENTRY_ADDRESSES_FUNC_H
#define JACINTHPOND_CORE_ENTRY_ADDRESSES_FUNC_H

#include "attempts/entry_type.h"

#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Chooses entry addresses for a caller: two in the failure domain of this entry
 * and the others in other domains, so that the loss of one domain leaves the
 * caller some of them.
 * @param Entry The state.
 * @param Caller Identifies the caller, to spread callers over the entries.
 * @return At most four addresses, in the order in which to try them.
 */
std::vector<Address> entryAddressesFor(const EntryState &Entry,
                                       std::string_view Caller);

} // namespace jacinthpond

#endif
