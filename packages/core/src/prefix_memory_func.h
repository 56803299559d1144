/** @file prefix_memory_func.h Telling prefixes that recur from others. */

#ifndef JACINTHPOND_CORE_PREFIX_MEMORY_FUNC_H
#define JACINTHPOND_CORE_PREFIX_MEMORY_FUNC_H

#include "prefix_memory_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Notes a prefix. One that never recurs has no warm worker, and sending it by
 * its hash would only make the load uneven.
 * @param Memory State to change; bounded, the oldest goes first.
 * @param Prefix The prefix with its tenant.
 * @return True when it came before.
 */
bool prefixCame(PrefixMemory &Memory, std::string_view Prefix);

} // namespace jacinthpond

#endif
