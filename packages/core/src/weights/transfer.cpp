/** @file transfer.cpp Exchange of chunks with peers and the origin. */

#include "weights/transfer_func.h"

#include "base/hash_func.h"
#include "base/random_func.h"
#include "base/rate_limit_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/chunk_progress_func.h"
#include "weights/origin_draw_func.h"
#include "weights/peer_pace_func.h"
#include "weights/upload_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <compare>
#include <iterator>
#include <optional>

namespace jacinthpond {

namespace {

/** Chunks asked of one peer at a time. */
constexpr size_t MaxAskedOfPeer = 2;
/** Chunks asked of all peers at a time. */
constexpr size_t MaxAsked = 12;
constexpr double BytesPerMegabit = 125000;
/** Part of the own link that weights may use; answers of the back end share
 * it, and would wait behind a full one. */
constexpr double LinkPart = 0.75;
/** Idle time of a narrow link that is made up for: answers wait that long
 * behind chunks. Decisions come every 10 ms while chunks move. */
constexpr double NarrowBurstSeconds = 0.03;
/** Time that chunks under way may fill the own link: a request or an answer
 * waits that long behind them at most. */
constexpr double LinkFillSeconds = 0.08;
/** Size of a part of a chunk: some ms of a narrow link. */
constexpr uint64_t PartBytes = 8192;
/** Parts of one chunk under way: enough for the way between regions. */
constexpr uint64_t PartsAhead = 2;
/** Fewest chunks under way: one arrives while the next one is asked for. */
constexpr double FewestAsked = 2;
/** How long a peer is left alone after its first bad chunk. */
constexpr Millis AvoidTime{3000};
constexpr uint32_t MaxDoublings = 5;
/** Ranks that an import waits longer where a linked agent said that it brings
 * the chunk; should that come to nothing, a second import costs one chunk. */
constexpr size_t ImportClaimRanks = 2;
/** Time for links to come about after the start. */
constexpr Millis SettleTime{400};
/** Time over which the rate of arrival is measured. */
constexpr Millis RateWindow{1000};
/** Part of the chunks in view after which the rest counts as overdue soon. */
constexpr double MostPart = 0.75;
/** Shortest time between two announcements. */
constexpr Millis TellPeriod{50};

void noteSeen(TransferState &Transfer, ChunkProgress &Chunk, TimePoint Now) {
  if (Chunk.Seen)
    return;
  Chunk.Seen = true;
  Chunk.SeenSince = Now;
  Transfer.LastNews = Now;
  ++Transfer.Seen;
  const auto Most = static_cast<size_t>(
      MostPart * static_cast<double>(Transfer.Chunks.size()));
  if (!Transfer.MostSeen && Transfer.Seen >= Most)
    Transfer.MostSeen = Now;
}

/** Adds or takes away what a peer said it holds and brings. */
void countHolder(TransferState &Transfer, const ChunkPeer &Peer, bool Add,
                 TimePoint Now) {
  if (Peer.Told.Set != Transfer.Set)
    return;
  const uint32_t Step = Add ? 1 : UINT32_MAX; // Wraps around to -1.
  for (size_t n = 0; n < Transfer.Chunks.size(); ++n) {
    ChunkProgress &Chunk = Transfer.Chunks[n];
    if (hasBit(Peer.Told.Coming, n))
      (Peer.SameDomain ? Chunk.ComingHere : Chunk.ComingOutside) += Step;
    if (!hasBit(Peer.Told.Held, n))
      continue;
    (Peer.SameDomain ? Chunk.HoldersHere : Chunk.HoldersOutside) += Step;
    if (Add)
      noteSeen(Transfer, Chunk, Now);
  }
}

/** Leaves a peer alone for a while, twice as long each time. */
void avoidPeer(TransferState &Transfer, ChunkPeer &Peer, TimePoint Now) {
  Distrust &Known = Transfer.Distrusted[Peer.Name];
  Known.Until = Now + AvoidTime * (1U << std::min(Known.Times, MaxDoublings));
  ++Known.Times;
  Peer.AvoidUntil = Known.Until;
  releaseAsked(Transfer, Peer);
}

ChunkRef versionRef(const ModelVersion &Wanted) {
  return {Wanted.Name, Wanted.Version, 0, {}, Wanted.Origin};
}

void beginSet(TransferState &Transfer, const WeightsState &Weights,
              TimePoint Now) {
  Transfer.Set = Weights.Wanted.Set;
  Transfer.Began = Now;
  Transfer.WholeTold = false;
  Transfer.Seen = 0;
  Transfer.MostSeen.reset();
  Transfer.Digests = Weights.Wanted.Chunks;
  Transfer.Version = versionRef(Weights.Wanted);
  Transfer.ChunkBytes = Weights.Wanted.ChunkBytes;
  Transfer.Chunks.assign(Transfer.Digests.size(), {});
  Transfer.IndexOf.clear();
  Transfer.Missing.clear();
  Transfer.Partial.clear();
  Transfer.DrawsFor.clear();
  Transfer.LastNews = Now;
  Transfer.HeldChanged = true;
  for (size_t n = 0; n < Transfer.Digests.size(); ++n) {
    const bool First = Transfer.IndexOf.emplace(Transfer.Digests[n], n).second;
    if (First && !Weights.Held.contains(Transfer.Digests[n]))
      Transfer.Missing.insert(n);
  }
  // Indices of the old set mean other chunks now; answers that are still on
  // their way are told apart by their digest.
  for (auto &[Link, Peer] : Transfer.Peers) {
    Peer.Asked.clear();
    Peer.ToldAll = false;
    countHolder(Transfer, Peer, true, Now);
  }
}

/**
 * Says whether a chunk may be fetched from another domain: once it is seen
 * there and nobody near holds it, rank after rank.
 */
bool mayImport(const TransferState &Transfer, size_t n, TimePoint Now) {
  const ChunkProgress &Chunk = Transfer.Chunks[n];
  if (!planned(Transfer.Plan) || hasUsableHolder(Transfer, n, true, Now))
    return false;
  const size_t Rank = importRank(Transfer.Plan, n) +
                      (Chunk.ComingHere > 0 ? ImportClaimRanks : 0);
  return Now - Chunk.SeenSince >=
         Transfer.Options.TakeOver * static_cast<int64_t>(Rank);
}

/** Finds the peer from which a chunk would come soonest. */
ChunkPeer *pickSource(TransferState &Transfer, size_t n, TimePoint Now,
                      LinkId &Link) {
  const bool Import = mayImport(Transfer, n, Now);
  ChunkPeer *Best = nullptr;
  for (auto &[Id, Peer] : Transfer.Peers) {
    if (Peer.Asked.size() >= MaxAskedOfPeer || Now < Peer.AvoidUntil ||
        (!Peer.SameDomain && !Import) || !holds(Peer, Transfer.Set, n))
      continue;
    const auto Compared = Best == nullptr
                              ? std::weak_ordering::less
                              : expectedTime(Peer) <=> expectedTime(*Best);
    if (Compared > 0 || (Compared == 0 && nextRandom(Transfer.Random) % 2 == 0))
      continue;
    Best = &Peer;
    Link = Id;
  }
  return Best;
}

/** Missing chunks that some peer holds, rarest first, ties in any order. */
std::vector<size_t> wantedFromPeers(TransferState &Transfer) {
  std::vector<std::pair<uint64_t, size_t>> Keyed;
  for (const size_t n : Transfer.Missing) {
    const ChunkProgress &Chunk = Transfer.Chunks[n];
    if (Chunk.Asked || Chunk.HoldersHere + Chunk.HoldersOutside == 0)
      continue;
    const uint64_t Tie = nextRandom(Transfer.Random) & UINT32_MAX;
    Keyed.emplace_back((uint64_t{Chunk.HoldersHere} << 32U) | Tie, n);
  }
  std::ranges::sort(Keyed);
  std::vector<size_t> Order(Keyed.size());
  std::ranges::transform(Keyed, Order.begin(),
                         [](const auto &Row) { return Row.second; });
  return Order;
}

/** Chunks that may be under way to this host. */
size_t mostAsked(const TransferState &Transfer) {
  if (!comesInParts(Transfer))
    return MaxAsked;
  // Requests, their ends and answers would wait behind chunks.
  if (ownLinkIsSlow(Transfer))
    return 1;
  const double Fit = LinkFillSeconds * Transfer.Options.LinkBytesPerSecond /
                     static_cast<double>(Transfer.ChunkBytes);
  return static_cast<size_t>(
      std::clamp(Fit, FewestAsked, static_cast<double>(MaxAsked)));
}

/**
 * Asks for the parts of a chunk that may be under way at a time. On a narrow
 * link a whole chunk would fill it for as long as an answer may pause; parts
 * leave room between them.
 */
void askParts(TransferState &Transfer, size_t n, LinkId Link, Effects &Out) {
  if (!comesInParts(Transfer)) {
    Out.push_back(SendMessage{Link, ChunkRequest{Transfer.Digests[n]}});
    return;
  }
  PartialChunk &Part = Transfer.Partial[n];
  if (Part.Link != Link) {
    Part = {};
    Part.Link = Link;
  }
  while (Part.AskedUpTo < Transfer.ChunkBytes &&
         Part.AskedUpTo < Part.Received + PartsAhead * PartBytes) {
    Out.push_back(SendMessage{
        Link, ChunkRequest{Transfer.Digests[n], Part.AskedUpTo, PartBytes}});
    Part.AskedUpTo += PartBytes;
  }
}

void askPeers(TransferState &Transfer, TimePoint Now, Effects &Out) {
  size_t Open = 0;
  bool Room = false;
  for (const auto &[Link, Peer] : Transfer.Peers) {
    Open += Peer.Asked.size();
    Room |= Peer.Asked.size() < MaxAskedOfPeer && Now >= Peer.AvoidUntil;
  }
  const size_t Most = mostAsked(Transfer);
  if (!Room || Open >= Most)
    return;
  for (const size_t n : wantedFromPeers(Transfer)) {
    LinkId Link;
    ChunkPeer *Peer = pickSource(Transfer, n, Now, Link);
    if (Peer == nullptr)
      continue;
    if (Peer->Asked.empty())
      Peer->LastData = Now;
    Peer->Asked.insert(n);
    Transfer.Chunks[n].Asked = true;
    Transfer.Chunks[n].AskedAt = Now;
    if (!Peer->SameDomain)
      noteComing(Transfer, n);
    askParts(Transfer, n, Link, Out);
    if (++Open >= Most)
      return;
  }
}

ChunkHave describeHeld(const TransferState &Transfer) {
  ChunkHave Have;
  Have.Set = Transfer.Set;
  Have.Held.assign((Transfer.Digests.size() + 7) / 8, 0);
  Have.Coming = Have.Held;
  for (size_t n = 0; n < Transfer.Digests.size(); ++n) {
    if (!Transfer.Missing.contains(n))
      setBit(Have.Held, n);
    else if (Transfer.Chunks[n].Coming)
      setBit(Have.Coming, n);
  }
  return Have;
}

void tellHeld(TransferState &Transfer, TimePoint Now, Effects &Out) {
  const bool Due =
      Transfer.HeldChanged && Now - Transfer.LastTold >= TellPeriod;
  const bool NewPeer = std::ranges::any_of(
      Transfer.Peers, [](const auto &Row) { return !Row.second.ToldAll; });
  if (Transfer.Set.Value.empty() || (!Due && !NewPeer))
    return;
  const ChunkHave Have = describeHeld(Transfer);
  for (auto &[Link, Peer] : Transfer.Peers) {
    if (!Due && Peer.ToldAll)
      continue;
    Peer.ToldAll = true;
    Out.push_back(SendMessage{Link, Have});
  }
  if (!Due)
    return;
  Transfer.HeldChanged = false;
  Transfer.LastTold = Now;
}

/** Closes the window of the rate when it has lasted long enough. */
void measureRate(TransferState &Transfer, TimePoint Now) {
  const Duration Passed = Now - Transfer.RateSince;
  if (Passed < RateWindow)
    return;
  Transfer.BytesPerSecond = Transfer.RateBytes * 1000 /
                            static_cast<uint64_t>(toMillis(Passed).count());
  Transfer.RateBytes = 0;
  Transfer.RateSince = Now;
}

/** Notes that a chunk is here to stay. */
void holdChunk(TransferState &Transfer, WeightsState &Weights, size_t n,
               const ChunkBytes &Bytes, TimePoint Now) {
  Transfer.Missing.erase(n);
  Weights.Held[Transfer.Digests[n]] = Bytes;
  Transfer.HeldChanged = true;
  noteSeen(Transfer, Transfer.Chunks[n], Now);
}

/** Takes a chunk that arrived; says whether it can be used. */
bool takeChunk(TransferState &Transfer, WeightsState &Weights,
               const Digest &Chunk, const CheckedChunk &Came, TimePoint Now,
               Effects &Out) {
  const auto it = Transfer.IndexOf.find(Chunk);
  // The version may have changed while the chunk was on its way.
  if (it == Transfer.IndexOf.end())
    return true;
  ChunkProgress &Progress = Transfer.Chunks[it->second];
  Progress.Asked = Progress.Coming = false;
  if (Came.Bytes == nullptr)
    return false;
  if (Came.Actual != Chunk) {
    ++Transfer.Counters.BadChunks;
    return false;
  }
  if (!Transfer.Missing.contains(it->second)) {
    ++Transfer.Counters.Repeated;
    return true;
  }
  Transfer.RateBytes += Came.Bytes->size();
  if (Weights.AtEngine) {
    // Two sets in the memory of each agent would be most of what the fleet
    // uses; the engine has room for one beside its own anyway.
    Progress.Asked = true;
    Out.push_back(StageChunk{chunkRef(Transfer, it->second), Came.Bytes});
    return true;
  }
  holdChunk(Transfer, Weights, it->second, Came.Bytes, Now);
  return true;
}

/** Logs once that all chunks of a set are here. */
void tellWhole(TransferState &Transfer, TimePoint Now, Effects &Out) {
  if (Transfer.WholeTold || Transfer.Digests.empty() ||
      !Transfer.Missing.empty())
    return;
  Transfer.WholeTold = true;
  const TransferCounters &Count = Transfer.Counters;
  Out.push_back(LogNote{
      LogPart::Weights, LogLevel::Info,
      "event=set_whole set=" + Transfer.Set.Value +
          " ms=" + std::to_string(toMillis(Now - Transfer.Began).count()) +
          " from_origin=" + std::to_string(Count.BytesFromOrigin) +
          " from_domain=" + std::to_string(Count.BytesFromPeers) +
          " from_others=" + std::to_string(Count.BytesAcross)});
}

} // namespace

TransferState makeTransfer(const Settings &Config) {
  TransferState Transfer;
  Transfer.Options = {Config.WeightsFromPeers,
                      Millis(Config.ChunkTakeoverMillis),
                      Config.LinkMegabits * BytesPerMegabit};
  Transfer.Uplink.PerSecond =
      Config.UplinkBytesPerSecond > 0
          ? static_cast<double>(Config.UplinkBytesPerSecond)
          : LinkPart * Transfer.Options.LinkBytesPerSecond;
  if (Transfer.Options.LinkBytesPerSecond > 0)
    Transfer.Uplink.BurstSeconds = NarrowBurstSeconds;
  Transfer.Across.PerSecond = static_cast<double>(Config.AcrossBytesPerSecond);
  Transfer.Random = rendezvousScore("transfer", Config.Name) | 1U;
  return Transfer;
}

CheckedChunk checkChunk(ChunkBytes Bytes) {
  CheckedChunk Checked;
  if (Bytes != nullptr)
    Checked.Actual = sha256(*Bytes);
  Checked.Bytes = std::move(Bytes);
  return Checked;
}

void planTransfer(TransferState &Transfer, const WeightsState &Weights,
                  const Document &Doc, const HostName &Self, TimePoint Now) {
  if (Transfer.Plan.Hosts.empty())
    Transfer.SettledAt = Now + SettleTime;
  Transfer.Plan = makeChunkPlan(Doc, Self);
  const auto Unplanned = [&](const auto &Row) {
    return std::ranges::find(Transfer.Plan.Hosts, Row.first, &PlanHost::Name) ==
           Transfer.Plan.Hosts.end();
  };
  std::erase_if(Transfer.Distrusted, Unplanned);
  std::erase_if(Transfer.Gone, Unplanned);
  if (Transfer.Set != Weights.Wanted.Set)
    beginSet(Transfer, Weights, Now);
}

void chunkPeerReady(TransferState &Transfer, LinkId Link, const HostName &Name,
                    bool SameDomain) {
  ChunkPeer &Peer = Transfer.Peers[Link];
  Transfer.Gone.erase(Name);
  Peer.Name = Name;
  Peer.SameDomain = SameDomain;
  Peer.ToldAll = false;
  // A peer that fails and opens its link again is still left alone.
  if (const auto it = Transfer.Distrusted.find(Name);
      it != Transfer.Distrusted.end())
    Peer.AvoidUntil = it->second.Until;
}

void chunkPeerGone(TransferState &Transfer, LinkId Link, TimePoint Now) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  releaseAsked(Transfer, it->second);
  countHolder(Transfer, it->second, false, {});
  Transfer.Gone.try_emplace(it->second.Name, Now);
  Transfer.Peers.erase(it);
  std::erase_if(Transfer.Uploads,
                [&](const Upload &One) { return One.Link == Link; });
}

