/** @file ended_attempts_func.h Memory of ended attempts.
 *
 * It answers two failures. A start that arrives twice, or after its attempt
 * was refused as not run, would run although the caller was told otherwise.
 * A link that goes silent takes the end of an answer with it, and the entry
 * asks for it over the next link.
 */

#ifndef JACINTHPOND_CORE_ENDED_ATTEMPTS_FUNC_H
#define JACINTHPOND_CORE_ENDED_ATTEMPTS_FUNC_H

#include "attempts/ended_attempts_type.h"

namespace jacinthpond {

/** Attempts remembered at most. */
constexpr size_t MaxEndedAttempts = 20000;
/** Bytes of answers remembered at most; above it the oldest lose theirs. */
constexpr size_t MaxEndedBytes = size_t{16} << 20U;
/**
 * How long an attempt is remembered after its deadline. An entry asks only
 * before its call's deadline and for seconds after a link was lost, and a start
 * can be under way no longer than a link may be silent: a minute is above both.
 */
constexpr Millis EndedKeep{60000};

/**
 * Remembers an attempt that ended; it replaces what was known of it.
 * @param Ended Memory to change.
 * @param Which The attempt.
 * @param One How it ended; Forget says until when it is kept.
 * @param Now Current time.
 */
void rememberEnded(EndedAttempts &Ended, const AttemptId &Which,
                   EndedAttempt One, TimePoint Now);

/**
 * Forgets what is past its time.
 * @param Ended Memory to change.
 * @param Now Current time.
 */
void expireEnded(EndedAttempts &Ended, TimePoint Now);

/**
 * Says whether an attempt that is not remembered was never seen.
 * @param Ended The memory.
 * @param Now Current time.
 * @return False when attempts were forgotten early for lack of space.
 */
bool endedIsComplete(const EndedAttempts &Ended, TimePoint Now);

} // namespace jacinthpond

#endif
