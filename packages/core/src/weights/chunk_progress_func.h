/** @file chunk_progress_func.h What is known of chunks and who holds them. */

#ifndef JACINTHPOND_CORE_CHUNK_PROGRESS_FUNC_H
#define JACINTHPOND_CORE_CHUNK_PROGRESS_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Reads one bit of a set of chunks.
 * @param Bits The set.
 * @param n Index of the chunk.
 * @return Whether it is in the set.
 */
bool hasBit(const std::vector<uint8_t> &Bits, size_t n);

/**
 * Adds a chunk to a set.
 * @param Bits The set; large enough.
 * @param n Index of the chunk.
 */
void setBit(std::vector<uint8_t> &Bits, size_t n);

/**
 * Says whether a peer told that it holds a chunk.
 * @param Peer The peer.
 * @param Set The set that is exchanged.
 * @param n Index of the chunk.
 * @return False also where it told of another set.
 */
bool holds(const ChunkPeer &Peer, const Digest &Set, size_t n);

/**
 * Says whether a chunk can be had from a linked peer that is trusted.
 * @param Transfer The state.
 * @param n Index of the chunk.
 * @param NearOnly Whether only this domain's peers count.
 * @param Now Current time.
 * @return Whether some peer can be asked.
 */
bool hasUsableHolder(const TransferState &Transfer, size_t n, bool NearOnly,
                     TimePoint Now);

/**
 * Says whether chunks are asked for part by part: the own link is known.
 * @param Transfer The state.
 * @return False where whole chunks are asked for.
 */
bool comesInParts(const TransferState &Transfer);

/**
 * Names a chunk for origin and engine.
 * @param Transfer The state.
 * @param n Index of the chunk.
 * @return Its model, version, number and digest.
 */
ChunkRef chunkRef(const TransferState &Transfer, size_t n);

/**
 * The chunk is being brought into this domain; peers are told.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 */
void noteComing(TransferState &Transfer, size_t n);

/**
 * Takes back that a chunk was asked for, with what came of it so far.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 */
void releaseChunk(TransferState &Transfer, size_t n);

/**
 * Takes back all that was asked of a peer, so that it is asked elsewhere.
 * @param Transfer State to change.
 * @param Peer The peer.
 */
void releaseAsked(TransferState &Transfer, ChunkPeer &Peer);

} // namespace jacinthpond

#endif