void chunkHaveHeard(TransferState &Transfer, LinkId Link, const ChunkHave &Have,
                    TimePoint Now) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  countHolder(Transfer, it->second, false, Now);
  it->second.Told = Have;
  countHolder(Transfer, it->second, true, Now);
}

void chunkFromPeer(TransferState &Transfer, WeightsState &Weights, LinkId Link,
                   const Digest &Chunk, const CheckedChunk &Came, TimePoint Now,
                   Effects &Out) {
  const auto it = Transfer.Peers.find(Link);
  if (it == Transfer.Peers.end())
    return;
  ChunkPeer &Peer = it->second;
  Peer.LastData = Now;
  if (const auto Index = Transfer.IndexOf.find(Chunk);
      Index != Transfer.IndexOf.end() && Peer.Asked.erase(Index->second) > 0)
    learnChunkTime(Peer, Now - Transfer.Chunks[Index->second].AskedAt);
  if (!takeChunk(Transfer, Weights, Chunk, Came, Now, Out)) {
    avoidPeer(Transfer, Peer, Now);
    return;
  }
  const uint64_t Bytes = Came.Bytes == nullptr ? 0 : Came.Bytes->size();
  (Peer.SameDomain ? Transfer.Counters.BytesFromPeers
                   : Transfer.Counters.BytesAcross) += Bytes;
}

