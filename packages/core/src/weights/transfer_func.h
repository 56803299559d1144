/** @file transfer_func.h Exchange of chunks with peers and the origin. */

#ifndef JACINTHPOND_CORE_TRANSFER_FUNC_H
#define JACINTHPOND_CORE_TRANSFER_FUNC_H

#include "configuration/document_type.h"
#include "settings/settings_type.h"
#include "weights/transfer_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Sets up the exchange.
 * @param Config Settings of the process.
 * @return The state.
 */
TransferState makeTransfer(const Settings &Config);

/**
 * Digests a chunk. Costs time in proportion to its size, so it is called
 * where the chunk arrives and not on the control thread.
 * @param Bytes Content, or null.
 * @return The content with its digest.
 */
CheckedChunk checkChunk(ChunkBytes Bytes);

/**
 * Follows the published workers and the wanted set.
 * @param Transfer State to change.
 * @param Weights Wanted set and held chunks.
 * @param Doc The document in force.
 * @param Self Name of this host.
 * @param Now Current time.
 */
void planTransfer(TransferState &Transfer, const WeightsState &Weights,
                  const Document &Doc, const HostName &Self, TimePoint Now);

/**
 * An agent said hello.
 * @param Transfer State to change.
 * @param Link Over which link.
 * @param Name Its published name.
 * @param SameDomain Whether it is in this host's domain.
 */
void chunkPeerReady(TransferState &Transfer, LinkId Link, const HostName &Name,
                    bool SameDomain);

/**
 * A link is gone; what was asked over it is asked elsewhere.
 * @param Transfer State to change.
 * @param Link Which link.
 * @param Now Current time.
 */
void chunkPeerGone(TransferState &Transfer, LinkId Link, TimePoint Now);

/**
 * A peer tells which chunks it holds.
 * @param Transfer State to change.
 * @param Link Over which link.
 * @param Have What it said.
 * @param Now Current time.
 */
void chunkHaveHeard(TransferState &Transfer, LinkId Link, const ChunkHave &Have,
                    TimePoint Now);

/**
 * A peer's answer to a request arrived.
 * @param Transfer State to change.
 * @param Weights The chunk is added where it is good and wanted.
 * @param Link Over which link.
 * @param Chunk Which chunk was asked for.
 * @param Came What came.
 * @param Now Current time.
 */
void chunkFromPeer(TransferState &Transfer, WeightsState &Weights, LinkId Link,
                   const Digest &Chunk, const CheckedChunk &Came, TimePoint Now,
                   Effects &Out);

/**
 * The origin's answer to a request arrived.
 * @param Transfer State to change.
 * @param Weights The chunk is added where it is good and wanted.
 * @param Chunk Which chunk was asked for.
 * @param Came What came.
 * @param Now Current time.
 */
void chunkFromOrigin(TransferState &Transfer, WeightsState &Weights,
                     const Digest &Chunk, const CheckedChunk &Came,
                     TimePoint Now, Effects &Out);

/**
 * Asks for missing chunks, tells peers what is held and sends what the rate
 * allows. Called after each event and each tick.
 * @param Transfer State to change.
 * @param Weights Wanted set and held chunks.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void moveChunks(TransferState &Transfer, const WeightsState &Weights,
                TimePoint Now, Effects &Out);

/**
 * A part of a chunk came from a peer; the next one is asked for.
 * @param Transfer State to change.
 * @param Link Over which link.
 * @param Data The part.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return The whole chunk, unchecked, once its last part is in; empty when the
 *         peer does not hold it.
 */
std::optional<std::string> partFromPeer(TransferState &Transfer, LinkId Link,
                                        const ChunkData &Data, TimePoint Now,
                                        Effects &Out);

/**
 * A chunk was staged at the engine, or was found there.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Chunk Which chunk.
 * @param Staged False when the engine did not take it.
 * @param Now Current time.
 */
void chunkStaged(TransferState &Transfer, WeightsState &Weights,
                 const ChunkRef &Chunk, bool Staged, TimePoint Now);

/**
 * What lies staged of a chunk is damaged: it is fetched again.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Chunk Which chunk.
 */
void chunkSpoilt(TransferState &Transfer, WeightsState &Weights,
                 const Digest &Chunk);

/**
 * Names all chunks of the wanted set that are missing.
 * @param Transfer The state.
 * @return The chunks.
 */
std::vector<ChunkRef> missingChunks(const TransferState &Transfer);

/**
 * Tells how far the exchange has come.
 * @param Transfer The state.
 * @param Load Its fields about chunks are set.
 */
void describeTransfer(const TransferState &Transfer, WorkerLoad &Load);

} // namespace jacinthpond

#endif
