/** @file quarantine_func.h Requests, and parts of prompts, that were running
 * when back ends died.
 *
 * A request that crashes every back end it runs on may kill at most two. The
 * first death makes all requests that were running there suspects. A suspect
 * runs again only apart from other suspects, and is cleared when it completes.
 * It is refused on all hosts after two deaths, unless other suspects explain
 * them: they ran at these deaths and at more, or at the same two. The refusal
 * ends after a while for a single trial, and each trial that fails makes the
 * next one rarer.
 *
 * A part of a prompt that different requests share is a suspect of its own. It
 * is cleared of the deaths before an answer with it was begun, and refused
 * after three deaths at which different requests with it were running.
 * Suspicion of a part waits as long as its silence is usual here, see
 * part_history_func.h.
 */

#ifndef JACINTHPOND_CORE_QUARANTINE_FUNC_H
#define JACINTHPOND_CORE_QUARANTINE_FUNC_H

#include "admission/quarantine_type.h"
#include "base/effect_type.h"
#include "membership/membership_type.h"

#include <optional>
#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Identifies a request by a digest of its content, so that repeats are
 * recognised on every host.
 * @param Workspace Workspace of the request.
 * @param Class Class of work.
 * @param Body Body of the request.
 * @return The fingerprint.
 */
Digest fingerprintOf(const WorkspaceName &Workspace, const ClassName &Class,
                     std::string_view Body);

/**
 * Applies a notice of a death, or of a completed run that clears a suspect. A
 * death of a part with which an answer was begun here since is left out.
 * @param State State to change.
 * @param Notice The notice.
 * @param Now Current time.
 * @return True when it changed the state and has to be forwarded to peers.
 */
bool applySuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                        TimePoint Now);

/**
 * Gives how to treat a request.
 * @param State The state.
 * @param Fingerprint Fingerprint of the request.
 * @param Now Current time.
 * @return Whether it may run, must run alone or is refused.
 */
Suspicion suspicionOf(const Quarantine &State, const Digest &Fingerprint,
                      TimePoint Now);

/**
 * Clears a part of the deaths before an answer to a request with it was begun.
 * @param State State to change.
 * @param Part Digest of the part.
 * @param BegunAt When the answer was begun.
 * @param Now Current time.
 * @return The notices for the peers.
 */
std::vector<SuspectNotice> clearPart(Quarantine &State, const Digest &Part,
                                     TimePoint BegunAt, TimePoint Now);

/**
 * Says whether a request must run apart from other suspects, if it may run.
 * @param Suspected How it is to be treated.
 * @return True for a suspect that is not refused.
 */
bool mustRunAlone(Suspicion Suspected);

/**
 * Gives how much longer a request is refused.
 * @param State The state.
 * @param Fingerprint Fingerprint of the request.
 * @param Now Current time.
 * @return Time left; 0 for a request that is no suspect.
 */
Millis refusalTimeLeft(const Quarantine &State, const Digest &Fingerprint,
                       TimePoint Now);

/**
 * Clears a suspect that ran to completion: it did not cause the deaths.
 * @param State State to change.
 * @param Fingerprint Fingerprint of the request.
 * @param Now Current time.
 * @return The notices for the peers.
 */
std::vector<SuspectNotice>
clearSuspect(Quarantine &State, const Digest &Fingerprint, TimePoint Now);

/**
 * Clears a suspect that ran to completion, and notifies peers: it did not cause
 * the deaths.
 * @param State State to change.
 * @param Fingerprint Fingerprint of the request.
 * @param Fleet Links to the peers to notify.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void clearSuspect(Quarantine &State, const Digest &Fingerprint,
                  const Membership &Fleet, TimePoint Now, Effects &Out);

/**
 * Removes suspects whose last death is too long ago.
 * @param State State to change.
 * @param Now Current time.
 */
void dropExpiredSuspects(Quarantine &State, TimePoint Now);

/**
 * Sends all known suspects to a peer with a new link.
 * @param State The state.
 * @param Link The link to the peer.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendSuspects(const Quarantine &State, LinkId Link, TimePoint Now,
                  Effects &Out);

/**
 * Applies a notice, and sends it to all peers if it is news.
 * @param State State to change.
 * @param Notice The notice.
 * @param Fleet Links to the peers.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void publishSuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                          const Membership &Fleet, TimePoint Now, Effects &Out);

/**
 * Sends a notice over all ready links.
 * @param Fleet Links of this process.
 * @param Notice The message.
 * @param Only Role of the peers to send it to; empty: all peers.
 * @param Out Effects are appended.
 */
void broadcastNotice(const Membership &Fleet, const Message &Notice,
                     std::optional<Role> Only, Effects &Out);

} // namespace jacinthpond

#endif