std::optional<std::string> partFromPeer(TransferState &Transfer, LinkId Link,
                                        const ChunkData &Data, TimePoint Now,
                                        Effects &Out) {
  const auto Peer = Transfer.Peers.find(Link);
  const auto Index = Transfer.IndexOf.find(Data.Chunk);
  if (Data.Bytes.empty())
    return std::string(); // Not held there: the peer is judged for the whole.
  if (Peer == Transfer.Peers.end() || Index == Transfer.IndexOf.end())
    return std::nullopt;
  const auto it = Transfer.Partial.find(Index->second);
  // A late part of a request that was given up, or is made elsewhere.
  if (it == Transfer.Partial.end() || it->second.Link != Link)
    return std::nullopt;
  Peer->second.LastData = Now;
  PartialChunk &Part = it->second;
  // The sender reads parts on several threads, so they may overtake each other.
  if (Part.Parts.emplace(Data.Offset, Data.Bytes).second)
    Part.Received += Data.Bytes.size();
  if (Part.Received >= Data.Total) {
    std::string Whole;
    for (const auto &[Offset, Bytes] : Part.Parts)
      Whole += Bytes;
    Transfer.Partial.erase(it);
    return Whole;
  }
  askParts(Transfer, Index->second, Link, Out);
  return std::nullopt;
}

