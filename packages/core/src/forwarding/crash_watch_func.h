/** @file crash_watch_func.h Telling crashes of back ends from lost answers.
 *
 * An answer that breaks off is no crash: answers get lost, connections are
 * reset, hosts stand still. The run has crashed if its address refuses
 * connections soon afterwards. Then the requests that were under way there are
 * suspects for the quarantine.
 */

#ifndef JACINTHPOND_CORE_FORWARDING_CRASH_WATCH_FUNC_H
#define JACINTHPOND_CORE_FORWARDING_CRASH_WATCH_FUNC_H

#include "admission/quarantine_type.h"
#include "configuration/document_type.h"
#include "forwarding/crash_watch_type.h"
#include "wire/message_type.h"

#include <vector>

namespace jacinthpond {

/** Time after an answer broke off at which the address is checked. A crashed
 * back end needs longer to come back. */
constexpr Millis AddressCheckDelay{100};

/**
 * Names a run of a back end, the same on all hosts.
 * @param Server The back end.
 * @return Its id and start.
 */
std::string runName(const BackEndServer &Server);

/**
 * Records that the answer to a request broke off.
 * @param Watch State to change.
 * @param Run Name of the run of the back end.
 * @param Request Fingerprint of the request.
 * @param Now Current time.
 * @return True if the address of the back end has to be checked.
 */
bool recordBrokenAnswer(CrashWatch &Watch, const std::string &Run,
                        const Digest &Request, TimePoint Now);

/**
 * Records the parts of a prompt to which no answer had begun when it broke off.
 * @param Watch State to change.
 * @param Run Name of the run; its broken answer is recorded already.
 * @param Request The request.
 */
void recordUnbegunParts(CrashWatch &Watch, const std::string &Run,
                        const RequestDigests &Request);

/**
 * Records the result of a check.
 * @param Watch State to change.
 * @param Run Name of the run.
 * @param Result What came of it.
 */
void recordAddressCheck(CrashWatch &Watch, const std::string &Run,
                        AddressCheck Result);

/**
 * Records that a run answered a request that was sent after it seemed to have
 * crashed.
 * @param Watch State to change.
 * @param Run Name of the run.
 * @param SentAt When that request was sent.
 * @param Now Current time.
 * @return Notices that withdraw the suspicion.
 */
std::vector<SuspectNotice> recordSignOfLife(CrashWatch &Watch,
                                            const std::string &Run,
                                            TimePoint SentAt, TimePoint Now);

/**
 * Forgets a request that ran to completion: it caused none of the crashes that
 * were not announced yet.
 * @param Watch State to change.
 * @param Request Fingerprint of the request.
 */
void forgetCompleted(CrashWatch &Watch, const Digest &Request);

/**
 * Forgets a part with which an answer was begun: it caused none of the crashes
 * before that were not announced yet.
 * @param Watch State to change.
 * @param Part Digest of the part.
 * @param BegunAt When the answer was begun.
 */
void forgetBegun(CrashWatch &Watch, const Digest &Part, TimePoint BegunAt);

/**
 * Takes the suspects that peers have to be told of. Where many back ends crash
 * together, only those that were under way at two of them are suspects. Parts
 * whose silence is usual here are kept back.
 * @param Watch State to change.
 * @param Now Current time.
 * @param Seen Parts with which answers were begun here.
 * @return The notices.
 */
std::vector<SuspectNotice> takeCrashNotices(CrashWatch &Watch, TimePoint Now,
                                            const PartHistory &Seen = {});

/**
 * Says whether a request was under way at a run that may have crashed.
 * @param Watch The state.
 * @param Request Fingerprint of the request.
 * @return True as long as that is not decided, or not announced.
 */
bool isUnderWatch(const CrashWatch &Watch, const Digest &Request);

/**
 * Gives how to treat a request, known suspects and undecided runs together.
 * @param Suspects Known suspects.
 * @param Watch Runs that may have crashed.
 * @param Request Fingerprint of the request, or of a part.
 * @param Now Current time.
 * @return As for a known suspect; RunAlone while it is under watch.
 */
Suspicion suspicionOf(const Quarantine &Suspects, const CrashWatch &Watch,
                      const Digest &Request, TimePoint Now);

/**
 * Gives how to treat a request for its content and for the parts of its prompt.
 * @param Suspects Known suspects.
 * @param Watch Runs that may have crashed.
 * @param Request The request.
 * @param Now Current time.
 * @return The strictest treatment; of equal ones that for the suspect with the
 * most deaths.
 */
Verdict verdictOn(const Quarantine &Suspects, const CrashWatch &Watch,
                  const RequestDigests &Request, TimePoint Now);

/**
 * Forgets what happened too long ago.
 * @param Watch State to change.
 * @param Now Current time.
 */
void dropOldRuns(CrashWatch &Watch, TimePoint Now);

} // namespace jacinthpond

#endif
