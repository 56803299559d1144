/** @file place_search_func.h Looking for a back end that can begin at once.
 *
 * An entry hears of the load of a back end every half second, while a prompt is
 * read in 20 to 100 ms: what it believes about prompts that wait to be read is
 * always out of date. So it asks, and takes a busy back end only after it found
 * no idle one. A back end reads for about a third of its time at full load, so
 * that the third one that is asked is nearly always idle.
 */

#ifndef JACINTHPOND_CORE_PLACE_SEARCH_FUNC_H
#define JACINTHPOND_CORE_PLACE_SEARCH_FUNC_H

#include "base/time_type.h"
#include "forwarding/place_search_type.h"
#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Says whether another agent may be asked.
 * @param Search The state.
 * @return False once enough of them were asked.
 */
bool mayAskMore(const PlaceSearch &Search);

/**
 * Gives what the next back end may still have to read.
 * @param Search The state.
 * @return The time that it takes; 0: any, and the request may wait there.
 */
Millis mostReading(const PlaceSearch &Search);

/**
 * Another agent is asked.
 * @param Search State to change.
 */
void placeAsked(PlaceSearch &Search);

/**
 * The agent that was asked last has no place.
 * @param Search State to change.
 * @param Needs State to change: the back end is not chosen again for now.
 * @param Id Which back end.
 * @param OnlyBusy Whether it might take the request later.
 */
void placeRefused(PlaceSearch &Search, ServerNeeds &Needs, const InstanceId &Id,
                  bool OnlyBusy);

/**
 * Nobody is idle: those that were passed over for being busy count again.
 * @param Search State to change.
 * @param Needs State to change.
 * @return Whether there are any.
 */
bool takeBusyOnes(PlaceSearch &Search, ServerNeeds &Needs);

} // namespace jacinthpond

#endif
