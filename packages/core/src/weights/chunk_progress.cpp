/** @file chunk_progress.cpp What is known of chunks and who holds them. */

#include "weights/chunk_progress_func.h"

#include <algorithm>

namespace jacinthpond {

bool hasBit(const std::vector<uint8_t> &Bits, size_t n) {
  return n / 8 < Bits.size() && ((Bits[n / 8] >> (n % 8)) & 1U) != 0;
}

void setBit(std::vector<uint8_t> &Bits, size_t n) {
  Bits[n / 8] |= static_cast<uint8_t>(1U << (n % 8));
}

bool holds(const ChunkPeer &Peer, const Digest &Set, size_t n) {
  return Peer.Told.Set == Set && hasBit(Peer.Told.Held, n);
}

void releaseChunk(TransferState &Transfer, size_t n) {
  Transfer.Chunks[n].Asked = Transfer.Chunks[n].Coming = false;
  Transfer.Partial.erase(n);
}

/** Takes back what was asked of a peer, so that it is asked elsewhere. */
void releaseAsked(TransferState &Transfer, ChunkPeer &Peer) {
  for (const size_t n : Peer.Asked)
    releaseChunk(Transfer, n);
  Peer.Asked.clear();
}

ChunkRef chunkRef(const TransferState &Transfer, size_t n) {
  ChunkRef Ref = Transfer.Version;
  Ref.Number = n;
  Ref.Content = Transfer.Digests[n];
  return Ref;
}

/** Says whether a chunk can be had from a linked peer that is trusted. */
bool hasUsableHolder(const TransferState &Transfer, size_t n, bool NearOnly,
                     TimePoint Now) {
  return std::ranges::any_of(Transfer.Peers, [&](const auto &Row) {
    const ChunkPeer &Peer = Row.second;
    return (Peer.SameDomain || !NearOnly) && Now >= Peer.AvoidUntil &&
           holds(Peer, Transfer.Set, n);
  });
}

/** The chunk is being brought into this domain; peers are told. */
void noteComing(TransferState &Transfer, size_t n) {
  Transfer.Chunks[n].Coming = true;
  Transfer.HeldChanged = true;
}

bool comesInParts(const TransferState &Transfer) {
  return Transfer.Options.LinkBytesPerSecond > 0 && Transfer.ChunkBytes > 0;
}

} // namespace jacinthpond
