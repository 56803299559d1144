/** @file fleet_snapshot_type.h State of the fleet for the traffic thread. */

#ifndef JACINTHPOND_CORE_FLEET_SNAPSHOT_TYPE_H
#define JACINTHPOND_CORE_FLEET_SNAPSHOT_TYPE_H

#include "configuration/document_type.h"
#include "forwarding/server_pool_type.h"

#include <cstdint>
#include <map>
#include <vector>

namespace jacinthpond {

/** State of the fleet that the control thread passes to the traffic thread. */
struct FleetSnapshot {
  bool Ready = false;              ///< This entry may forward requests.
  TimePoint ReadyBy;               ///< When it is expected to be ready.
  bool ListingUnavailable = false; ///< No process can read the list of servers.
  std::vector<EntryHost> Alive; ///< Entries that accept callers, with this one.
  uint32_t Sharers = 1; ///< Entries that share the back ends, with this one.
  std::vector<HostName> SharerNames; ///< Their names; empty: unknown.

  bool operator==(const FleetSnapshot &) const = default;
};

/** Agent reports that were already passed to the traffic thread. */
struct PassedAgentReports {
  std::map<HostName, TimePoint> LoadAt; ///< Arrival of the last one, by agent.
};

} // namespace jacinthpond

#endif
