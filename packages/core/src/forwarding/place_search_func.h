/** @file place_search_func.h Searching for a back end with a short prefill
 * backlog.
 *
 * A back end reports its load every half second, while the prefill of a prompt
 * takes 20 to 100 ms, so an entry's view of the backlog is always out of date.
 * An entry therefore asks the agents of several back ends for a slot, and
 * accepts a busy back end only after it found no idle one. At full load a back
 * end spends about a third of its time on prefill, so one of the first three
 * that are asked is nearly always idle.
 */

#ifndef JACINTHPOND_CORE_PLACE_SEARCH_FUNC_H
#define JACINTHPOND_CORE_PLACE_SEARCH_FUNC_H

#include "base/time_type.h"
#include "forwarding/place_search_type.h"
#include "forwarding/server_pool_type.h"

namespace jacinthpond {

/**
 * Begins a new search: agents that refused before may have slots now.
 * @param Search State to change.
 * @param Needs State to change: no back end counts as full any more.
 * @param SpareOnly Whether to ask only for slots that are free at once. For a
 * request whose answer may still go on: it must not delay others.
 */
void restartSearch(SlotSearch &Search, ServerNeeds &Needs, bool SpareOnly);

/**
 * Records that a search found no slot, and sets when the next one may begin.
 * The delay doubles up to a limit and is randomized: requests that fell silent
 * together don't ask together.
 * @param Search State to change.
 * @param Now Current time.
 * @param Random State of the random generator.
 */
void recordFailedSearch(SlotSearch &Search, TimePoint Now, uint64_t &Random);

/**
 * Says whether another agent may be asked for a slot.
 * @param Search The state.
 * @return False once the limit of slot requests is reached.
 */
bool mayRequestMoreSlots(const SlotSearch &Search);

/**
 * Gives the longest prefill backlog that the next back end may have.
 * @param Search The state.
 * @return The time that the backlog takes; 0: any, and the request may wait
 * there.
 */
Millis maxPrefillBacklog(const SlotSearch &Search);

/**
 * Counts a slot request that is sent to an agent.
 * @param Search State to change.
 */
void recordSlotRequest(SlotSearch &Search);

/**
 * Records that the last agent that was asked refused a slot.
 * @param Search State to change.
 * @param Needs State to change: the back end is excluded for now.
 * @param Id Instance of the back end.
 * @param OnlyBusy Whether it may still accept the request once it is less busy.
 */
void recordSlotRefusal(SlotSearch &Search, ServerNeeds &Needs,
                       const InstanceId &Id, bool OnlyBusy);

/**
 * Ends the search for an idle back end: those that refused only because they
 * were busy become candidates again. Does nothing where only spare slots are
 * wanted.
 * @param Search State to change.
 * @param Needs State to change.
 * @return Whether there are any.
 */
bool reconsiderBusyServers(SlotSearch &Search, ServerNeeds &Needs);

} // namespace jacinthpond

#endif
