/** @file rate_share_func.h Rates that a back end bears, kept by all entries
 * together.
 *
 * A back end may limit its rate itself, and bears little while it is cold.
 * Where an agent gives the places it counts for all entries. Past a silent
 * agent, and where there is none, entries split the rate.
 */

#ifndef JACINTHPOND_CORE_RATE_SHARE_FUNC_H
#define JACINTHPOND_CORE_RATE_SHARE_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Says whether the rates of a back end allow a request of this entry.
 * @param Pool The state.
 * @param View The back end; its counts are brought up to date.
 * @param Kind Its service.
 * @param Now Current time.
 * @return True when one may be sent, or a place may be asked for.
 */
bool ratesAllow(const ServerPool &Pool, ServerView &View, const Service &Kind,
                TimePoint Now);

/**
 * Gives when a caller may come back to a service whose back ends are all at
 * their rate. Each one that is refused here gets the next turn of this entry.
 * @param Pool State to change.
 * @param Service Which service.
 * @param PerSecond Requests a second that its back ends take together.
 * @param Now Current time.
 * @return Time until that turn.
 */
Millis turnToComeBack(ServerPool &Pool, const ServiceName &Service,
                      double PerSecond, TimePoint Now);

/**
 * A request is sent without a place. Entries split the rates that the back end
 * bears, since no agent counts for all of them.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Now Current time.
 */
void sentPastAgent(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * An answer of a back end said what rate it takes.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param PerSecond Limit that it named; nothing: it named none.
 * @param SentAt When the request was sent.
 * @param Now Current time.
 * @return What is known otherwise than before.
 */
RateChange rateHeard(ServerPool &Pool, const InstanceId &Id,
                     std::optional<double> PerSecond, TimePoint SentAt,
                     TimePoint Now);

/**
 * Another entry told what an answer said of the rate that a back end takes.
 * @param Pool State to change.
 * @param Told What it told.
 * @param Now Current time.
 * @return What is known otherwise than before; it is to be told on.
 */
RateChange rateTold(ServerPool &Pool, const RateHeard &Told, TimePoint Now);

/**
 * An agent gave no place, since its back end limits its rate.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Wait Time until it may give one.
 * @param Now Current time.
 */
void rateRefused(ServerPool &Pool, const InstanceId &Id, Duration Wait,
                 TimePoint Now);

/**
 * Gives what an agent has to be told before it is asked for a place: one that
 * started anew does not know the limit of its back end.
 * @param View The back end.
 * @param Now Current time.
 * @return The message; nothing when it knows, or when there is no limit.
 */
std::optional<RateHeard> rateToTell(const ServerView &View, TimePoint Now);

/**
 * Says whether a rate limit of a back end is known.
 * @param Pool The state.
 * @param Id Which back end.
 * @return True while one is.
 */
bool isRateLimited(const ServerPool &Pool, const InstanceId &Id);

} // namespace jacinthpond

#endif
