/** @file quarantine_func.h Requests that were running when back ends died.
 *
 * A request that crashes each back end that runs it costs two of them: the
 * first death makes everything that ran there a suspect, each suspect runs
 * again only alone, and the one that dies again is refused everywhere.
 */

#ifndef JACINTHPOND_CORE_QUARANTINE_FUNC_H
#define JACINTHPOND_CORE_QUARANTINE_FUNC_H

#include "admission/quarantine_type.h"
#include "base/effect_type.h"
#include "membership/membership_type.h"

#include <optional>
#include <string_view>

namespace jacinthpond {

/**
 * Names a request by its content, so that it is known however often and
 * wherever it is sent again.
 * @param Tenant Whose.
 * @param Class Class of work.
 * @param Body Its body.
 * @return The fingerprint.
 */
Digest fingerprintOf(const TenantName &Tenant, const ClassName &Class,
                     std::string_view Body);

/**
 * Takes a notice of a death.
 * @param State State to change.
 * @param Notice What was told.
 * @param Now Current time.
 * @return True when it was news and is to be passed on.
 */
bool noteSuspect(Quarantine &State, const SuspectNotice &Notice, TimePoint Now);

/**
 * Says how a request is to be treated.
 * @param State The state.
 * @param Fingerprint The request.
 * @param Now Current time.
 * @return What to do with it.
 */
Suspicion suspicionOf(const Quarantine &State, const Digest &Fingerprint,
                      TimePoint Now);

/**
 * Works out how long a request is refused yet.
 * @param State The state.
 * @param Fingerprint The request.
 * @param Now Current time.
 * @return Time left.
 */
Millis refusedFor(const Quarantine &State, const Digest &Fingerprint,
                  TimePoint Now);

/**
 * A request ran whole: it was there at a death by accident.
 * @param State State to change.
 * @param Fingerprint The request.
 * @param Fleet Peers that are told.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void clearSuspect(Quarantine &State, const Digest &Fingerprint,
                  const Membership &Fleet, TimePoint Now, Effects &Out);

/**
 * Forgets suspects whose last death is long past.
 * @param State State to change.
 * @param Now Current time.
 */
void forgetSuspects(Quarantine &State, TimePoint Now);

/**
 * Tells a peer whose link is new all that is known.
 * @param State The state.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void tellSuspects(const Quarantine &State, LinkId Link, TimePoint Now,
                  Effects &Out);

/**
 * Tells a notice to peers.
 * @param Fleet Links of this process.
 * @param Notice What to tell.
 * @param Only Which peers; all without it.
 * @param Out Effects are appended.
 */
void spreadNotice(const Membership &Fleet, const Message &Notice,
                  std::optional<Role> Only, Effects &Out);

} // namespace jacinthpond

#endif
