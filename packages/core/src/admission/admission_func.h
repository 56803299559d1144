/** @file admission_func.h Admission control for one back end. */

#ifndef JACINTHPOND_CORE_ADMISSION_FUNC_H
#define JACINTHPOND_CORE_ADMISSION_FUNC_H

#include "admission/admission_type.h"

#include <optional>
#include <vector>

namespace jacinthpond {

/**
 * Lowers the limit to the cold limit, after the back end started, loaded
 * weights or turned cold. Running attempts continue, but none starts until
 * fewer than the new limit are running.
 * @param Gate State to change.
 */
void applyColdLimit(Admission &Gate);

/**
 * Applies a load report of the back end, which may be out of date.
 * @param Gate State to change.
 * @param Running Requests that the back end says it runs.
 * @param Cold Whether it says that it is cold.
 * @param Fresh First report of this incarnation of the back end: requests that
 *   this process did not start count towards the limit.
 */
void applyBackEndReport(Admission &Gate, uint32_t Running, bool Cold,
                        bool Fresh);

/**
 * Says whether a new attempt could run now, without queueing.
 * @param Gate The state.
 * @param Kept Slots that must stay free.
 * @return True when a slot is free and no attempt is queued.
 */
bool canRunNow(const Admission &Gate, uint32_t Kept = 0);

/**
 * Admits, queues or refuses an attempt.
 * @param Gate State to change; the attempt is counted as running or queued.
 * @param One The attempt.
 * @param AtOnce False: it is queued even if a slot is free.
 * @return The decision, with a retry time for a refusal.
 */
AdmissionResult requestAdmission(Admission &Gate, const AdmissionRequest &One,
                                 bool AtOnce = true);

/** How a run ended, with regard to the load of the back end. */
enum class RunEnd : uint8_t {
  Complete,   ///< Completed; only completed runs warm a back end.
  NotStarted, ///< It never reached the back end.
  Abandoned   ///< Given up here; the back end may still run it.
};

/**
 * Records the end of a running attempt and frees its slot.
 * @param Gate State to change.
 * @param Attempt The attempt.
 * @param How How it ended.
 * @param Took How long it ran.
 */
void recordRunEnd(Admission &Gate, const AttemptId &Attempt, RunEnd How,
                  Duration Took);

/**
 * Records the gap before a token, and lowers the limit when recent gaps show
 * that the back end is cold.
 * @param Gate State to change.
 * @param Gap Time since the previous token.
 * @return True when the limit was lowered.
 */
bool recordTokenGap(Admission &Gate, Duration Gap);

/**
 * Dequeues the next attempt that may run, and counts it as running.
 * @param Gate State to change.
 * @return The attempt, or nothing when none may run now.
 */
std::optional<AttemptId> admitNext(Admission &Gate);

/**
 * Removes an attempt from the queue.
 * @param Gate State to change.
 * @param Attempt The attempt.
 * @return False when it was not queued.
 */
bool removeWaiting(Admission &Gate, const AttemptId &Attempt);

/**
 * Lists the queued attempts.
 * @param Gate The state.
 * @return Those that may run with others, then those that must run alone.
 */
std::vector<AttemptId> waitingAttempts(const Admission &Gate);

/**
 * Estimates when a refused attempt should be retried.
 * @param Gate The state.
 * @return Time until the queued work has started; 0: unknown.
 */
Millis estimateRetryAfter(const Admission &Gate);

} // namespace jacinthpond

#endif
