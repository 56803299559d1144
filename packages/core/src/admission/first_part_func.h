/** @file first_part_func.h Time until the first part of an answer comes.
 *
 * A full engine reads a prompt between the steps of the answers that it writes:
 * from being sent to its first part a request takes the reading of its own
 * prompt and of those before it, and then some passes of the engine, which grow
 * with its load. The agent knows the reading and learns the rest from what
 * entries saw. So it can tell how long a request may wait for a place and still
 * be on time: one with a long prompt not at all, one with a short prompt
 * longer.
 */

#ifndef JACINTHPOND_CORE_FIRST_PART_FUNC_H
#define JACINTHPOND_CORE_FIRST_PART_FUNC_H

#include "admission/first_part_type.h"

namespace jacinthpond {

/**
 * An entry told when a first part came.
 * @param Time State to change.
 * @param Took Time since the place was given.
 * @param Reading Prompts to be read when it was given, its own included.
 */
void firstPartSeen(FirstPartTime &Time, Duration Took, Duration Reading);

/**
 * Gives the time in which four of five first parts come.
 * @param Time The state.
 * @param Reading Prompts to be read before, the own one included.
 * @return The time from being given a place.
 */
Duration firstPartAfter(const FirstPartTime &Time, Duration Reading);

} // namespace jacinthpond

#endif
