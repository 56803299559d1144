/** @file chunk_progress.cpp State of chunks and of their holders. */

#include "weights/chunk_progress_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Share of contents that have to be available somewhere before the rest can
 * become overdue. */
constexpr double MostSeenShare = 0.75;

} // namespace

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

std::optional<size_t> firstNumber(const TransferState &Transfer,
                                  const Digest &Content) {
  const auto it = Transfer.NumbersOf.find(Content);
  return it == Transfer.NumbersOf.end() ? std::nullopt
                                        : std::optional(it->second.front());
}

void markSeen(TransferState &Transfer, size_t n, TimePoint Now) {
  ChunkProgress &Chunk = Transfer.Chunks[n];
  if (Chunk.Seen)
    return;
  Chunk.Seen = true;
  Chunk.SeenSince = Now;
  Transfer.AvailabilityChangedAt = Now;
  ++Transfer.SeenCount;
  const auto Most = static_cast<size_t>(
      MostSeenShare * static_cast<double>(Transfer.NumbersOf.size()));
  if (!Transfer.MostSeenSince && Transfer.SeenCount >= Most)
    Transfer.MostSeenSince = Now;
}

ChunkRef slotRef(const TransferState &Transfer, size_t Slot,
                 const Digest &Content) {
  ChunkRef Ref = Transfer.Version;
  Ref.Number = Slot;
  Ref.Content = Content;
  return Ref;
}

ChunkRef chunkRef(const TransferState &Transfer, size_t n) {
  return slotRef(Transfer, n, Transfer.Digests[n]);
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
