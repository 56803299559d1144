/** @file peer_pace.cpp How quickly peers give chunks. */

#include "weights/peer_pace_func.h"

#include "weights/chunk_progress_func.h"

#include <algorithm>
#include <iterator>

namespace jacinthpond {

namespace {

/** How long a peer is left alone after a stall; it may just be busy. */
constexpr Millis StallAvoidTime{1000};
/** Silence of a peer with requests open after which it counts as stalled. */
constexpr Millis StallLimit{4000};
/**
 * Times that a chunk alone on the own link takes, after which its sender counts
 * as slow: a peer that serves several others at a time is not slow yet.
 */
constexpr double SlowChunkTimes = 10;
/** Weight of the usual time of a chunk against the last one's. */
constexpr int OldTimeWeight = 3;

/** Time after which a chunk is asked for elsewhere; 0: there is no bound. */
Duration slowLimit(const TransferState &Transfer) {
  if (!comesInParts(Transfer))
    return Duration{0};
  const std::chrono::duration<double> Alone(
      static_cast<double>(Transfer.ChunkBytes) /
      Transfer.Options.LinkBytesPerSecond);
  return std::chrono::duration_cast<Duration>(Alone * SlowChunkTimes);
}

/** Says whether chunks of a peer come as quickly as they should. */
bool isFast(const TransferState &Transfer, const ChunkPeer &Peer) {
  return Peer.ChunkTime.count() > 0 &&
         Peer.ChunkTime * 2 <= slowLimit(Transfer);
}

/** Says whether another peer holds a chunk and lately gave others quickly. */
bool hasFasterHolder(const TransferState &Transfer, const ChunkPeer &Than,
                     size_t n, TimePoint Now) {
  return std::ranges::any_of(Transfer.Peers, [&](const auto &Row) {
    const ChunkPeer &Peer = Row.second;
    return &Peer != &Than && Now >= Peer.AvoidUntil && isFast(Transfer, Peer) &&
           holds(Peer, Transfer.Set, n);
  });
}

} // namespace

bool ownLinkIsSlow(const TransferState &Transfer) {
  const auto Known = [](const auto &Row) {
    return Row.second.ChunkTime.count() > 0;
  };
  return comesInParts(Transfer) && std::ranges::any_of(Transfer.Peers, Known) &&
         std::ranges::none_of(Transfer.Peers, [&](const auto &Row) {
           return isFast(Transfer, Row.second);
         });
}

Duration expectedTime(const ChunkPeer &Peer) {
  return std::max(Peer.ChunkTime, Duration{1}) *
         static_cast<int64_t>(Peer.Asked.size() + 1);
}

void learnChunkTime(ChunkPeer &Peer, Duration Took) {
  Peer.ChunkTime =
      Peer.ChunkTime.count() == 0
          ? Took
          : (Peer.ChunkTime * OldTimeWeight + Took) / (OldTimeWeight + 1);
}

/**
 * Leaves stalled peers alone. A peer that is frozen, or behind a link that
 * went silent, keeps requests open without end; the heartbeat notices only
 * some of these, and a peer may answer heartbeats while its uplink is stuck.
 */
void dropStalled(TransferState &Transfer, TimePoint Now, Effects &Out) {
  for (auto &[Link, Peer] : Transfer.Peers) {
    if (Peer.Asked.empty() || Now - Peer.LastData < StallLimit)
      continue;
    ++Transfer.Counters.Stalls;
    Peer.AvoidUntil = Now + StallAvoidTime;
    releaseAsked(Transfer, Peer);
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "Chunks of " + Peer.Name.Value +
                              " stay out; asking elsewhere."});
  }
}

/**
 * Asks elsewhere for chunks that trickle in. The link of a peer may have become
 * far narrower than the others'; it still answers, so that it does not count as
 * stalled, and the last chunks of all hosts would wait for it. Where everybody
 * is slow the own link is, and asking more would only fill it.
 */
void passBySlowPeers(TransferState &Transfer, TimePoint Now, Effects &Out) {
  const Duration Limit = slowLimit(Transfer);
  if (Limit.count() == 0)
    return;
  for (auto &Row : Transfer.Peers) {
    ChunkPeer &Peer = Row.second;
    std::vector<size_t> Slow;
    std::ranges::copy_if(Peer.Asked, std::back_inserter(Slow), [&](size_t n) {
      return Now - Transfer.Chunks[n].AskedAt >= Limit &&
             hasFasterHolder(Transfer, Peer, n, Now);
    });
    if (Slow.empty())
      continue;
    for (const size_t n : Slow) {
      Peer.Asked.erase(n);
      releaseChunk(Transfer, n);
    }
    Peer.ChunkTime = Limit;
    Peer.AvoidUntil = Now + StallAvoidTime;
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "event=peer_slow peer=" + Peer.Name.Value +
                              " chunks=" + std::to_string(Slow.size())});
  }
}

} // namespace jacinthpond