void chunkFromOrigin(TransferState &Transfer, WeightsState &Weights,
                     const Digest &Chunk, const CheckedChunk &Came,
                     TimePoint Now, Effects &Out) {
  if (Transfer.Drawing > 0)
    --Transfer.Drawing;
  if (takeChunk(Transfer, Weights, Chunk, Came, Now, Out)) {
    Transfer.Counters.BytesFromOrigin += Came.Bytes ? Came.Bytes->size() : 0;
    return;
  }
  drawFailed(Transfer, Transfer.IndexOf.at(Chunk), Now);
}

void chunkStaged(TransferState &Transfer, WeightsState &Weights,
                 const ChunkRef &Chunk, bool Staged, TimePoint Now) {
  const auto it = Transfer.IndexOf.find(Chunk.Content);
  // Another version may be wanted by now.
  if (it == Transfer.IndexOf.end() || Transfer.Version.Model != Chunk.Model ||
      Transfer.Version.Version != Chunk.Version)
    return;
  Transfer.Chunks[it->second].Asked = false;
  if (Staged && Transfer.Missing.contains(it->second))
    holdChunk(Transfer, Weights, it->second, nullptr, Now);
}

void chunkSpoilt(TransferState &Transfer, WeightsState &Weights,
                 const Digest &Chunk) {
  const auto it = Transfer.IndexOf.find(Chunk);
  if (it == Transfer.IndexOf.end() || Weights.Held.erase(Chunk) == 0)
    return;
  ++Transfer.Counters.BadChunks;
  Transfer.Missing.insert(it->second);
  Transfer.Chunks[it->second].Asked = false;
  Transfer.HeldChanged = true;
}

