/** @file entry_addresses_func.h Which entries a caller is told to use. */

#ifndef JACINTHPOND_CORE_ENTRY_ADDRESSES_FUNC_H
#define JACINTHPOND_CORE_ENTRY_ADDRESSES_FUNC_H

#include "attempts/entry_type.h"

#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Chooses addresses for a caller: those of entries that take work, two of
 * them near this entry, the others in other domains, so that a domain that
 * goes away takes only a part of what the caller keeps.
 * @param Entry The state.
 * @param Caller Spreads callers over the entries.
 * @return At most four addresses, in the order in which to try them.
 */
std::vector<Address> addressesFor(const EntryState &Entry,
                                  std::string_view Caller);

} // namespace jacinthpond

#endif
