/** @file fleet_snapshot_type.h What the traffic thread knows of the fleet. */

#ifndef JACINTHPOND_CORE_FLEET_SNAPSHOT_TYPE_H
#define JACINTHPOND_CORE_FLEET_SNAPSHOT_TYPE_H

#include "configuration/document_type.h"
#include "forwarding/server_pool_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jacinthpond {

/** What the control thread tells the traffic thread of the fleet. */
struct FleetSnapshot {
  bool Ready = false;           ///< This entry may pass requests on.
  TimePoint ReadyBy;            ///< Until then it may become ready.
  bool ListingAway = false;     ///< Nobody can read the platform's list.
  std::vector<EntryHost> Alive; ///< Entries that take callers, self included.
  uint32_t Sharers = 1; ///< Entries that may use the back ends, self included.
  std::vector<HostName> SharerNames; ///< Their names, as far as known.

  bool operator==(const FleetSnapshot &) const = default;
};

/** What was told to the traffic thread of each agent. */
struct ToldNews {
  std::map<HostName, TimePoint> LoadAt; ///< Age of the load told last.
};

} // namespace jacinthpond

#endif
