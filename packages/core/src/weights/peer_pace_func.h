/** @file peer_pace_func.h How quickly peers give chunks.
 *
 * A link may become far narrower than the settings say, a host may freeze, an
 * uplink may be stuck while heartbeats still come. Whoever waits for such a
 * peer holds up its own load, and as a source everybody's.
 */

#ifndef JACINTHPOND_CORE_PEER_PACE_FUNC_H
#define JACINTHPOND_CORE_PEER_PACE_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Says whether chunks come slowly from everybody: the own link has become
 * narrower than the settings say.
 * @param Transfer The state.
 * @return False while no peer has given any.
 */
bool ownLinkIsSlow(const TransferState &Transfer);

/**
 * Gives the time until one more chunk would come from a peer.
 * @param Peer The peer.
 * @return The time; next to nothing for one that has given none yet.
 */
Duration expectedTime(const ChunkPeer &Peer);

/**
 * A chunk came from a peer.
 * @param Peer State to change.
 * @param Took Time since it was asked for.
 */
void learnChunkTime(ChunkPeer &Peer, Duration Took);

/**
 * Leaves peers alone that give nothing for a long time.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void dropStalled(TransferState &Transfer, TimePoint Now, Effects &Out);

/**
 * Asks elsewhere for chunks that trickle in, where somebody is faster.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void passBySlowPeers(TransferState &Transfer, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
