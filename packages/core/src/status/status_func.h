/** @file status_func.h Builds the status that the administration API shows. */

#ifndef JACINTHPOND_CORE_STATUS_FUNC_H
#define JACINTHPOND_CORE_STATUS_FUNC_H

#include "attempts/entry_type.h"
#include "status/status_type.h"
#include "status/team_access_type.h"

namespace jacinthpond {

/**
 * Builds the status of the fleet as seen by this entry.
 * @param Entry State of the entry.
 * @param Access What the caller of the API may see.
 * @param Now Current time.
 * @return The status, limited to what Access allows; empty lists before the
 * first document.
 */
FleetStatus fleetStatus(const EntryState &Entry, const TeamAccess &Access,
                        TimePoint Now);

/**
 * Says whether a worker is in a state in which it takes work.
 * @param Load Last load that it reported.
 * @return True for Warming and Serving.
 */
bool canTakeWork(const WorkerLoad &Load);

} // namespace jacinthpond

#endif
