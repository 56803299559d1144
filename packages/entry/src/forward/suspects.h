/** @file suspects.h Evidence of requests that crash back ends: what this entry
 * sees, and what its peers tell.
 */

#ifndef JACINTHPOND_ENTRY_FORWARD_SUSPECTS_H
#define JACINTHPOND_ENTRY_FORWARD_SUSPECTS_H

#include "forward/forward_context.h"

namespace jacinthpond {

/**
 * Handles an answer to a request with parts that was begun, and whose back end
 * lives on: clears the parts of the crashes before it, here and at all peers.
 * @param Shared State of the traffic thread.
 * @param Parts Digests of the parts of the prompt.
 * @param BegunAt When its first byte came.
 */
void handleBegunParts(ForwardContext &Shared, const std::vector<Digest> &Parts,
                      TimePoint BegunAt);

/**
 * Tells peers of the parts whose silence is no longer usual.
 * @param Shared State of the traffic thread.
 */
void publishCrashes(ForwardContext &Shared);

/**
 * Handles an answer that the back end broke off. If its address refuses
 * connections soon afterwards, all peers are told which requests of this entry
 * were under way there.
 * @param Shared State of the traffic thread.
 * @param Run Name of the run of the back end.
 * @param At Its address.
 * @param Request Digests of the request.
 * @param Begun The answer was begun long enough before: not the parts of the
 * prompt broke it off.
 */
void handleBrokenAnswer(ForwardContext &Shared, const std::string &Run,
                        const Address &At, const RequestDigests &Request,
                        bool Begun);

/**
 * Handles a request that ran to completion: clears it here and at all peers.
 * @param Shared State of the traffic thread.
 * @param Request Gives the fingerprint; only called when there are suspects.
 */
void handleCompletedRequest(ForwardContext &Shared,
                            const std::function<const Digest &()> &Request);

/**
 * Handles an answer of a run that may have been taken for a crashed one.
 * @param Shared State of the traffic thread.
 * @param Run Name of the run.
 * @param SentAt When the answered request was sent.
 */
void handleSignOfLife(ForwardContext &Shared, const std::string &Run,
                      TimePoint SentAt);

/**
 * Handles a notice of a peer: requests that wait for a slot are refused if it
 * makes them known as causes of crashes.
 * @param Shared State of the traffic thread.
 * @param Notice The notice.
 */
void handleSuspectNotice(ForwardContext &Shared, const SuspectNotice &Notice);

/**
 * Checks whether the run of a back end that has just closed a connection lives
 * on. Checks of one run that are due together are made by one connection.
 * @param Shared State of the traffic thread.
 * @param Run Name of the run.
 * @param At Its address.
 * @param Done Called with the result, unless the process ends before.
 */
void confirmRunning(ForwardContext &Shared, const std::string &Run,
                    const Address &At, std::function<void(AddressCheck)> Done);

/**
 * Says whether a refused request may be sent for a trial: by one entry of the
 * fleet, once in a while.
 * @param Shared State of the traffic thread.
 * @param Request Fingerprint of the request.
 * @return True once; a trial counts from then on.
 */
bool beginTrial(ForwardContext &Shared, const Digest &Request);

} // namespace jacinthpond

#endif
