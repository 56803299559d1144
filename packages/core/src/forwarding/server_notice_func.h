/** @file server_notice_func.h What back ends announce in their answers.
 *
 * A back end announces things to a host, not to the fleet, and for one run. An
 * entry keeps to them whatever the list of servers says: the list lags behind,
 * and rows of servers come and go while the platform's store is away.
 */

#ifndef JACINTHPOND_CORE_SERVER_NOTICE_FUNC_H
#define JACINTHPOND_CORE_SERVER_NOTICE_FUNC_H

#include "forwarding/server_pool_type.h"

#include <optional>
#include <vector>

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
 * Records that a back end told this entry that it is shutting down. This entry
 * sends it no request any more, whatever the list of servers says.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 * @return The notice for the other entries; nothing when it was known.
 */
std::optional<ServerLeavingNotice>
recordLeaving(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Records that the answer to a misdirected request said that its back end is
 * shutting down. It may come from any instance at the address, also from one
 * that is not on the list yet: that one gets nothing for some time.
 * @param Pool State to change.
 * @param Expected Instance that the request was meant for.
 * @param SentAt When the request was sent.
 * @param Now Current time.
 * @return Notices for the other entries.
 */
std::vector<ServerLeavingNotice>
recordMisdirectedLeaving(ServerPool &Pool, const InstanceId &Expected,
                         TimePoint SentAt, TimePoint Now);

/**
 * Records that a back end told another process that it is shutting down. It is
 * ranked last from then on.
 * @param Pool State to change.
 * @param Notice The notice.
 * @param Now Current time.
 * @return True when this is news, which must be passed on.
 */
bool recordPeerLeaving(ServerPool &Pool, const ServerLeavingNotice &Notice,
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
 * Says whether a back end wants requests of this entry.
 * @param Notices What it announced.
 * @param Now Current time.
 * @return False during a pause that it asked for, and once it is leaving.
 */
bool wantsRequests(const ServerNotices &Notices, TimePoint Now);

/**
 * Says whether a back end is known to shut down, so that its end is no crash.
 * @param View The back end.
 * @return True once the list, the back end or another process said so.
 */
bool isShuttingDown(const ServerView &View);

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
 * Gives a server that is new to the pool what its run announced before.
 * @param Pool State to change.
 * @param View The new server.
 * @param Now Current time.
 */
void restoreNotices(ServerPool &Pool, ServerView &View, TimePoint Now);

/**
 * Keeps the notices of a server that is about to leave the pool.
 * @param Pool State to change.
 * @param View The server.
 */
void keepNotices(ServerPool &Pool, const ServerView &View);

/**
 * Drops the notices of runs that have ended: those of servers that have started
 * anew under their id, or were not listed for a long time.
 * @param Pool State to change; its servers are those of the newest document.
 * @param Now Current time.
 */
void dropOldNotices(ServerPool &Pool, TimePoint Now);

} // namespace jacinthpond

#endif
