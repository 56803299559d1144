/** @file liveness_func.h Whether the host of a back end runs.
 *
 * A host that stands still keeps its connections open, so that nothing shows
 * what has become of the requests there. Its agent answers a question on the
 * open link at once, however busy the back end is: silence after a question
 * tells a host that stands still from a back end that is slow.
 */

#ifndef JACINTHPOND_CORE_LIVENESS_FUNC_H
#define JACINTHPOND_CORE_LIVENESS_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * A question was sent to the agent of a back end that it answers at once.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Now Current time.
 * @return False where an earlier one has no answer yet, or there is no agent.
 */
bool hostAsked(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * An agent said anything.
 * @param Pool State to change.
 * @param Link The link to it.
 */
void hostHeard(ServerPool &Pool, LinkId Link);

/**
 * Forgets a question whose answer may lie here unread: this process itself got
 * no processor for a while.
 * @param Pool State to change.
 * @param Id Which back end.
 */
void forgetQuestion(ServerPool &Pool, const InstanceId &Id);

/**
 * Says from when on a back end counts as standing still.
 * @param Pool The state.
 * @param Id Which back end.
 * @return The time; nothing while no question is open.
 */
std::optional<TimePoint> standsStillFrom(const ServerPool &Pool,
                                         const InstanceId &Id);

/**
 * Says whether a back end counts as standing still.
 * @param View The back end.
 * @param Now Current time.
 * @return True when its host left a question without an answer, for a while.
 */
bool standsStill(const ServerView &View, TimePoint Now);

/**
 * Takes the end of a link to an agent.
 * @param View State to change.
 * @param Silent Whether it ended in silence.
 * @param Now Current time.
 */
void agentLinkEnded(ServerView &View, bool Silent, TimePoint Now);

} // namespace jacinthpond

#endif
