/** @file fleet_snapshot_func.h State of the fleet for the traffic thread. */

#ifndef JACINTHPOND_CORE_FLEET_SNAPSHOT_FUNC_H
#define JACINTHPOND_CORE_FLEET_SNAPSHOT_FUNC_H

#include "attempts/entry_type.h"
#include "forwarding/fleet_snapshot_type.h"

namespace jacinthpond {

/**
 * Gives the time by which a process that joins the fleet is expected to have a
 * fresh view.
 * @param Since When it began to join.
 * @param JoinWait Its longest wait for peers.
 * @return The time.
 */
TimePoint expectedReadyTime(TimePoint Since, Millis JoinWait);

/**
 * Takes a snapshot of the fleet from an entry's state.
 * @param Entry The state.
 * @param Now Current time.
 * @return The snapshot.
 */
FleetSnapshot fleetSnapshot(const EntryState &Entry, TimePoint Now);

/**
 * Gives the reports that agents sent since the last call, and a report for each
 * agent that is not connected any more.
 * @param Entry The state.
 * @param Passed Reports that were already passed on; updated.
 * @return The new reports.
 */
std::vector<AgentReport> collectAgentReports(const EntryState &Entry,
                                             PassedAgentReports &Passed);

} // namespace jacinthpond

#endif
