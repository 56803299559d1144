/** @file departure_func.h Hosts that leave, as told by list, peer or host.
 *
 * The platform's list is read by few and lags; a leaving process may reach
 * only one peer. Whoever learns of a departure tells all its peers, with the
 * age of what it knows. The age only grows on the way, so a departure that
 * nobody confirms any more is forgotten everywhere.
 */

#ifndef JACINTHPOND_CORE_DEPARTURE_FUNC_H
#define JACINTHPOND_CORE_DEPARTURE_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/**
 * The list of hosts was read.
 * @param Fleet State to change.
 * @param Named Hosts that it names as leaving.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void hostListRead(Membership &Fleet, const std::vector<HostName> &Named,
                  TimePoint Now, Effects &Out);

/**
 * A host was said to leave.
 * @param Fleet State to change.
 * @param Notice Who, and how long ago that was known.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void departureHeard(Membership &Fleet, const LeavingNotice &Notice,
                    TimePoint Now, Effects &Out);

/**
 * Says whether a host leaves.
 * @param Fleet The state.
 * @param Name Its name.
 * @param Run Its incarnation.
 * @return True when it leaves: it gets no new work.
 */
bool isDeparting(const Membership &Fleet, const HostName &Name,
                 Incarnation Run);

/**
 * Forgets what nobody confirms; tells peers the rest with each heartbeat.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void departureTick(Membership &Fleet, TimePoint Now, Effects &Out);

/**
 * This process leaves: tells all peers and asks each for an answer.
 * @param Fleet State to change.
 * @param View What heartbeats say is in force.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void announceLeaving(Membership &Fleet, const ConfigView &View, TimePoint Now,
                     Effects &Out);

/**
 * Says whether every peer knows that this process leaves. All work that they
 * sent before they knew has arrived by then.
 * @param Fleet The state.
 * @return False while an answer is missing on a ready link.
 */
bool leavingIsKnown(const Membership &Fleet);

} // namespace jacinthpond

#endif
