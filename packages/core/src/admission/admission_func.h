/** @file admission_func.h Bounds on the work of a back end. */

#ifndef JACINTHPOND_CORE_ADMISSION_FUNC_H
#define JACINTHPOND_CORE_ADMISSION_FUNC_H

#include "admission/admission_type.h"

#include <optional>
#include <vector>

namespace jacinthpond {

/**
 * The back end started, loaded weights or turned cold: the limit falls. What
 * runs goes on, but nothing starts until less than the new limit runs.
 * @param Gate State to change.
 */
void turnCold(Admission &Gate);

/**
 * The back end reported on itself, with a lag.
 * @param Gate State to change.
 * @param Running Requests that it runs.
 * @param Cold Whether it calls itself cold.
 * @param Fresh First report of this incarnation of the back end: what it runs
 *   without this process's doing is counted.
 */
void backEndReported(Admission &Gate, uint32_t Running, bool Cold, bool Fresh);

/**
 * Says whether an attempt could run now, without waiting.
 * @param Gate The state.
 * @param Kept Places that are to stay free.
 * @return True when there is room and nobody waits for it.
 */
bool runsAtOnce(const Admission &Gate, uint32_t Kept = 0);

/**
 * An attempt asks to run.
 * @param Gate State to change; the attempt counts as running or waiting.
 * @param One Who asks.
 * @param AtOnce False: it waits although there is room, for another reason.
 * @return What it may do.
 */
AdmissionAnswer askToRun(Admission &Gate, const Admittee &One,
                         bool AtOnce = true);

/** How a run ended, as far as the back end's load goes. */
enum class RunEnd : uint8_t {
  Whole,    ///< To its end; only that warms a back end.
  NotBegun, ///< The back end never had it.
  CutOff    ///< Given up here; the back end may be at it still.
};

/**
 * A running attempt ended.
 * @param Gate State to change.
 * @param Attempt Which.
 * @param How How it ended.
 * @param Took How long it ran.
 */
void runEnded(Admission &Gate, const AttemptId &Attempt, RunEnd How,
              Duration Took);

/**
 * A token came after a gap.
 * @param Gate State to change; it turns cold when the gaps say so.
 * @param Gap Time since the one before.
 * @return True when the limit fell because of it.
 */
bool tokenCame(Admission &Gate, Duration Gap);

/**
 * Takes the next waiting attempt, which then counts as running.
 * @param Gate State to change.
 * @return Who may run now, or nothing.
 */
std::optional<AttemptId> nextToRun(Admission &Gate);

/**
 * Takes an attempt out of the queue.
 * @param Gate State to change.
 * @param Attempt Which.
 * @return False when it was not waiting.
 */
bool stopWaiting(Admission &Gate, const AttemptId &Attempt);

/**
 * Lists what waits.
 * @param Gate The state.
 * @return All waiting attempts.
 */
std::vector<AttemptId> waitingAttempts(const Admission &Gate);

/**
 * Works out when a refused attempt may come back.
 * @param Gate The state.
 * @return Time in which the work ahead is done, spread a little; 0: not known.
 */
Millis timeToComeBack(const Admission &Gate);

} // namespace jacinthpond

#endif
