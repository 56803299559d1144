/** @file fleet_snapshot_func.h What the traffic thread knows of the fleet. */

#ifndef JACINTHPOND_CORE_FLEET_SNAPSHOT_FUNC_H
#define JACINTHPOND_CORE_FLEET_SNAPSHOT_FUNC_H

#include "attempts/entry_type.h"
#include "forwarding/fleet_snapshot_type.h"

namespace jacinthpond {

/**
 * Gives until when a process that joins the fleet usually has a fresh view.
 * @param Since When it began to join.
 * @param JoinWait Its longest wait for peers.
 * @return The time.
 */
TimePoint joinedBy(TimePoint Since, Millis JoinWait);

/**
 * Sums up the fleet.
 * @param Entry The state.
 * @param Now Current time.
 * @return The snapshot.
 */
FleetSnapshot fleetSnapshot(const EntryState &Entry, TimePoint Now);

/**
 * Gives what agents said since the last time, and which fell silent.
 * @param Entry The state.
 * @param Told What was given already; brought up to date.
 * @return The news.
 */
std::vector<AgentNews> newsOfAgents(const EntryState &Entry, ToldNews &Told);

} // namespace jacinthpond

#endif
