/** @file place_search_type.h Looking for a back end that can begin at once. */

#ifndef JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H
#define JACINTHPOND_CORE_PLACE_SEARCH_TYPE_H

#include "base/ids_type.h"

#include <cstdint>
#include <set>

namespace jacinthpond {

/** Agents that one request asked for a place. */
struct PlaceSearch {
  uint32_t Asks = 0;         ///< Places asked for.
  bool Choosy = false;       ///< The last ask wanted an idle back end.
  std::set<InstanceId> Busy; ///< Refused only because they were not idle.
};

} // namespace jacinthpond

#endif
