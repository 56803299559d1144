/** @file weights_func.h Decisions on fetching and loading weights. */

#ifndef JACINTHPOND_CORE_WEIGHTS_FUNC_H
#define JACINTHPOND_CORE_WEIGHTS_FUNC_H

#include "settings/settings_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Gives how long requests may begin on weights after others were published. The
 * rest of the allowed time is for what a process cannot know (stalls that are
 * too short to be noticed, see StallGap in join.cpp) and for requests that wait
 * at a back end.
 * @param Config The settings.
 * @return The time.
 */
Millis formerWeightsTime(const Settings &Config);

/**
 * Says whether no request may begin any more on the weights that are loaded,
 * where entries send requests to the engine themselves.
 * @param Weights The state.
 * @param FormerTime How long requests may begin on replaced weights.
 * @param Now Current time.
 * @return True once they were replaced that long ago.
 */
bool isTooOldToServe(const WeightsState &Weights, Millis FormerTime,
                     TimePoint Now);

/**
 * A document names the newest set.
 * @param Weights State to change.
 * @param Set The set.
 * @param Since Since when it may have been published.
 */
void noteNewest(WeightsState &Weights, const Digest &Set, TimePoint Since);

/**
 * The engine has loaded a set.
 * @param Weights State to change.
 * @param Set The set; empty: nothing.
 */
void noteLoaded(WeightsState &Weights, const Digest &Set);

/**
 * Follows the published version. The chunks of the version wanted until now
 * are kept beside its own until it is loaded, since it may be taken back; so
 * the memory for chunks is bounded by two sets.
 * @param Weights State to change.
 * @param Wanted The published version.
 */
void wantWeights(WeightsState &Weights, const ModelVersion &Wanted);

/**
 * Forgets the chunks of the set wanted before, once the wanted one is loaded.
 * @param Weights State to change.
 */
void dropFormerChunks(WeightsState &Weights);

/**
 * Says whether every chunk of the wanted set is held.
 * @param Weights The state.
 * @return True when the set is whole.
 */
bool wholeSetHeld(const WeightsState &Weights);

/**
 * Orders the engine to load the wanted set.
 * @param Weights State to change.
 * @param Version Configuration in force, the high part of the fencing number.
 * @param Out Effects are appended.
 */
void orderLoad(WeightsState &Weights, ConfigVersion Version, Effects &Out);

/**
 * A load order ended. What the engine has loaded counts only once it was read
 * back: some engines ignore fencing numbers and may have taken another order.
 * @param Weights State to change.
 * @param Taken False when the engine refused it or could not be reached.
 * @param Now Current time.
 */
void orderEnded(WeightsState &Weights, bool Taken, TimePoint Now);

/**
 * Nothing shows which chunks the engine took at the last order: its set is not
 * served until a later order is confirmed or the engine restarts.
 * @param Weights State to change.
 */
void orderUnconfirmed(WeightsState &Weights);

/**
 * The engine took the chunks that were checked. It holds nothing of earlier
 * orders, and refuses those that it reads later.
 * @param Weights State to change.
 */
void orderConfirmed(WeightsState &Weights);

/**
 * Gives the set that an engine is known to hold.
 * @param Weights State to change; a restart of the engine is noted.
 * @param Run Incarnation of the engine.
 * @param Reported Set that it says it has loaded.
 * @return That set; empty when it may have been made of other chunks.
 */
Digest confirmedSet(WeightsState &Weights, const std::string &Run,
                    const Digest &Reported);

/**
 * Says whether answers may be produced from what the engine has loaded.
 * @param Weights The state.
 * @return True for a whole set that was published.
 */
bool mayServe(const WeightsState &Weights);

} // namespace jacinthpond

#endif
