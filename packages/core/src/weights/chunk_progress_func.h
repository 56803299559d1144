/** @file chunk_progress_func.h State of chunks and of their holders. */

#ifndef JACINTHPOND_CORE_CHUNK_PROGRESS_FUNC_H
#define JACINTHPOND_CORE_CHUNK_PROGRESS_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Says whether a chunk is in a bit set.
 * @param Bits The set; bit n%8 of byte n/8 is chunk n.
 * @param n Index of the chunk.
 * @return False also beyond the end of the set.
 */
bool hasBit(const std::vector<uint8_t> &Bits, size_t n);

/**
 * Adds a chunk to a bit set.
 * @param Bits The set; large enough.
 * @param n Index of the chunk.
 */
void setBit(std::vector<uint8_t> &Bits, size_t n);

/**
 * Says whether a peer has announced that it holds a chunk.
 * @param Peer The peer.
 * @param Set Set that the chunk belongs to.
 * @param n Index of the chunk.
 * @return False also when it announced chunks of another set.
 */
bool hasAnnounced(const ChunkPeer &Peer, const Digest &Set, size_t n);

/**
 * Says whether a linked peer that is not avoided holds a chunk.
 * @param Transfer The state.
 * @param n Index of the chunk.
 * @param NearOnly Whether only peers of this domain count.
 * @param Now Current time.
 * @return True when the chunk can be requested from a peer.
 */
bool hasUsableHolder(const TransferState &Transfer, size_t n, bool NearOnly,
                     TimePoint Now);

/**
 * Says whether chunks are requested from peers in parts.
 * @param Transfer The state.
 * @return False for whole chunks, when the rate of the own link is unknown.
 */
bool isFetchedInParts(const TransferState &Transfer);

/**
 * Finds the number that stands for a content; see TransferState::NumbersOf.
 * @param Transfer The state.
 * @param Content The content.
 * @return Its first number; nothing when it is not in the wanted set.
 */
std::optional<size_t> firstNumber(const TransferState &Transfer,
                                  const Digest &Content);

/**
 * Marks a content as available at this host or a linked agent.
 * @param Transfer State to change.
 * @param n First number of the content.
 * @param Now Current time.
 */
void markSeen(TransferState &Transfer, size_t n, TimePoint Now);

/**
 * Gives the reference of a content in a slot of the engine.
 * @param Transfer The state.
 * @param Slot Number of the slot.
 * @param Content The content.
 * @return The reference, with the model, version and origin of the wanted set.
 */
ChunkRef slotRef(const TransferState &Transfer, size_t Slot,
                 const Digest &Content);

/**
 * Gives the reference of a chunk that the origin and the engine use.
 * @param Transfer The state.
 * @param n Index of the chunk.
 * @return Its model, version, number and digest.
 */
ChunkRef chunkRef(const TransferState &Transfer, size_t n);

/**
 * Marks a chunk as being fetched from the origin or another domain, to be
 * announced to peers.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 */
void markImporting(TransferState &Transfer, size_t n);

/**
 * Cancels the request for a chunk and discards the parts received so far.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 */
void cancelChunkRequest(TransferState &Transfer, size_t n);

/**
 * Cancels all requests to a peer, so that the chunks are requested elsewhere.
 * @param Transfer State to change.
 * @param Peer The peer.
 */
void cancelPeerRequests(TransferState &Transfer, ChunkPeer &Peer);

} // namespace jacinthpond

#endif
