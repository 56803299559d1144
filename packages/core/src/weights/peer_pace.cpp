/** @file peer_pace.cpp How quickly peers send chunks. */

#include "weights/peer_pace_func.h"

#include "weights/chunk_progress_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** How long a peer is avoided after a stall; it may just be busy. */
constexpr Millis StallAvoidTime{1000};
/** Time without data after which a peer with open requests is stalled. */
constexpr Millis StallTimeout{4000};
/**
 * Multiple of the time of one chunk on an idle own link, after which its sender
 * counts as slow. A peer that serves several others at a time is not slow yet.
 */
constexpr double SlowChunkFactor = 10;
/** Weight of the old average of chunk times against a new sample's 1. */
constexpr int OldTimeWeight = 3;

/** Gives the time after which a chunk is requested elsewhere; 0: no limit. */
Duration slowChunkTime(const TransferState &Transfer) {
  if (!isFetchedInParts(Transfer))
    return Duration{0};
  const std::chrono::duration<double> Alone(
      static_cast<double>(Transfer.ChunkBytes) /
      Transfer.Options.LinkBytesPerSecond);
  return std::chrono::duration_cast<Duration>(Alone * SlowChunkFactor);
}

/** Says whether chunks of a peer arrive in at most half of slowChunkTime(). */
bool isFast(const TransferState &Transfer, const ChunkPeer &Peer) {
  return Peer.ChunkTime.count() > 0 &&
         Peer.ChunkTime * 2 <= slowChunkTime(Transfer);
}

/** Says whether another peer holds a chunk and has sent others quickly. */
bool hasFasterHolder(const TransferState &Transfer, const ChunkPeer &Than,
                     size_t n, TimePoint Now) {
  return std::ranges::any_of(Transfer.Peers, [&](const auto &Row) {
    const ChunkPeer &Peer = Row.second;
    return &Peer != &Than && Now >= Peer.AvoidUntil && isFast(Transfer, Peer) &&
           hasAnnounced(Peer, Transfer.Set, n);
  });
}

} // namespace

bool isOwnLinkSlow(const TransferState &Transfer) {
  const auto IsKnown = [](const auto &Row) {
    return Row.second.ChunkTime.count() > 0;
  };
  return isFetchedInParts(Transfer) &&
         std::ranges::any_of(Transfer.Peers, IsKnown) &&
         std::ranges::none_of(Transfer.Peers, [&](const auto &Row) {
           return isFast(Transfer, Row.second);
         });
}

Duration expectedChunkTime(const ChunkPeer &Peer) {
  return std::max(Peer.ChunkTime, Duration{1}) *
         static_cast<int64_t>(Peer.Requested.size() + 1);
}

void recordChunkTime(ChunkPeer &Peer, Duration Took) {
  Peer.ChunkTime =
      Peer.ChunkTime.count() == 0
          ? Took
          : (Peer.ChunkTime * OldTimeWeight + Took) / (OldTimeWeight + 1);
}

/**
 * Avoids peers with open requests that have sent nothing for StallTimeout.
 * A peer that is frozen, or behind a link that went silent, would keep requests
 * open forever. Heartbeats detect only some of these cases: a peer may answer
 * them while its uplink is stuck.
 */
void avoidStalledPeers(TransferState &Transfer, TimePoint Now, Effects &Out) {
  for (auto &[Link, Peer] : Transfer.Peers) {
    if (Peer.Requested.empty() || Now - Peer.LastData < StallTimeout)
      continue;
    ++Transfer.Counters.Stalls;
    Peer.AvoidUntil = Now + StallAvoidTime;
    cancelPeerRequests(Transfer, Peer);
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "Peer " + Peer.Name.Value +
                              " sends no chunks; requesting them elsewhere."});
  }
}

/**
 * Cancels requests to slow peers, so that they go to faster ones.
 * The link of a peer may become much slower than those of others. As the peer
 * still sends data it does not count as stalled, and all hosts would wait for
 * it for their last chunks. When all peers are slow, the own link is the cause,
 * and more requests would only congest it.
 */
void reassignSlowChunks(TransferState &Transfer, TimePoint Now, Effects &Out) {
  const Duration Limit = slowChunkTime(Transfer);
  if (Limit.count() == 0)
    return;
  for (auto &Row : Transfer.Peers) {
    ChunkPeer &Peer = Row.second;
    std::vector<size_t> Slow;
    std::ranges::copy_if(
        Peer.Requested, std::back_inserter(Slow), [&](size_t n) {
          return Now - Transfer.Chunks[n].RequestedAt >= Limit &&
                 hasFasterHolder(Transfer, Peer, n, Now);
        });
    if (Slow.empty())
      continue;
    for (const size_t n : Slow) {
      Peer.Requested.erase(n);
      cancelChunkRequest(Transfer, n);
    }
    Peer.ChunkTime = Limit;
    Peer.AvoidUntil = Now + StallAvoidTime;
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "event=peer_slow peer=" + Peer.Name.Value +
                              " chunks=" + std::to_string(Slow.size())});
  }
}

} // namespace jacinthpond
