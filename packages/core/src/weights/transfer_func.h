/** @file transfer_func.h Exchange of chunks with peers and the origin. */

#ifndef JACINTHPOND_CORE_TRANSFER_FUNC_H
#define JACINTHPOND_CORE_TRANSFER_FUNC_H

#include "configuration/document_type.h"
#include "settings/settings_type.h"
#include "weights/transfer_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Creates the state of the exchange, without a plan and a wanted set.
 * @param Config Settings of the process.
 * @return The state.
 */
TransferState makeTransfer(const Settings &Config);

/**
 * Records whether the back end sends answers over the own link. Chunks may use
 * most of the link while it sends none.
 * @param Transfer State to change.
 * @param Idle True when no request runs at the back end.
 */
void setLinkIdle(TransferState &Transfer, bool Idle);

/**
 * Computes the digest of a chunk. Takes time in proportion to its size, so it
 * is called where the chunk is received and not on the control thread.
 * @param Bytes Content, or null.
 * @return The content with its digest.
 */
DigestedChunk digestChunk(ChunkBytes Bytes);

/**
 * Updates the plan to the published workers, and starts to fetch the wanted set
 * if it is another one.
 * @param Transfer State to change.
 * @param Weights Wanted set and held contents.
 * @param Doc The document in force.
 * @param Self Name of this host.
 * @param Now Current time.
 */
void updateTransferPlan(TransferState &Transfer, WeightsState &Weights,
                        const Document &Doc, const HostName &Self,
                        TimePoint Now);

/**
 * Adds an agent whose link is ready to the peers.
 * @param Transfer State to change.
 * @param Link The link.
 * @param Name Its published name.
 * @param SameDomain Whether it is in this host's domain.
 */
void addChunkPeer(TransferState &Transfer, LinkId Link, const HostName &Name,
                  bool SameDomain);

/**
 * Removes a peer whose link was lost, and cancels the requests to it and from
 * it.
 * @param Transfer State to change.
 * @param Link The link.
 * @param Now Current time.
 */
void removeChunkPeer(TransferState &Transfer, LinkId Link, TimePoint Now);

/**
 * Records which chunks a peer announced to hold or to be importing.
 * @param Transfer State to change.
 * @param Link Link to the peer.
 * @param Have The announcement.
 * @param Now Current time.
 */
void recordAnnouncement(TransferState &Transfer, LinkId Link,
                        const ChunkHave &Have, TimePoint Now);

/**
 * Handles the answer of a peer to a request for a chunk. A chunk with the right
 * digest is held or staged at the engine; after a wrong or empty answer the
 * peer is avoided for a while.
 * @param Transfer State to change.
 * @param Weights State that the chunk is added to.
 * @param Link Link to the peer.
 * @param Chunk The requested chunk.
 * @param Arrived What was received.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void receiveChunkFromPeer(TransferState &Transfer, WeightsState &Weights,
                          LinkId Link, const Digest &Chunk,
                          const DigestedChunk &Arrived, TimePoint Now,
                          Effects &Out);

/**
 * Handles the answer of the origin to a request for a chunk. A chunk with the
 * right digest is held or staged at the engine; otherwise it is requested again
 * after a delay.
 * @param Transfer State to change.
 * @param Weights State that the chunk is added to.
 * @param Chunk The requested chunk.
 * @param Arrived What was received.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void receiveChunkFromOrigin(TransferState &Transfer, WeightsState &Weights,
                            const Digest &Chunk, const DigestedChunk &Arrived,
                            TimePoint Now, Effects &Out);

/**
 * Requests and stages missing chunks, announces held ones and sends the chunks
 * that the rate limits allow. Called after each event and each tick.
 * @param Transfer State to change.
 * @param Weights Wanted set, held contents and slots.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void advanceTransfer(TransferState &Transfer, WeightsState &Weights,
                     TimePoint Now, Effects &Out);

/**
 * Adds a part of a chunk from a peer, and requests the next one.
 * @param Transfer State to change.
 * @param Link Link to the peer.
 * @param Data The part.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return The whole chunk, not verified, once its last part is received; an
 * empty string when the peer does not hold it; nothing otherwise.
 */
std::optional<std::string> receiveChunkPart(TransferState &Transfer,
                                            LinkId Link, const ChunkData &Data,
                                            TimePoint Now, Effects &Out);

/**
 * Copies the progress of the exchange into the load report of the worker.
 * @param Transfer The state.
 * @param Load Report whose fields on chunks are set.
 */
void describeTransfer(const TransferState &Transfer, WorkerLoad &Load);

} // namespace jacinthpond

#endif
