/** @file first_part_func.h Time until the first part of an answer arrives.
 *
 * A loaded engine reads prompts between the decoding steps of other answers.
 * The time from sending a request to the first part of its answer consists of
 * reading its own prompt and those before it, and of some passes of the engine,
 * which take longer under load. The agent knows the reading time and estimates
 * the rest from the times that entries report. From both it derives how long a
 * request may wait for a slot and still meet its target: the longer its prompt,
 * the shorter the wait.
 */

#ifndef JACINTHPOND_CORE_FIRST_PART_FUNC_H
#define JACINTHPOND_CORE_FIRST_PART_FUNC_H

#include "admission/first_part_type.h"

namespace jacinthpond {

/**
 * Records the time to the first part of an answer, as reported by an entry.
 * @param Time State to change.
 * @param Took Time since the slot was granted.
 * @param Reading Time to read the prompts queued then, its own included.
 */
void recordFirstPart(FirstPartTime &Time, Duration Took, Duration Reading);

/**
 * Estimates the time to the first part of an answer; about four in five arrive
 * within it.
 * @param Time The state.
 * @param Reading Time to read the prompts queued before, its own included.
 * @return The time since the slot was granted.
 */
Duration expectedFirstPartTime(const FirstPartTime &Time, Duration Reading);

} // namespace jacinthpond

#endif
