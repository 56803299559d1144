/** @file staging_func.h Staging of chunks at an engine, slot by slot.
 *
 * A set lists the content of each chunk by its number, and several numbers may
 * have the same content. Peers and the origin send contents, each of them once;
 * the engine needs the right content in each slot.
 */

#ifndef JACINTHPOND_CORE_STAGING_FUNC_H
#define JACINTHPOND_CORE_STAGING_FUNC_H

#include "weights/transfer_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Updates what is missing of a content after a change of where it is held.
 * @param Transfer State to change.
 * @param Weights Held contents and slots.
 * @param Content The content; ignored if it is not in the wanted set.
 * @param Now Current time.
 */
void updateContent(TransferState &Transfer, const WeightsState &Weights,
                   const Digest &Content, TimePoint Now);

/**
 * Adds a verified content to those held in memory.
 * @param Transfer State to change.
 * @param Weights State that the content is added to.
 * @param Content Its digest.
 * @param Bytes Its bytes.
 * @param Now Current time.
 */
void holdContent(TransferState &Transfer, WeightsState &Weights,
                 const Digest &Content, const ChunkBytes &Bytes, TimePoint Now);

/**
 * Drops the contents in memory that no slot needs any more. Has no effect on an
 * agent that keeps the weights itself.
 * @param Transfer The wanted set.
 * @param Weights State to change.
 */
void dropStagedContents(const TransferState &Transfer, WeightsState &Weights);

/**
 * Stages held contents in the slots that need them. Contents that are only in
 * other slots, such as those of the previous version, are read from there. Has
 * no effect on an agent that keeps the weights itself.
 * @param Transfer State to change.
 * @param Weights State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void stageChunks(TransferState &Transfer, WeightsState &Weights, TimePoint Now,
                 Effects &Out);

/**
 * Records that a content was staged in a slot, or that staging it failed.
 * @param Transfer State to change.
 * @param Weights State to change.
 * @param Chunk The slot and the content.
 * @param Staged False when the engine did not take it.
 * @param Now Current time.
 */
void recordStagedChunk(TransferState &Transfer, WeightsState &Weights,
                       const ChunkRef &Chunk, bool Staged, TimePoint Now);

/**
 * Records what was read from a slot.
 * @param Transfer State to change.
 * @param Weights State to change; bytes that are needed are held.
 * @param Read What was read.
 * @param Now Current time.
 * @return Content that was known to be in the slot before; empty: none.
 */
Digest recordSlotRead(TransferState &Transfer, WeightsState &Weights,
                      const SlotRead &Read, TimePoint Now);

/**
 * Lists the slots of missing chunks of which it is unknown what they contain.
 * @param Transfer The wanted set.
 * @param Weights The slots.
 * @return References of the chunks.
 */
std::vector<ChunkRef> unknownSlots(const TransferState &Transfer,
                                   const WeightsState &Weights);

} // namespace jacinthpond

#endif
