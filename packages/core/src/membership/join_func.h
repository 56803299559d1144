/** @file join_func.h Decides whether the view of the fleet is fresh. */

#ifndef JACINTHPOND_CORE_JOIN_FUNC_H
#define JACINTHPOND_CORE_JOIN_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"
#include "settings/settings_type.h"

namespace jacinthpond {

/**
 * Creates the membership state of a new process, with a view that is not fresh
 * yet.
 * @param Config Its settings.
 * @param Sender Whether it is an entry or an agent.
 * @param Run Its random incarnation.
 * @param Now Current time.
 * @return The state, without links.
 */
Membership makeMembership(const Settings &Config, Role Sender, Incarnation Run,
                          TimePoint Now);

/**
 * Says whether a peer can give a version that is not in force here.
 * @param View The configuration.
 * @param Peer The link to it.
 * @return True when it can; false also when its document was refused here.
 */
bool isPeerAhead(const ConfigView &View, const PeerLink &Peer);

/**
 * Says whether the view of the fleet is fresh, so that new work may be accepted
 * and sent.
 * @param Fleet The state.
 * @return True while the view is fresh.
 */
bool isViewFresh(const Membership &Fleet);

/**
 * Marks the view as no longer fresh and forgets the peers' answers, so that all
 * peers are probed again.
 * @param Fleet State to change.
 * @param Now Current time.
 */
void restartJoin(Membership &Fleet, TimePoint Now);

/**
 * Says whether this process can learn of new documents: the configuration
 * service answers it, a ready entry vouches for contact, or, for an entry, most
 * wanted peers are reachable and would know.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when this process is cut off.
 */
bool isInContact(const Membership &Fleet, TimePoint Now);

/**
 * Probes peers while the view is not fresh, and updates whether it is: it
 * becomes fresh when the join is complete, and stale when this process has been
 * cut off for too long.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void tickJoin(const ConfigView &View, Membership &Fleet, TimePoint Now,
              Effects &Out);

/**
 * Detects that this process did not run for a while, too short for a pause: the
 * messages that it reads next were sent before. To be called before
 * tickMembership(), which updates the time of the last tick.
 * @param Fleet State to change.
 * @param Now Current time.
 */
void detectStall(Membership &Fleet, TimePoint Now);

/**
 * Says whether the configuration service has lately answered this process or a
 * linked entry.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when it seems to answer nobody.
 */
bool isServiceAnswering(const Membership &Fleet, TimePoint Now);

} // namespace jacinthpond

#endif
