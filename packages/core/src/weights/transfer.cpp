/** @file transfer.cpp Exchange of chunks with peers and the origin. */

#include "weights/transfer_func.h"

#include "base/hash_func.h"
#include "base/random_func.h"
#include "base/rate_limit_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/chunk_progress_func.h"
#include "weights/origin_draw_func.h"
#include "weights/peer_pace_func.h"
#include "weights/staging_func.h"
#include "weights/upload_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <compare>
#include <optional>

namespace jacinthpond {

namespace {

/** Maximum of open requests to one peer. */
constexpr size_t MaxRequestsPerPeer = 2;
/** Maximum of open requests to all peers. */
constexpr size_t MaxRequests = 12;
constexpr double BytesPerMegabit = 125000;
/** Part of the own link that chunks may use; answers of the back end share the
 * link and would be delayed if it were full. */
constexpr double LinkShare = 0.75;
/** The same while the back end sends no answers. The rest is for messages. */
constexpr double IdleLinkShare = 0.95;
/** Burst of chunks on a link with a known rate, as sending time; answers may be
 * delayed by it. Chunks are sent every 10 ms while the exchange is active. */
constexpr double LinkBurstSeconds = 0.03;
/** Time for which requested chunks may fill the own link; the maximum delay of
 * a request or an answer behind them. */
constexpr double LinkFillSeconds = 0.08;
/** Size of a part of a chunk: a few ms on a slow link. */
constexpr uint64_t PartBytes = 8192;
/** Requested parts per chunk: enough for the latency between regions. */
constexpr uint64_t MaxPartRequests = 2;
/** Minimum of chunks to request: one arrives while the next is requested. */
constexpr double MinRequests = 2;
/** How long a peer is avoided after its first bad chunk; doubled each time. */
constexpr Millis AvoidTime{3000};
constexpr uint32_t MaxDoublings = 5;
/** Ranks that an import is put back when a linked agent announced to be
 * importing the chunk. A second import costs the transfer of one chunk. */
constexpr size_t ImportClaimRanks = 2;
/** Time for links to be established after the start. */
constexpr Millis SettleTime{400};
/** Window for measuring the rate at which chunks arrive. */
constexpr Millis RateWindow{1000};
/** Minimum time between two announcements. */
constexpr Millis AnnouncePeriod{50};

/** Adds the announcement of a peer to the holder counts of the contents, or
 * removes it from them. */
void countAnnounced(TransferState &Transfer, const ChunkPeer &Peer, bool Add,
                    TimePoint Now) {
  if (Peer.Announced.Set != Transfer.Set)
    return;
  const uint32_t Step = Add ? 1 : UINT32_MAX; // Wraps around to -1.
  for (const auto &[Content, Numbers] : Transfer.NumbersOf) {
    const size_t n = Numbers.front();
    ChunkProgress &Chunk = Transfer.Chunks[n];
    if (hasBit(Peer.Announced.Imports, n))
      (Peer.SameDomain ? Chunk.ImportersInDomain : Chunk.ImportersElsewhere) +=
          Step;
    if (!hasBit(Peer.Announced.Held, n))
      continue;
    (Peer.SameDomain ? Chunk.HoldersInDomain : Chunk.HoldersElsewhere) += Step;
    if (Add)
      markSeen(Transfer, n, Now);
  }
}

/** Avoids a peer for a while, twice as long each time, and cancels the requests
 * to it. */
void avoidPeer(TransferState &Transfer, ChunkPeer &Peer, TimePoint Now) {
  Distrust &Known = Transfer.Distrusted[Peer.Name];
  Known.Until = Now + doubledDelay(AvoidTime, Known.Failures, MaxDoublings);
  ++Known.Failures;
  Peer.AvoidUntil = Known.Until;
  cancelPeerRequests(Transfer, Peer);
}

/** Gives the reference of a version that chunk references are built from. */
ChunkRef versionRef(const ModelVersion &Wanted) {
  return {Wanted.Name, Wanted.Version, 0, {}, Wanted.Origin};
}

/** Resets the exchange to the wanted set. */
void beginSet(TransferState &Transfer, const WeightsState &Weights,
              TimePoint Now) {
  Transfer.Set = Weights.Wanted.Set;
  Transfer.StartedAt = Now;
  Transfer.OriginPausedUntil = {};
  Transfer.CompletionLogged = false;
  Transfer.SeenCount = 0;
  Transfer.MostSeenSince.reset();
  Transfer.Digests = Weights.Wanted.Chunks;
  Transfer.Version = versionRef(Weights.Wanted);
  Transfer.ChunkBytes = Weights.Wanted.ChunkBytes;
  Transfer.Chunks.assign(Transfer.Digests.size(), {});
  Transfer.NumbersOf.clear();
  Transfer.Missing.clear();
  Transfer.ToFetch.clear();
  Transfer.Partial.clear();
  Transfer.SubstitutedHosts.clear();
  Transfer.AvailabilityChangedAt = Now;
  Transfer.AnnouncementDue = true;
  for (size_t n = 0; n < Transfer.Digests.size(); ++n) {
    std::vector<size_t> &Numbers = Transfer.NumbersOf[Transfer.Digests[n]];
    Numbers.push_back(n);
    if (!isChunkInPlace(Weights, n))
      Transfer.Missing.insert(n);
    if (Numbers.size() == 1 && !hasContent(Weights, Transfer.Digests[n]))
      Transfer.ToFetch.insert(n);
  }
  // Indices of the old set now refer to other chunks. Answers that are still on
  // their way are matched by digest.
  for (auto &[Link, Peer] : Transfer.Peers) {
    Peer.Requested.clear();
    Peer.Informed = false;
    countAnnounced(Transfer, Peer, true, Now);
  }
}

/**
 * Says whether this host may fetch a chunk from another domain: when no peer of
 * this domain holds it, rank after rank from the time it was first seen.
 */
bool mayImport(const TransferState &Transfer, size_t n, TimePoint Now) {
  const ChunkProgress &Chunk = Transfer.Chunks[n];
  if (!isPlanned(Transfer.Plan) || hasUsableHolder(Transfer, n, true, Now))
    return false;
  const size_t Rank = importRank(Transfer.Plan, n) +
                      (Chunk.ImportersInDomain > 0 ? ImportClaimRanks : 0);
  return Now - Chunk.SeenSince >=
         Transfer.Options.TakeoverDelay * static_cast<int64_t>(Rank);
}

/** Gives the peer from which a chunk should arrive first; null if none may be
 * used. */
ChunkPeer *pickSource(TransferState &Transfer, size_t n, TimePoint Now,
                      LinkId &Link) {
  const bool Import = mayImport(Transfer, n, Now);
  ChunkPeer *Best = nullptr;
  for (auto &[Id, Peer] : Transfer.Peers) {
    if (Peer.Requested.size() >= MaxRequestsPerPeer || Now < Peer.AvoidUntil ||
        (!Peer.SameDomain && !Import) || !hasAnnounced(Peer, Transfer.Set, n))
      continue;
    const auto Compared =
        Best == nullptr ? std::weak_ordering::less
                        : expectedChunkTime(Peer) <=> expectedChunkTime(*Best);
    if (Compared > 0 || (Compared == 0 && nextRandom(Transfer.Random) % 2 == 0))
      continue;
    Best = &Peer;
    Link = Id;
  }
  return Best;
}

/** Lists the contents to request from peers, rarest first and ties in random
 * order. */
std::vector<size_t> chunksToRequest(TransferState &Transfer) {
  std::vector<std::pair<uint64_t, size_t>> Keyed;
  for (const size_t n : Transfer.ToFetch) {
    const ChunkProgress &Chunk = Transfer.Chunks[n];
    if (Chunk.Requested || Chunk.HoldersInDomain + Chunk.HoldersElsewhere == 0)
      continue;
    const uint64_t Tie = nextRandom(Transfer.Random) & UINT32_MAX;
    Keyed.emplace_back((uint64_t{Chunk.HoldersInDomain} << 32U) | Tie, n);
  }
  std::ranges::sort(Keyed);
  std::vector<size_t> Order(Keyed.size());
  std::ranges::transform(Keyed, Order.begin(),
                         [](const auto &Row) { return Row.second; });
  return Order;
}

/** Gives the maximum of chunks to request from peers at a time. */
size_t maxRequests(const TransferState &Transfer) {
  if (!isFetchedInParts(Transfer))
    return MaxRequests;
  // More chunks would delay the requests and answers of callers.
  if (isOwnLinkSlow(Transfer))
    return 1;
  const double Fit = LinkFillSeconds * Transfer.Options.LinkBytesPerSecond /
                     static_cast<double>(Transfer.ChunkBytes);
  return static_cast<size_t>(
      std::clamp(Fit, MinRequests, static_cast<double>(MaxRequests)));
}

/**
 * Requests a chunk from a peer, in parts if the rate of the own link is known.
 * On a slow link, a whole chunk would block answers for as long as they may
 * pause; between parts they can be sent.
 */
void requestParts(TransferState &Transfer, size_t n, LinkId Link,
                  Effects &Out) {
  if (!isFetchedInParts(Transfer)) {
    Out.push_back(SendMessage{Link, ChunkRequest{Transfer.Digests[n]}});
    return;
  }
  PartialChunk &Part = Transfer.Partial[n];
  if (Part.Link != Link) {
    Part = {};
    Part.Link = Link;
  }
  // The last chunk of a set may be smaller.
  const uint64_t Size = Part.Size > 0 ? Part.Size : Transfer.ChunkBytes;
  while (Part.RequestedUpTo < Size &&
         Part.RequestedUpTo < Part.Received + MaxPartRequests * PartBytes) {
    Out.push_back(
        SendMessage{Link, ChunkRequest{Transfer.Digests[n], Part.RequestedUpTo,
                                       PartBytes}});
    Part.RequestedUpTo += PartBytes;
  }
}

/** Requests missing chunks from peers, up to the limits of open requests. */
void requestFromPeers(TransferState &Transfer, TimePoint Now, Effects &Out) {
  size_t Open = 0;
  bool Room = false;
  for (const auto &[Link, Peer] : Transfer.Peers) {
    Open += Peer.Requested.size();
    Room |=
        Peer.Requested.size() < MaxRequestsPerPeer && Now >= Peer.AvoidUntil;
  }
  const size_t Most = maxRequests(Transfer);
  if (!Room || Open >= Most)
    return;
  for (const size_t n : chunksToRequest(Transfer)) {
    LinkId Link;
    ChunkPeer *Peer = pickSource(Transfer, n, Now, Link);
    if (Peer == nullptr)
      continue;
    if (Peer->Requested.empty())
      Peer->LastData = Now;
    Peer->Requested.insert(n);
    Transfer.Chunks[n].Requested = true;
    Transfer.Chunks[n].RequestedAt = Now;
    if (!Peer->SameDomain)
      markImporting(Transfer, n);
    requestParts(Transfer, n, Link, Out);
    if (++Open >= Most)
      return;
  }
}

/** Builds the announcement of the chunks whose contents are here or imported.
 */
ChunkHave makeAnnouncement(const TransferState &Transfer) {
  ChunkHave Have;
  Have.Set = Transfer.Set;
  Have.Held.assign((Transfer.Digests.size() + 7) / 8, 0);
  Have.Imports = Have.Held;
  for (const auto &[Content, Numbers] : Transfer.NumbersOf) {
    const size_t First = Numbers.front();
    const bool IsHere = !Transfer.ToFetch.contains(First);
    if (!IsHere && !Transfer.Chunks[First].Importing)
      continue;
    for (const size_t n : Numbers)
      setBit(IsHere ? Have.Held : Have.Imports, n);
  }
  return Have;
}

/** Announces changes to all peers, and the state to peers that are new. */
void announceChunks(TransferState &Transfer, TimePoint Now, Effects &Out) {
  const bool Due =
      Transfer.AnnouncementDue && Now - Transfer.AnnouncedAt >= AnnouncePeriod;
  const bool NewPeer = std::ranges::any_of(
      Transfer.Peers, [](const auto &Row) { return !Row.second.Informed; });
  if (Transfer.Set.Value.empty() || (!Due && !NewPeer))
    return;
  const ChunkHave Have = makeAnnouncement(Transfer);
  for (auto &[Link, Peer] : Transfer.Peers) {
    if (!Due && Peer.Informed)
      continue;
    Peer.Informed = true;
    Out.push_back(SendMessage{Link, Have});
  }
  if (!Due)
    return;
  Transfer.AnnouncementDue = false;
  Transfer.AnnouncedAt = Now;
}

/** Updates the rate of arrival at the end of each window. */
void measureRate(TransferState &Transfer, TimePoint Now) {
  const Duration Passed = Now - Transfer.RateWindowStart;
  if (Passed < RateWindow)
    return;
  Transfer.BytesPerSecond = Transfer.RateWindowBytes * 1000 /
                            static_cast<uint64_t>(toMillis(Passed).count());
  Transfer.RateWindowBytes = 0;
  Transfer.RateWindowStart = Now;
}

/**
 * Verifies a received content and holds it.
 * @return False when nothing was received or its digest is wrong.
 */
bool acceptChunk(TransferState &Transfer, WeightsState &Weights,
                 const Digest &Chunk, const DigestedChunk &Arrived,
                 TimePoint Now) {
  const std::optional<size_t> First = firstNumber(Transfer, Chunk);
  // The wanted version may have changed since the request.
  if (!First)
    return true;
  ChunkProgress &Progress = Transfer.Chunks[*First];
  Progress.Requested = Progress.Importing = false;
  if (Arrived.Bytes == nullptr)
    return false;
  if (Arrived.Actual != Chunk) {
    ++Transfer.Counters.BadChunks;
    return false;
  }
  if (!Transfer.ToFetch.contains(*First)) {
    ++Transfer.Counters.Repeated;
    return true;
  }
  Transfer.RateWindowBytes += Arrived.Bytes->size();
  holdContent(Transfer, Weights, Chunk, Arrived.Bytes, Now);
  return true;
}

/** Logs once that all chunks of a set are held. */
void logCompletion(TransferState &Transfer, TimePoint Now, Effects &Out) {
  if (Transfer.CompletionLogged || Transfer.Digests.empty() ||
      !Transfer.Missing.empty())
    return;
  Transfer.CompletionLogged = true;
  const TransferCounters &Count = Transfer.Counters;
  Out.push_back(LogNote{
      LogPart::Weights, LogLevel::Info,
      "event=set_whole set=" + Transfer.Set.Value +
          " ms=" + std::to_string(toMillis(Now - Transfer.StartedAt).count()) +
          " from_origin=" + std::to_string(Count.BytesFromOrigin) +
          " from_domain=" + std::to_string(Count.BytesFromPeers) +
          " from_others=" + std::to_string(Count.BytesFromOtherDomains)});
}

} // namespace

TransferState makeTransfer(const Settings &Config) {
  TransferState Transfer;
  Transfer.Options = {Config.WeightsFromPeers,
                      Millis(Config.ChunkTakeoverMillis),
                      Config.LinkMegabits * BytesPerMegabit,
                      static_cast<double>(Config.UplinkBytesPerSecond)};
  setLinkIdle(Transfer, false);
  if (Transfer.Options.LinkBytesPerSecond > 0)
    Transfer.Uplink.BurstSeconds = LinkBurstSeconds;
  Transfer.CrossDomain.PerSecond =
      static_cast<double>(Config.AcrossBytesPerSecond);
  Transfer.Random = rendezvousScore("transfer", Config.Name) | 1U;
  return Transfer;
}

void setLinkIdle(TransferState &Transfer, bool Idle) {
  const TransferOptions &Options = Transfer.Options;
  Transfer.Uplink.PerSecond =
      Options.UplinkBytesPerSecond > 0
          ? Options.UplinkBytesPerSecond
          : (Idle ? IdleLinkShare : LinkShare) * Options.LinkBytesPerSecond;
}

DigestedChunk digestChunk(ChunkBytes Bytes) {
  DigestedChunk Checked;
  if (Bytes != nullptr)
    Checked.Actual = sha256(*Bytes);
  Checked.Bytes = std::move(Bytes);
  return Checked;
}

void updateTransferPlan(TransferState &Transfer, WeightsState &Weights,
                        const Document &Doc, const HostName &Self,
                        TimePoint Now) {
  if (Transfer.Plan.Hosts.empty())
    Transfer.LinksSettledAt = Now + SettleTime;
  Transfer.Plan = makeChunkPlan(Doc, Self);
  const auto Unplanned = [&](const auto &Row) {
    return std::ranges::find(Transfer.Plan.Hosts, Row.first, &PlanHost::Name) ==
           Transfer.Plan.Hosts.end();
  };
  std::erase_if(Transfer.Distrusted, Unplanned);
  std::erase_if(Transfer.LostPeers, Unplanned);
  if (Transfer.Set == Weights.Wanted.Set)
    return;
  beginSet(Transfer, Weights, Now);
  dropStagedContents(Transfer, Weights);
}

void addChunkPeer(TransferState &Transfer, LinkId Link, const HostName &Name,
                  bool SameDomain) {
  ChunkPeer &Peer = Transfer.Peers[Link];
  Transfer.LostPeers.erase(Name);
  Peer.Name = Name;
  Peer.SameDomain = SameDomain;
  Peer.Informed = false;
  // A distrusted peer is still avoided after it has opened its link again.
  if (const auto it = Transfer.Distrusted.find(Name);
      it != Transfer.Distrusted.end())
    Peer.AvoidUntil = it->second.Until;
}

void removeChunkPeer(TransferState &Transfer, LinkId Link, TimePoint Now) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  cancelPeerRequests(Transfer, it->second);
  countAnnounced(Transfer, it->second, false, {});
  Transfer.LostPeers.try_emplace(it->second.Name, Now);
  Transfer.Peers.erase(it);
  std::erase_if(Transfer.Uploads,
                [&](const Upload &One) { return One.Link == Link; });
}

