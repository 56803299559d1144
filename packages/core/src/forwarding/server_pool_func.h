/** @file server_pool_func.h Choosing a back end for each attempt. */

#ifndef JACINTHPOND_CORE_SERVER_POOL_FUNC_H
#define JACINTHPOND_CORE_SERVER_POOL_FUNC_H

#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Takes a document that came into force.
 * @param Pool State to change.
 * @param Doc The document.
 * @param PublishedAfter Time before which it was not published; nothing: not
 * known, and weights that it replaces begin no request.
 * @param Now Current time.
 */
void poolFollows(ServerPool &Pool, const DocumentPtr &Doc,
                 std::optional<TimePoint> PublishedAfter, TimePoint Now);

/**
 * The platform's list went away or came back. Servers that live on may be
 * missing in it until a while after that, when they have registered again.
 * @param Pool State to change.
 * @param Away Whether nobody can read the list now.
 * @param Now Current time.
 */
void listingAway(ServerPool &Pool, bool Away, TimePoint Now);

/**
 * An agent told of its back end.
 * @param Pool State to change.
 * @param News What it told.
 * @param Now Current time.
 */
void agentTold(ServerPool &Pool, const AgentNews &News, TimePoint Now);

/**
 * Chooses a back end.
 * @param Pool State to change: ties are broken at random.
 * @param Needs What the request needs.
 * @param Now Current time.
 * @return The back end, or why there is none.
 */
ServerChoice chooseServer(ServerPool &Pool, const ServerNeeds &Needs,
                          TimePoint Now);

/**
 * Gives a back end.
 * @param Pool The state.
 * @param Id Which back end.
 * @return The back end; null when it is not known any more.
 */
ServerView *findServer(ServerPool &Pool, const InstanceId &Id);
const ServerView *findServer(const ServerPool &Pool, const InstanceId &Id);

/**
 * Says whether an agent bounds the load of a back end.
 * @param View The back end.
 * @return True while the agent answers.
 */
bool hasAgent(const ServerView &View);

/**
 * An agent did not answer an ask in time: its back end is used without it,
 * until it speaks. Where that happens again, it is asked last for a while.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Now Current time.
 */
void agentSilent(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Looks again before sending: news may have come while a place was waited for.
 * @param Pool The state.
 * @param Id Which back end.
 * @param Needs What the request needs.
 * @param Now Current time.
 * @return Whether the back end may still get it.
 */
bool mayStillUse(const ServerPool &Pool, const InstanceId &Id,
                 const ServerNeeds &Needs, TimePoint Now);

/**
 * Says until when a request that was sent to a back end may still begin there.
 * @param Pool State.
 * @param Id The back end.
 * @param SentOn Weights that it had when the request was sent.
 * @return Time; nothing: its weights are wanted, or nothing is known of them.
 */
std::optional<TimePoint> mayBeginUntil(const ServerPool &Pool,
                                       const InstanceId &Id,
                                       const Digest &SentOn);

/**
 * Gives the version of weights to demand of a back end. What is believed of it
 * may be old; once some former version may not begin requests any more, a back
 * end that has another one than believed must refuse.
 * @param Pool The state.
 * @param Id Which back end.
 * @param Now Current time.
 * @return The version; empty: any will do.
 */
std::string versionToDemand(const ServerPool &Pool, const InstanceId &Id,
                            TimePoint Now);

/**
 * Gives the weights that a back end's model should have, as far as is known.
 * @param Pool The state.
 * @param View Which back end.
 * @return The wanted weights; null for a plain service.
 */
const WantedWeights *wantedAt(const ServerPool &Pool, const ServerView &View);

/**
 * An attempt goes to a back end.
 * @param Pool State to change.
 * @param Id Which back end.
 */
void attemptOpened(ServerPool &Pool, const InstanceId &Id);

/**
 * A back end told its load with an answer.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Busy Requests that run or wait there.
 * @param Now Current time.
 */
void loadTold(ServerPool &Pool, const InstanceId &Id, uint32_t Busy,
              TimePoint Now);

/**
 * Any part of an answer came from a back end.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Now Current time.
 */
void serverHeard(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Gives when a back end answered anybody here last.
 * @param Pool The state.
 * @param Id Which back end.
 * @return Time of the last byte.
 */
TimePoint lastHeard(const ServerPool &Pool, const InstanceId &Id);

/**
 * The first part of an answer came.
 * @param Pool State to change.
 * @param Service Whose answer.
 * @param Took Time since the request was sent.
 */
void firstPartCame(ServerPool &Pool, const ServiceName &Service, Duration Took);

/**
 * Gives the time in which most first parts of answers come.
 * @param Pool The state.
 * @param Service Whose answers.
 * @param Otherwise What to give while none has been seen.
 * @return The time since the request was sent.
 */
Duration usualFirstPart(const ServerPool &Pool, const ServiceName &Service,
                        Duration Otherwise);

/**
 * Gives the weights that a back end is believed to have.
 * @param Pool The state.
 * @param Id Which back end.
 * @return The set; empty when unknown.
 */
Digest weightsAt(const ServerPool &Pool, const InstanceId &Id);

/**
 * An agent answered an ask, and told how much its back end has to read.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param Reading Time that the reading takes.
 */
void readingTold(ServerPool &Pool, const InstanceId &Id, Duration Reading);

/**
 * An attempt ended.
 * @param Pool State to change.
 * @param Id Which back end.
 * @param How How it ended.
 * @param Took How long it lasted.
 * @param Now Current time.
 */
void attemptClosed(ServerPool &Pool, const InstanceId &Id, AttemptEnd How,
                   Duration Took, TimePoint Now);

/**
 * A back end said that another run of it holds the address, or that it has
 * other weights than was believed.
 * @param Pool State to change.
 * @param Id Which run is gone or was misjudged.
 * @param Now Current time.
 */
void serverMisjudged(ServerPool &Pool, const InstanceId &Id, TimePoint Now);

/**
 * Says how many idle connections to each back end of a service are kept. A back
 * end bears a number of them from all entries together and resets those beyond,
 * whoever's request is on them.
 * @param Pool The state.
 * @param Service Which service.
 * @return How many this entry keeps at most.
 */
size_t connectionsToKeep(const ServerPool &Pool, const ServiceName &Service);

} // namespace jacinthpond

#endif
