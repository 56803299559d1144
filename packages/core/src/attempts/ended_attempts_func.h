/** @file ended_attempts_func.h Record of ended attempts.
 *
 * It guards against two failures. An AttemptStart that arrives twice, or after
 * its attempt was refused as not run, would run although the caller was told
 * otherwise. And when a link fails silently, the end of an answer is lost with
 * it; the entry then asks for it over the next link.
 */

#ifndef JACINTHPOND_CORE_ENDED_ATTEMPTS_FUNC_H
#define JACINTHPOND_CORE_ENDED_ATTEMPTS_FUNC_H

#include "attempts/ended_attempts_type.h"

namespace jacinthpond {

/** Attempts in the record at most; above it those that expire first go. */
constexpr size_t MaxEndedAttempts = 20000;
/** Bytes of answers in the record at most; above it answers that expire first
 * are dropped. */
constexpr size_t MaxEndedBytes = size_t{16} << 20U;
/**
 * How long an attempt is kept after its deadline. Entries ask for it only until
 * the deadline and for some seconds after a lost link, and a message is under
 * way no longer than a link may be silent. A minute is longer than both.
 */
constexpr Millis EndedRetention{60000};

/**
 * Adds an ended attempt to the record, or replaces it there.
 * @param Ended The record.
 * @param Which The attempt.
 * @param One How it ended and when it is to be forgotten.
 * @param Now Current time.
 */
void rememberEnded(EndedAttempts &Ended, const AttemptId &Which,
                   EndedAttempt One, TimePoint Now);

/**
 * Removes attempts whose time to be forgotten has come.
 * @param Ended The record.
 * @param Now Current time.
 */
void expireEnded(EndedAttempts &Ended, TimePoint Now);

/**
 * Says whether an attempt that is not in the record was certainly never seen.
 * @param Ended The record.
 * @param Now Current time.
 * @return False while attempts are missing that were removed before their time
 *   for lack of space.
 */
bool hasAllEndedAttempts(const EndedAttempts &Ended, TimePoint Now);

} // namespace jacinthpond

#endif