void recordAnnouncement(TransferState &Transfer, LinkId Link,
                        const ChunkHave &Have, TimePoint Now) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  countAnnounced(Transfer, it->second, false, Now);
  it->second.Announced = Have;
  countAnnounced(Transfer, it->second, true, Now);
}

void receiveChunkFromPeer(TransferState &Transfer, WeightsState &Weights,
                          LinkId Link, const Digest &Chunk,
                          const DigestedChunk &Arrived, TimePoint Now,
                          Effects &Out) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  ChunkPeer &Peer = it->second;
  Peer.LastData = Now;
  if (const auto First = firstNumber(Transfer, Chunk);
      First && Peer.Requested.erase(*First) > 0)
    recordChunkTime(Peer, Now - Transfer.Chunks[*First].RequestedAt);
  if (!acceptChunk(Transfer, Weights, Chunk, Arrived, Now)) {
    avoidPeer(Transfer, Peer, Now);
    return;
  }
  stageChunks(Transfer, Weights, Now, Out);
  const uint64_t Bytes = Arrived.Bytes == nullptr ? 0 : Arrived.Bytes->size();
  (Peer.SameDomain ? Transfer.Counters.BytesFromPeers
                   : Transfer.Counters.BytesFromOtherDomains) += Bytes;
}

std::optional<std::string> receiveChunkPart(TransferState &Transfer,
                                            LinkId Link, const ChunkData &Data,
                                            TimePoint Now, Effects &Out) {
  const auto Peer = Transfer.Peers.find(Link);
  const auto First = firstNumber(Transfer, Data.Chunk);
  if (Data.Bytes.empty())
    return std::string(); // Not held there: handled as an empty chunk.
  if (Peer == Transfer.Peers.end() || !First)
    return std::nullopt;
  const auto it = Transfer.Partial.find(*First);
  // A late part of a request that was cancelled, or moved to another peer.
  if (it == Transfer.Partial.end() || it->second.Link != Link)
    return std::nullopt;
  Peer->second.LastData = Now;
  PartialChunk &Part = it->second;
  Part.Size = Data.Total;
  // The sender reads parts on several threads, so they may arrive out of order.
  if (Part.Parts.emplace(Data.Offset, Data.Bytes).second)
    Part.Received += Data.Bytes.size();
  if (Part.Received >= Data.Total) {
    std::string Whole;
    for (const auto &[Offset, Bytes] : Part.Parts)
      Whole += Bytes;
    Transfer.Partial.erase(it);
    return Whole;
  }
  requestParts(Transfer, *First, Link, Out);
  return std::nullopt;
}

