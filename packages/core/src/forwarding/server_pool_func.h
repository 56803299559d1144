/** @file server_pool_func.h Choosing a back end for each attempt. */

#ifndef JACINTHPOND_CORE_SERVER_POOL_FUNC_H
#define JACINTHPOND_CORE_SERVER_POOL_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Updates servers and wanted weights from a document that came into force.
 * @param Pool State to change.
 * @param Doc The document.
 * @param PublishedAfter Earliest time at which it can have been published;
 * nothing: unknown, and no request starts on the weights that it replaces.
 * @param Now Current time.
 */
void applyPoolDocument(ServerPool &Pool, const DocumentPtr &Doc,
                       std::optional<TimePoint> PublishedAfter, TimePoint Now);

/**
 * Records whether the platform's list of servers is available. During an outage
 * the registrations of running servers expire, so servers that are missing from
 * the list are used until some time after the outage.
 * @param Pool State to change.
 * @param Unavailable Whether no process can read the list at present.
 * @param Now Current time.
 */
void setListingUnavailable(ServerPool &Pool, bool Unavailable, TimePoint Now);

/**
 * Applies an agent's report to the state of its back end.
 * @param Pool State to change.
 * @param Report The report.
 * @param Now Current time.
 */
void applyAgentReport(ServerPool &Pool, const AgentReport &Report,
                      TimePoint Now);

/**
 * Chooses the back end for an attempt: the usable one with the lowest load.
 * @param Pool State to change: ties are broken at random.
 * @param Needs What the request needs.
 * @param Now Current time.
 * @return The back end, or why there is none.
 */
ServerChoice chooseServer(ServerPool &Pool, const ServerNeeds &Needs,
                          TimePoint Now);

/**
 * Finds a back end by its instance.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return The back end; null when it is not known any more.
 */
ServerView *findServer(ServerPool &Pool, const InstanceId &Id);
const ServerView *findServer(const ServerPool &Pool, const InstanceId &Id);

/**
 * Says whether an agent limits the load of a back end at present.
 * @param View The back end.
 * @return True while it has an agent that responds.
 */
bool hasAgent(const ServerView &View);

/**
 * Records that an agent did not reply to a slot request in time. Its back end
 * is used without the agent until the agent reports again; after repeated
 * misses the back end is ranked last for some time.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 */
void markAgentSilent(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Checks a chosen back end again right before the request is sent: its state
 * may have changed, or it may have asked for a pause, while the request waited
 * for a slot or a connection.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @param Needs What the request needs.
 * @param Now Current time.
 * @return Whether the request may still be sent there.
 */
bool mayStillUse(const ServerPool &Pool, const InstanceId &Id,
                 const ServerNeeds &Needs, TimePoint Now);

/**
 * Gives the latest time at which a request that was already sent to a back end
 * may start there.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @param SentOn Weights that the back end had when the request was sent.
 * @return Time; nothing: no limit, as its weights are the wanted ones or
 * unknown.
 */
std::optional<TimePoint> latestStartTime(const ServerPool &Pool,
                                         const InstanceId &Id,
                                         const Digest &SentOn);

/**
 * Gives the weights version that a request must require of a back end. This
 * entry's view of the back end may be out of date: once any former version has
 * expired, a back end that has another version than expected must refuse the
 * request.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @param Now Current time.
 * @return The version; empty: any version is accepted.
 */
std::string requiredVersion(const ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now);

/**
 * Gives the weights that a back end should load for its model.
 * @param Pool The state.
 * @param View The back end.
 * @return The wanted weights; null where none are known, as for a service
 * without a model.
 */
const WantedWeights *wantedWeightsFor(const ServerPool &Pool,
                                      const ServerView &View);

/**
 * Counts an attempt as open at its back end.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 */
void recordAttemptStart(ServerPool &Pool, const InstanceId &Id);

/**
 * Records the load that a back end reported with an answer.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Busy Requests that run or wait there.
 * @param Now Current time.
 */
void recordServerLoad(ServerPool &Pool, const InstanceId &Id, uint32_t Busy,
                      TimePoint Now);

/**
 * Records that any part of an answer arrived from a back end.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Now Current time.
 */
void recordServerActivity(ServerPool &Pool, const InstanceId &Id,
                          TimePoint Now);

/**
 * Gives when a back end last sent any part of an answer to this entry.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return Time of the last byte.
 */
TimePoint lastActivityTime(const ServerPool &Pool, const InstanceId &Id);

/**
 * Records how long the first part of an answer took.
 * @param Pool State to change.
 * @param Service Service that answered.
 * @param Took Time since the request was sent.
 */
void recordFirstPartTime(ServerPool &Pool, const ServiceName &Service,
                         Duration Took);

/**
 * Gives the time within which most answers of a service begin.
 * @param Pool The state.
 * @param Service Service that answers.
 * @param Default Value to give before any answer was seen.
 * @return Time since the request was sent.
 */
Duration usualFirstPartTime(const ServerPool &Pool, const ServiceName &Service,
                            Duration Default);

/**
 * Gives the weights that a back end has loaded, as last reported.
 * @param Pool The state.
 * @param Id Instance of the back end.
 * @return The set; empty when unknown.
 */
Digest loadedWeights(const ServerPool &Pool, const InstanceId &Id);

/**
 * Records the prefill backlog of a back end from its agent's reply to a slot
 * request.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param Backlog Time that its queued prompts take to prefill.
 */
void recordPrefillBacklog(ServerPool &Pool, const InstanceId &Id,
                          Duration Backlog);

/**
 * Records the end of an attempt and what it shows of its back end.
 * @param Pool State to change.
 * @param Id Instance of the back end.
 * @param End How the attempt ended.
 * @param Took End long it lasted.
 * @param Now Current time.
 */
void recordAttemptEnd(ServerPool &Pool, const InstanceId &Id, AttemptEnd End,
                      Duration Took, TimePoint Now);

/**
 * Avoids a back end for a short time after it reported that another instance
 * has its address, or that it has other weights than expected.
 * @param Pool State to change.
 * @param Id Instance that is gone or has other weights.
 * @param Now Current time.
 */
void avoidMismatchedServer(ServerPool &Pool, const InstanceId &Id,
                           TimePoint Now);

/**
 * Gives how many idle connections this entry keeps to each back end of a
 * service. A back end accepts a limited number of connections from all entries
 * together and resets those above it, including ones that carry a request.
 * @param Pool The state.
 * @param Service Service of the back ends.
 * @return Largest number of idle connections to one back end.
 */
size_t maxIdleConnections(const ServerPool &Pool, const ServiceName &Service);

} // namespace jacinthpond

#endif
