/** @file server_notice_func.h What back ends announce in their answers.
 *
 * A back end announces things to a host, not to the fleet, and for one run. An
 * entry keeps to them whatever the list of servers says: the list lags behind,
 * and rows of servers come and go while the platform's store is away.
 */

#ifndef JACINTHPOND_CORE_SERVER_NOTICE_FUNC_H
#define JACINTHPOND_CORE_SERVER_NOTICE_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Records that a back end asked this entry for a pause.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Pause Time without requests; 0 asks for none.
 * @param Now Current time.
 * @return True when a pause begins.
 */
bool recordPause(ServerPool &Pool, const InstanceId &Id, Duration Pause,
                 TimePoint Now);

/**
 * Records a notice that could not be read.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 * @return True for the first one of this run of the back end.
 */
bool recordUnreadableNotice(ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now);

/**
 * Gives the end of the pause that a back end asked for.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return The time; in the past when it asked for none.
 */
TimePoint pauseEnd(const ServerPool &Pool, const InstanceId &Id);

/**
 * Says whether a back end wants requests of this entry.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @param Now Current time.
 * @return False during a pause that it asked for.
 */
bool wantsRequests(const ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Says whether the slow start after a pause allows one more request.
 * @param Pool State to change: the slow start may begin.
 * @param View The back end.
 * @param Now Current time.
 * @return True without a pause before.
 */
bool maySendAfterPause(ServerPool &Pool, const ServerView &View, TimePoint Now);

/**
 * Records a request that a back end accepted: the head of its answer is there,
 * and is no refusal.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 */
void recordAcceptedRequest(ServerPool &Pool, const InstanceId &Id,
                           TimePoint Now);

/**
 * Drops the notices of runs that have ended: those of servers that have started
 * anew under their id, or were not listed for a long time.
 * @param Pool State to change; its servers are those of the newest document.
 * @param Now Current time.
 */
void dropOldNotices(ServerPool &Pool, TimePoint Now);

} // namespace jacinthpond

#endif
