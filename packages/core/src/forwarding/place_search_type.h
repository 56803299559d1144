/** @file place_search_type.h Searching for a back end with a short prefill
 * backlog. */

#ifndef JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H
#define JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <set>

namespace jacinthpond {

/** Slot requests sent to agents for one request of a caller. */
struct SlotSearch {
  uint32_t SlotRequests = 0; ///< Slot requests sent in this search.
  bool IdleOnly = false;     ///< The last one limited the prefill backlog.
  bool SpareOnly = false;    ///< Wants a slot only where one is free at once.
  std::set<InstanceId>
      Busy; ///< Back ends that refused only because they were busy.
  uint32_t Failures = 0; ///< Consecutive searches that found no slot.
  TimePoint NextAt;      ///< The next search begins no earlier than this.
};

} // namespace jacinthpond

#endif