std::vector<ChunkRef> missingChunks(const TransferState &Transfer) {
  std::vector<ChunkRef> All;
  std::ranges::transform(Transfer.Missing, std::back_inserter(All),
                         [&](size_t n) { return chunkRef(Transfer, n); });
  return All;
}

void moveChunks(TransferState &Transfer, const WeightsState &Weights,
                TimePoint Now, Effects &Out) {
  measureRate(Transfer, Now);
  tellHeld(Transfer, Now, Out);
  serveUploads(Transfer, Weights, Now, Out);
  tellWhole(Transfer, Now, Out);
  if (Transfer.Missing.empty() || Weights.Loaded == Weights.Wanted.Set)
    return;
  dropStalled(Transfer, Now, Out);
  passBySlowPeers(Transfer, Now, Out);
  if (Transfer.Options.FromPeers)
    askPeers(Transfer, Now, Out);
  askOrigin(Transfer, Now, Out);
}

void describeTransfer(const TransferState &Transfer, WorkerLoad &Load) {
  Load.ChunksWanted = static_cast<uint32_t>(Transfer.Chunks.size());
  Load.ChunksHeld =
      static_cast<uint32_t>(Transfer.Chunks.size() - Transfer.Missing.size());
  Load.BytesPerSecond = Transfer.BytesPerSecond;
  Load.BytesFromOrigin = Transfer.Counters.BytesFromOrigin;
  Load.BytesFromPeers = Transfer.Counters.BytesFromPeers;
  Load.BytesAcross = Transfer.Counters.BytesAcross;
}

} // namespace jacinthpond
