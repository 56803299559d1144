/** @file prefix_memory.cpp Telling prefixes that recur from others. */

#include "prefix_memory_func.h"

#include "hash_func.h"

namespace jacinthpond {

/** Prefixes remembered; about 100 bytes each. */
static constexpr size_t MaxPrefixes = 8192;

bool prefixCame(PrefixMemory &Memory, std::string_view Prefix) {
  const uint64_t Hash = checksum64(Prefix);
  if (!Memory.Known.insert(Hash).second)
    return true;
  Memory.Order.push_back(Hash);
  if (Memory.Order.size() > MaxPrefixes) {
    Memory.Known.erase(Memory.Order.front());
    Memory.Order.pop_front();
  }
  return false;
}

} // namespace jacinthpond