void receiveChunkFromOrigin(TransferState &Transfer, WeightsState &Weights,
                            const Digest &Chunk, const DigestedChunk &Arrived,
                            TimePoint Now, Effects &Out) {
  if (Transfer.OriginRequests > 0)
    --Transfer.OriginRequests;
  if (acceptChunk(Transfer, Weights, Chunk, Arrived, Now)) {
    Transfer.Counters.BytesFromOrigin +=
        Arrived.Bytes ? Arrived.Bytes->size() : 0;
    stageChunks(Transfer, Weights, Now, Out);
    return;
  }
  const size_t First = *firstNumber(Transfer, Chunk);
  if (Arrived.Bytes != nullptr)
    recordWrongContent(Transfer, First, Now, Out);
  else
    recordOriginFailure(Transfer, First, Now);
}

void advanceTransfer(TransferState &Transfer, WeightsState &Weights,
                     TimePoint Now, Effects &Out) {
  measureRate(Transfer, Now);
  announceChunks(Transfer, Now, Out);
  sendUploads(Transfer, Weights, Now, Out);
  logCompletion(Transfer, Now, Out);
  if (Transfer.Missing.empty() || Weights.Loaded == Weights.Wanted.Set)
    return;
  stageChunks(Transfer, Weights, Now, Out);
  avoidStalledPeers(Transfer, Now, Out);
  reassignSlowChunks(Transfer, Now, Out);
  if (Transfer.Options.FromPeers)
    requestFromPeers(Transfer, Now, Out);
  requestFromOrigin(Transfer, Now, Out);
}

void describeTransfer(const TransferState &Transfer, WorkerLoad &Load) {
  Load.ChunksWanted = static_cast<uint32_t>(Transfer.Chunks.size());
  Load.ChunksHeld =
      static_cast<uint32_t>(Transfer.Chunks.size() - Transfer.Missing.size());
  Load.BytesPerSecond = Transfer.BytesPerSecond;
  Load.BytesFromOrigin = Transfer.Counters.BytesFromOrigin;
  Load.BytesFromPeers = Transfer.Counters.BytesFromPeers;
  Load.BytesFromOtherDomains = Transfer.Counters.BytesFromOtherDomains;
}

} // namespace jacinthpond
