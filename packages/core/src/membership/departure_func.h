/** @file departure_func.h Tracks hosts that are leaving the fleet.
 *
 * A departure is reported by the platform's list of hosts, by the host itself
 * or by a peer. Few processes read the list, and it lags; a leaving process may
 * reach only one peer. So each process that learns of a departure relays it to
 * all its peers, with the age of the report. The age only grows on the way, so
 * a departure that is not reported again expires everywhere.
 */

#ifndef JACINTHPOND_CORE_DEPARTURE_FUNC_H
#define JACINTHPOND_CORE_DEPARTURE_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Records the departures in the platform's list of hosts.
 * @param Fleet State to change.
 * @param LeavingHosts Hosts that the list names as leaving.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleHostList(Membership &Fleet,
                    const std::vector<HostName> &LeavingHosts, TimePoint Now,
                    Effects &Out);

/**
 * Records a reported departure, unless the report has expired, and relays a
 * new one to all peers.
 * @param Fleet State to change.
 * @param Notice The leaving host, and the age of the report.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void recordDeparture(Membership &Fleet, const LeavingNotice &Notice,
                     TimePoint Now, Effects &Out);

/**
 * Says whether a host is leaving.
 * @param Fleet The state.
 * @param Name Its name.
 * @param Run Its incarnation.
 * @return True when it is leaving and must get no new work.
 */
bool isDeparting(const Membership &Fleet, const HostName &Name,
                 Incarnation Run);

/**
 * Removes expired departures and relays the others to all peers with each
 * heartbeat.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void tickDepartures(Membership &Fleet, TimePoint Now, Effects &Out);

/**
 * Tells all peers that this process is leaving, and asks each of them to
 * acknowledge it.
 * @param Fleet State to change.
 * @param View Configuration that heartbeats report as in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void announceLeaving(Membership &Fleet, const ConfigView &View, TimePoint Now,
                     Effects &Out);

/**
 * Says whether every peer has acknowledged that this process is leaving. All
 * work that they sent before has arrived by then.
 * @param Fleet The state.
 * @return False while an acknowledgement is missing on a ready link.
 */
bool isLeavingAcknowledged(const Membership &Fleet);

} // namespace jacinthpond

#endif
