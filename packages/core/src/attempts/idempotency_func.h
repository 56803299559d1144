/** @file idempotency_func.h Decisions of a home about non-repeatable calls. */

#ifndef JACINTHPOND_CORE_IDEMPOTENCY_FUNC_H
#define JACINTHPOND_CORE_IDEMPOTENCY_FUNC_H

#include "attempts/idempotency_type.h"

namespace jacinthpond {

/** Length of an epoch; tokens are good for one to two of them. */
constexpr Millis KeyEpochLength{600000};
/**
 * How long a key that was refused without a token stays refused. A late start
 * of the same key can be under way no longer than a link may be silent; after
 * that only the caller's own next try can come.
 */
constexpr Millis RefusedHold{3000};
/** Keys remembered at most; above it new keys are told to come back. */
constexpr size_t MaxKeyRecords = 200000;
/** Bytes of answers remembered at most; above it the oldest are lost. */
constexpr size_t MaxAnswerBytes = size_t{32} << 20U;
/** Incarnations of one process whose tokens are good; a pause makes a new one.
 */
constexpr size_t MaxRuns = 64;
/** Past lists remembered; above it every key counts as new to this home. */
constexpr size_t MaxPastLists = 64;

/**
 * Sets up an empty memory.
 * @param Now Current time.
 * @return It vouches for keys without a token after the retry horizon.
 */
KeyBook makeKeyBook(TimePoint Now);

/**
 * Decides what happens to a keyed call.
 * @param Book The home's memory.
 * @param Doc Document in force.
 * @param Self Published name of this worker.
 * @param Asked The call.
 * @param Now Current time.
 * @return The verdict; the memory is as before.
 */
KeyVerdict judgeKey(const KeyBook &Book, const Document &Doc,
                    const HostName &Self, const KeyAsked &Asked, TimePoint Now);

/**
 * Remembers a key that is about to wait or run.
 * @param Book Memory to change.
 * @param Doc Document in force.
 * @param Asked The call.
 * @param First Its attempt.
 * @param Now Current time.
 * @return The record.
 */
KeyRecord &openKey(KeyBook &Book, const Document &Doc, const KeyAsked &Asked,
                   const AttemptId &First, TimePoint Now);

/**
 * A key has its outcome; its record stays until it is forgotten.
 * @param Book Memory to change.
 * @param Key Which key.
 * @param Answer The answer; none: it may have run.
 * @return Attempts that wait for the outcome.
 */
std::vector<AttemptId> closeKey(KeyBook &Book, const KeyName &Key,
                                const std::optional<ServiceAnswer> &Answer);

/**
 * A key did not run and never will under its token.
 * @param Book Memory to change.
 * @param Key Which key.
 * @param Now Current time.
 * @return Attempts that wait for the outcome.
 */
std::vector<AttemptId> refuseKey(KeyBook &Book, const KeyName &Key,
                                 TimePoint Now);

/**
 * Another document came into force.
 * @param Book Memory to change.
 * @param Before The one in force until now; may be null.
 * @param Now Current time.
 */
void keepPastList(KeyBook &Book, const DocumentPtr &Before, TimePoint Now);

/**
 * Forgets what is past its time and begins a new epoch when it is due.
 * @param Book Memory to change.
 * @param Run Incarnation of this process; a pause changes it.
 * @param Now Current time.
 */
void expireKeys(KeyBook &Book, Incarnation Run, TimePoint Now);

/**
 * How long after its first try a key may still come without a token.
 * @param Doc Document in force.
 * @param Key Which key.
 * @return Retry horizon and the class's deadline together.
 */
Millis horizonOf(const Document &Doc, const KeyName &Key);

} // namespace jacinthpond

#endif
