/** @file chunk_progress.cpp State of chunks and of their holders. */

#include "weights/chunk_progress_func.h"

#include <algorithm>

namespace jacinthpond {

bool hasBit(const std::vector<uint8_t> &Bits, size_t n) {
  return n / 8 < Bits.size() && ((Bits[n / 8] >> (n % 8)) & 1U) != 0;
}

void setBit(std::vector<uint8_t> &Bits, size_t n) {
  Bits[n / 8] |= static_cast<uint8_t>(1U << (n % 8));
}

bool hasAnnounced(const ChunkPeer &Peer, const Digest &Set, size_t n) {
  return Peer.Announced.Set == Set && hasBit(Peer.Announced.Held, n);
}

void cancelChunkRequest(TransferState &Transfer, size_t n) {
  Transfer.Chunks[n].Requested = Transfer.Chunks[n].Importing = false;
  Transfer.Partial.erase(n);
}

void cancelPeerRequests(TransferState &Transfer, ChunkPeer &Peer) {
  for (const size_t n : Peer.Requested)
    cancelChunkRequest(Transfer, n);
  Peer.Requested.clear();
}

ChunkRef chunkRef(const TransferState &Transfer, size_t n) {
  ChunkRef Ref = Transfer.Version;
  Ref.Number = n;
  Ref.Content = Transfer.Digests[n];
  return Ref;
}

bool hasUsableHolder(const TransferState &Transfer, size_t n, bool NearOnly,
                     TimePoint Now) {
  return std::ranges::any_of(Transfer.Peers, [&](const auto &Row) {
    const ChunkPeer &Peer = Row.second;
    return (Peer.SameDomain || !NearOnly) && Now >= Peer.AvoidUntil &&
           hasAnnounced(Peer, Transfer.Set, n);
  });
}

void markImporting(TransferState &Transfer, size_t n) {
  Transfer.Chunks[n].Importing = true;
  Transfer.AnnouncementDue = true;
}

bool isFetchedInParts(const TransferState &Transfer) {
  return Transfer.Options.LinkBytesPerSecond > 0 && Transfer.ChunkBytes > 0;
}

} // namespace jacinthpond
