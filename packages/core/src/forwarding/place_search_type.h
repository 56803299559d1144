/** @file place_search_type.h Searching for a back end with a short prefill
 * backlog. */

#ifndef JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H
#define JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H

#include "base/ids_type.h"

#include <cstdint>
#include <set>

namespace jacinthpond {

/** Slot requests sent to agents for one request of a caller. */
struct SlotSearch {
  uint32_t SlotRequests = 0; ///< Slot requests sent.
  bool IdleOnly = false;     ///< The last one limited the prefill backlog.
  std::set<InstanceId>
      Busy; ///< Back ends that refused only because they were busy.
};

} // namespace jacinthpond

#endif
