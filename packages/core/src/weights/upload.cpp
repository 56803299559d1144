/** @file upload.cpp Sending chunks to peers within the rate limits. */

#include "weights/upload_func.h"

#include "base/rate_limit_func.h"
#include "weights/chunk_progress_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <numeric>

namespace jacinthpond {

namespace {

/** Maximum of queued requests of one peer. */
constexpr size_t MaxQueuedPerPeer = 8;
/**
 * Maximum of bytes that the network has not taken from a link yet before more
 * is sent to it: a slow receiver must not grow this host's memory.
 */
constexpr uint64_t MaxBacklogBytes = 4 << 20;

/** The same for all links together, as there may be many slow receivers. */
constexpr uint64_t MaxTotalBacklogBytes = 64 << 20;

/** Sums up the bytes of all links that the network has not taken yet. */
uint64_t totalBacklog(const TransferState &Transfer) {
  return std::accumulate(Transfer.Peers.begin(), Transfer.Peers.end(),
                         uint64_t{0}, [](uint64_t Sum, const auto &Row) {
                           return Sum + Row.second.BacklogBytes;
                         });
}

/** Says whether backlog and rate limits allow answering a request now. */
bool maySend(TransferState &Transfer, const Upload &One, TimePoint Now) {
  const ChunkPeer &Peer = Transfer.Peers.at(One.Link);
  if (Peer.BacklogBytes > MaxBacklogBytes)
    return false;
  return Peer.SameDomain || isWithinRate(Transfer.CrossDomain, Now);
}

/** Answers a request with bytes from memory or from the engine, and counts
 * them. */
void sendChunk(TransferState &Transfer, const WeightsState &Weights,
               const Upload &One, Effects &Out) {
  ChunkPeer &Peer = Transfer.Peers.at(One.Link);
  --Peer.QueuedUploads;
  ChunkData Data;
  Data.Chunk = One.Chunk;
  const auto it = Weights.Held.find(One.Chunk);
  const bool IsHeld = it != Weights.Held.end();
  const auto Slot = IsHeld ? std::nullopt : findSlot(Weights, One.Chunk);
  if (IsHeld)
    copyChunkPart(*it->second, One.Offset, One.Length, Data);
  const size_t Whole = Weights.Wanted.ChunkBytes;
  const size_t Part = One.Length == 0 ? Whole : std::min(One.Length, Whole);
  const size_t Bytes = Slot ? Part : Data.Bytes.size();
  takeRateTokens(Transfer.Uplink, static_cast<double>(Bytes));
  if (!Peer.SameDomain)
    takeRateTokens(Transfer.CrossDomain, static_cast<double>(Bytes));
  Peer.BacklogBytes += Bytes;
  Transfer.Counters.BytesSent += Bytes;
  if (Slot)
    Out.push_back(SendStagedChunk{One.Link, slotRef(Transfer, *Slot, One.Chunk),
                                  One.Offset, One.Length});
  else
    Out.push_back(SendMessage{One.Link, std::move(Data)});
}

} // namespace

void queueUpload(TransferState &Transfer, const WeightsState &Weights,
                 LinkId Link, const ChunkRequest &Request, Effects &Out) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  // On an empty answer the peer requests the chunk elsewhere.
  if (!hasContent(Weights, Request.Chunk) ||
      it->second.QueuedUploads >= MaxQueuedPerPeer) {
    Out.push_back(SendMessage{Link, ChunkData{Request.Chunk, {}}});
    return;
  }
  ++it->second.QueuedUploads;
  Transfer.Uploads.push_back(
      {Link, Request.Chunk, Request.Offset, Request.Length});
}

void copyChunkPart(const std::string &Whole, uint64_t Offset, uint64_t Length,
                   ChunkData &Into) {
  Into.Offset = std::min<uint64_t>(Offset, Whole.size());
  Into.Total = Whole.size();
  Into.Bytes =
      Whole.substr(Into.Offset, Length == 0 ? std::string::npos : Length);
}

void sendUploads(TransferState &Transfer, const WeightsState &Weights,
                 TimePoint Now, Effects &Out) {
  while (isWithinRate(Transfer.Uplink, Now) &&
         totalBacklog(Transfer) <= MaxTotalBacklogBytes) {
    const auto it =
        std::ranges::find_if(Transfer.Uploads, [&](const Upload &One) {
          return maySend(Transfer, One, Now);
        });
    if (it == Transfer.Uploads.end())
      return;
    const Upload One = *it;
    Transfer.Uploads.erase(it);
    sendChunk(Transfer, Weights, One, Out);
  }
}

} // namespace jacinthpond
