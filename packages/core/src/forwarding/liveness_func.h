/** @file liveness_func.h Detecting unresponsive hosts of back ends.
 *
 * A paused host keeps its connections open, so requests there hang without any
 * sign of failure. An agent answers a probe (Ping) on its open link at once,
 * however busy the back end is: an unanswered probe distinguishes an
 * unresponsive host from a slow back end.
 */

#ifndef JACINTHPOND_CORE_LIVENESS_FUNC_H
#define JACINTHPOND_CORE_LIVENESS_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Records that a probe is sent to the agent of a back end.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 * @return False when none may be sent: an earlier one is unanswered, or there
 * is no agent.
 */
bool recordHostProbe(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Records that any message came from an agent; it answers a pending probe.
 * @param Pool State to change.
 * @param Link Link to the agent.
 */
void recordAgentActivity(ServerPool &Pool, LinkId Link);

/**
 * Discards a pending probe whose answer may still be unread because this
 * process itself was not scheduled for some time.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 */
void discardProbe(ServerPool &Pool, const InstanceId &Id);

/**
 * Gives the time from which the host of a back end counts as unresponsive.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return The time; nothing while no probe is pending.
 */
std::optional<TimePoint> unresponsiveFrom(const ServerPool &Pool,
                                          const InstanceId &Id);

/**
 * Says whether the host of a back end counts as unresponsive.
 * @param View The back end.
 * @param Now Current time.
 * @return True when a probe timed out; false again some time later, when single
 * requests may check whether the back end has recovered.
 */
bool isHostUnresponsive(const ServerView &View, TimePoint Now);

/**
 * Updates the liveness of a back end's host when the link to its agent ends.
 * @param View State to change.
 * @param Silent Whether the link timed out instead of being closed.
 * @param Now Current time.
 */
void recordAgentLinkEnd(ServerView &View, bool Silent, TimePoint Now);

} // namespace jacinthpond

#endif
