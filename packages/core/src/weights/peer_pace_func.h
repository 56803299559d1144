/** @file peer_pace_func.h How quickly peers send chunks.
 *
 * A link may become much slower than configured, a host may freeze, or an
 * uplink may be stuck while heartbeats still arrive. A host that waits for such
 * a peer delays its own load, and that of all hosts that fetch chunks from it.
 */

#ifndef JACINTHPOND_CORE_PEER_PACE_FUNC_H
#define JACINTHPOND_CORE_PEER_PACE_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Says whether chunks arrive slowly from all peers, so that the own link must
 * be slower than configured.
 * @param Transfer The state.
 * @return False while no peer has sent a chunk.
 */
bool isOwnLinkSlow(const TransferState &Transfer);

/**
 * Estimates the time until one more chunk requested from a peer arrives.
 * @param Peer The peer.
 * @return The time; close to 0 for a peer that has sent no chunk yet.
 */
Duration expectedChunkTime(const ChunkPeer &Peer);

/**
 * Adds a chunk to the average time that a peer takes.
 * @param Peer State to change.
 * @param Took Time since the chunk was requested.
 */
void recordChunkTime(ChunkPeer &Peer, Duration Took);

/**
 * Cancels the requests to peers that have sent nothing for a long time, and
 * avoids these peers for a while.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void avoidStalledPeers(TransferState &Transfer, TimePoint Now, Effects &Out);

/**
 * Cancels requests that take too long and that a faster peer can serve, so that
 * they are requested there.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void reassignSlowChunks(TransferState &Transfer, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
