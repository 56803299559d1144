/** @file idempotency_func.h Makes a home run each keyed call at most once. */

#ifndef JACINTHPOND_CORE_IDEMPOTENCY_FUNC_H
#define JACINTHPOND_CORE_IDEMPOTENCY_FUNC_H

#include "attempts/idempotency_type.h"

namespace jacinthpond {

/** Length of an epoch; a token is valid for one to two epochs. */
constexpr Millis KeyEpochLength{600000};
/**
 * How long a key that was refused without a token stays refused. A delayed
 * start of the same key can arrive only within the silence limit of a link; any
 * later one is a new call by the caller.
 */
constexpr Millis RefusedKeyHold{3000};
/** Limit of records; above it callers with new keys are told to try later. */
constexpr size_t MaxKeyRecords = 200000;
/** Limit of the bytes of stored answers; above it the oldest are dropped. */
constexpr size_t MaxAnswerBytes = size_t{32} << 20U;
/**
 * Limit of incarnations whose tokens are valid; each pause of the process
 * makes a new incarnation.
 */
constexpr size_t MaxIncarnations = 64;
/**
 * Limit of past documents; above it the oldest is dropped, and calls
 * from before it was replaced count as unrecorded.
 */
constexpr size_t MaxPastDocuments = 64;

/**
 * Creates an empty store.
 * @param Now Current time.
 * @return The store; calls without a token are run only after the retry
 * horizon.
 */
KeyStore makeKeyStore(TimePoint Now);

/**
 * Decides whether a home runs, answers or refuses a keyed call.
 * @param Store The home's store; not changed.
 * @param Doc Document in force.
 * @param Self Published name of this worker.
 * @param Request The call.
 * @param Now Current time.
 * @return What to do with the call.
 */
KeyDecision decideKeyedCall(const KeyStore &Store, const Document &Doc,
                            const HostName &Self, const KeyedRequest &Request,
                            TimePoint Now);

/**
 * Adds the record of a keyed call that is about to be queued or run; replaces
 * one that the key may have.
 * @param Store Store to change.
 * @param Doc Document in force.
 * @param Request The call.
 * @param First Attempt that runs the call.
 * @param Now Current time.
 * @return The record.
 */
KeyRecord &addKeyRecord(KeyStore &Store, const Document &Doc,
                        const KeyedRequest &Request, const AttemptId &First,
                        TimePoint Now);

/**
 * Marks a key as done and stores its answer. Drops the oldest answers above
 * MaxAnswerBytes.
 * @param Store Store to change.
 * @param Key The key.
 * @param Answer The answer; none when the call may have run but its answer is
 * lost.
 * @return Attempts that wait for the outcome.
 */
std::vector<AttemptId> completeKey(KeyStore &Store, const KeyName &Key,
                                   const std::optional<ServiceAnswer> &Answer);

/**
 * Marks a key as refused: it did not run, and never will with its token.
 * @param Store Store to change.
 * @param Key The key.
 * @param Now Current time.
 * @return Attempts that wait for the outcome.
 */
std::vector<AttemptId> refuseKey(KeyStore &Store, const KeyName &Key,
                                 TimePoint Now);

/**
 * Records the document that has just been replaced.
 * @param Store Store to change.
 * @param Before The replaced document; may be null.
 * @param Now Current time.
 */
void recordPastDocument(KeyStore &Store, const DocumentPtr &Before,
                        TimePoint Now);

/**
 * Removes expired records and documents, and begins a new epoch when it is due.
 * @param Store Store to change.
 * @param Run Incarnation of this process; a pause changes it.
 * @param Now Current time.
 */
void expireKeys(KeyStore &Store, Incarnation Run, TimePoint Now);

/**
 * Gives the time after its first call during which a key without a token may
 * still be repeated.
 * @param Doc Document in force.
 * @param Key The key.
 * @return Retry horizon plus the deadline of the class.
 */
Millis keyRetryHorizon(const Document &Doc, const KeyName &Key);

} // namespace jacinthpond

#endif
