/** @file rate_share_func.h Sharing the rate limit of a back end among entries.
 *
 * A back end may set a rate limit for itself, and takes only a low rate during
 * its cold start. An agent that grants the slots enforces both for all entries.
 * Where the agent is silent, or there is none, entries split the rate.
 */

#ifndef JACINTHPOND_CORE_RATE_SHARE_FUNC_H
#define JACINTHPOND_CORE_RATE_SHARE_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Says whether the rate limits of a back end allow a request of this entry.
 * @param Pool The state.
 * @param View The back end; its rate counters are updated.
 * @param Spec Its service.
 * @param Now Current time.
 * @return True when one may be sent, or its agent asked for a slot.
 */
bool isWithinRates(const ServerPool &Pool, ServerView &View,
                   const Service &Spec, TimePoint Now);

/**
 * Assigns a retry time to a caller of a service whose back ends are all at
 * their rate limit. Retry times are spaced by this entry's share of the rate.
 * @param Pool State to change.
 * @param Service The service.
 * @param PerSecond Requests per second that its back ends take together.
 * @param Now Current time.
 * @return Time until the retry.
 */
Millis assignRetryTime(ServerPool &Pool, const ServiceName &Service,
                       double PerSecond, TimePoint Now);

/**
 * Counts a request that is sent without a slot from an agent, against this
 * entry's share of the rates of the back end.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 */
void countRequestWithoutSlot(ServerPool &Pool, const InstanceId &Id,
                             TimePoint Now);

/**
 * Records the rate limit that an answer of a back end stated.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param PerSecond Limit in requests per second; nothing: it stated none.
 * @param SentAt When the request was sent.
 * @param Now Current time.
 * @return How the known limit changed.
 */
RateChange recordAnswerRate(ServerPool &Pool, const InstanceId &Id,
                            std::optional<double> PerSecond, TimePoint SentAt,
                            TimePoint Now);

/**
 * Records a rate limit that another entry learned from an answer.
 * @param Pool State to change.
 * @param Notice The notice of the other entry.
 * @param Now Current time.
 * @return How the known limit changed; a change must be passed on.
 */
RateChange recordPeerRate(ServerPool &Pool, const RateLimitNotice &Notice,
                          TimePoint Now);

/**
 * Records that an agent refused a slot because of its back end's rate limit.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Wait Time until it may grant one.
 * @param Now Current time.
 */
void recordRateRefusal(ServerPool &Pool, const InstanceId &Id, Duration Wait,
                       TimePoint Now);

/**
 * Gives the rate limit notice that an agent must get before the next slot
 * request: an agent that restarted does not know the limit of its back end.
 * @param View The back end.
 * @param Now Current time.
 * @return The notice; nothing when the agent knows, or when there is no limit.
 */
std::optional<RateLimitNotice> rateNoticeForAgent(const ServerView &View,
                                                  TimePoint Now);

/**
 * Says whether a rate limit of a back end is known.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return True while one is known.
 */
bool isRateLimited(const ServerPool &Pool, const InstanceId &Id);

} // namespace jacinthpond

#endif
