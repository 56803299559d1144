/** @file status_func.h Works out what operators are shown. */

#ifndef JACINTHPOND_CORE_STATUS_FUNC_H
#define JACINTHPOND_CORE_STATUS_FUNC_H

#include "attempts/entry_type.h"
#include "status/status_type.h"
#include "status/team_access_type.h"

namespace jacinthpond {

/**
 * Sums up the fleet as this entry sees it.
 * @param Entry State of the entry.
 * @param Access What the reader may see.
 * @param Now Current time.
 * @return The summary; empty lists while there is no document.
 */
FleetStatus fleetStatus(const EntryState &Entry, const TeamAccess &Access,
                        TimePoint Now);

/**
 * Says whether a worker's load lets it take work.
 * @param Load The load.
 * @return True when it serves, warming or at its full limit.
 */
bool takesWork(const WorkerLoad &Load);

} // namespace jacinthpond

#endif
