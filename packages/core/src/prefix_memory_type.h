/** @file prefix_memory_type.h Prompt prefixes that came before. */

#ifndef JACINTHPOND_CORE_PREFIX_MEMORY_TYPE_H
#define JACINTHPOND_CORE_PREFIX_MEMORY_TYPE_H

#include <cstdint>
#include <deque>
#include <set>

namespace jacinthpond {

/** Hashes of the last prefixes that an entry sent on. */
struct PrefixMemory {
  std::set<uint64_t> Known;   ///< All of them.
  std::deque<uint64_t> Order; ///< The same, oldest first.
};

} // namespace jacinthpond

#endif
