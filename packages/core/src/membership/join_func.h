/** @file join_func.h Making the view of the fleet fresh, and losing it. */

#ifndef JACINTHPOND_CORE_JOIN_FUNC_H
#define JACINTHPOND_CORE_JOIN_FUNC_H

#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"
#include "settings/settings_type.h"

namespace jacinthpond {

/**
 * Sets up the membership of a new process, which joins the fleet.
 * @param Config Its settings.
 * @param Sender What it is.
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
 * @return False too for one whose document was refused.
 */
bool isAhead(const ConfigView &View, const PeerLink &Peer);

/**
 * Says whether new work may be taken and given on the present view.
 * @param Fleet The state.
 * @return True while the view is fresh.
 */
bool viewIsFresh(const Membership &Fleet);

/**
 * The view is not trusted any more: peers have to be asked again.
 * @param Fleet State to change.
 * @param Now Current time.
 */
void restartJoin(Membership &Fleet, TimePoint Now);

/**
 * Says whether this process can learn what is published: from the service,
 * from a reader of it, or because most of the fleet it knew is reachable and
 * would know.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when it is cut off.
 */
bool inContact(const Membership &Fleet, TimePoint Now);

/**
 * Asks peers while the view is not fresh, and notices when it became fresh or
 * when this process was cut off.
 * @param View The configuration.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void joinTick(const ConfigView &View, Membership &Fleet, TimePoint Now,
              Effects &Out);

/**
 * Notices that this process did not run for a moment, too short for a pause:
 * what is read next was sent before it. Called before the tick is noted.
 * @param Fleet State to change.
 * @param Now Current time.
 */
void noteStall(Membership &Fleet, TimePoint Now);

/**
 * Says whether the service has answered this process or an entry in view of
 * late.
 * @param Fleet The state.
 * @param Now Current time.
 * @return False when nobody seems to be answered.
 */
bool anybodyAnswered(const Membership &Fleet, TimePoint Now);

} // namespace jacinthpond

#endif
