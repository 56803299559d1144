/** @file weights_func.h Decisions on fetching and loading weights. */

#ifndef JACINTHPOND_CORE_WEIGHTS_FUNC_H
#define JACINTHPOND_CORE_WEIGHTS_FUNC_H

#include "settings/settings_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Gives how long requests may still start on weights after they were replaced.
 * The rest of the time allowed for a change of weights is for stalls that are
 * too short for a process to notice (see StallGap in join.cpp), and for
 * requests that wait at a back end.
 * @param Config The settings.
 * @return Time since the replacement.
 */
Millis replacedWeightsTime(const Settings &Config);

/**
 * Says whether the loaded weights were replaced so long ago that no request may
 * start on them. Applies to engines that entries send requests to themselves.
 * @param Weights The state.
 * @param ReplacedSetTime How long requests may start on replaced weights.
 * @param Now Current time.
 * @return True once that time has passed.
 */
bool isTooOldToServe(const WeightsState &Weights, Millis ReplacedSetTime,
                     TimePoint Now);

/**
 * Records the set in the newest configuration document, and when the former one
 * was replaced.
 * @param Weights State to change.
 * @param Set The set.
 * @param Since Earliest time at which it can have been published.
 */
void recordNewestSet(WeightsState &Weights, const Digest &Set, TimePoint Since);

/**
 * Records which set the engine has loaded, and since when that set is replaced.
 * @param Weights State to change.
 * @param Set The set; empty: none.
 */
void recordLoadedSet(WeightsState &Weights, const Digest &Set);

/**
 * Sets the wanted version. The chunks of the previous one are kept until the
 * new one is loaded, as the change may be reverted; memory is bounded by two
 * sets.
 * @param Weights State to change.
 * @param Wanted The published version.
 */
void setWantedWeights(WeightsState &Weights, const ModelVersion &Wanted);

/**
 * Drops the chunks of the previously wanted set, once the wanted one is loaded.
 * @param Weights State to change.
 */
void dropPreviousChunks(WeightsState &Weights);

/**
 * Finds a slot of the engine with a content.
 * @param Weights The state.
 * @param Content The content.
 * @return Number of the slot; nothing when none is known to have it.
 */
std::optional<size_t> findSlot(const WeightsState &Weights,
                               const Digest &Content);

/**
 * Says whether a content is in memory or in a slot of the engine.
 * @param Weights The state.
 * @param Content The content.
 * @return True when it can be sent to peers.
 */
bool hasContent(const WeightsState &Weights, const Digest &Content);

/**
 * Says whether a chunk of the wanted set is where a load order needs it: in the
 * slot with its number, or in memory if the engine has no slots.
 * @param Weights The state.
 * @param n Number of the chunk.
 * @return False also when its content is only in another slot.
 */
bool isChunkInPlace(const WeightsState &Weights, size_t n);

/**
 * Says whether every chunk of the wanted set is in place.
 * @param Weights The state.
 * @return True when the set is complete.
 */
bool isWantedSetComplete(const WeightsState &Weights);

/**
 * Sends an order to the engine to load the wanted set.
 * @param Weights State to change.
 * @param Version Configuration in force; the high bits of the fencing number.
 * @param Out Effects are appended.
 */
void sendLoadOrder(WeightsState &Weights, ConfigVersion Version, Effects &Out);

/**
 * Records the end of a load order; after a failure the next one is delayed. The
 * loaded set is unknown until it is read back, as some engines ignore fencing
 * numbers and may have executed another order.
 * @param Weights State to change.
 * @param Taken False when the engine refused it or could not be reached.
 * @param Now Current time.
 */
void recordOrderEnd(WeightsState &Weights, bool Taken, TimePoint Now);

/**
 * Records that it is unknown which chunks the engine loaded at the last order.
 * Its set is not served until a later order is confirmed or the engine
 * restarts.
 * @param Weights State to change.
 */
void markOrderUnconfirmed(WeightsState &Weights);

/**
 * Records that the engine loaded the verified chunks. Nothing of earlier orders
 * is loaded then, and the engine refuses any that arrive later.
 * @param Weights State to change.
 */
void markOrderConfirmed(WeightsState &Weights);

/**
 * Gives the set that the engine has loaded from verified chunks.
 * @param Weights State to change; an engine restart clears Unconfirmed.
 * @param Run Incarnation of the engine.
 * @param Reported Set that it reports as loaded.
 * @return That set; empty when it may have been loaded from other chunks.
 */
Digest confirmedSet(WeightsState &Weights, const std::string &Run,
                    const Digest &Reported);

/**
 * Says whether requests may run on the weights that the engine has loaded.
 * @param Weights The state.
 * @return True for a published set, unless the worker drains or loads.
 */
bool mayServe(const WeightsState &Weights);

} // namespace jacinthpond

#endif
