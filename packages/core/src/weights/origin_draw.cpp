/** @file origin_draw.cpp Fetching chunks from the origin. */

#include "weights/origin_draw_func.h"

#include "weights/chunk_plan_func.h"
#include "weights/chunk_progress_func.h"

#include <algorithm>
#include <bit>

namespace jacinthpond {

namespace {

/** Maximum of concurrent requests to the origin. */
constexpr size_t MaxOriginRequests = 2;
/** Delay before a chunk is requested again after a failure of the origin;
 * doubled with each wrong content. */
constexpr Millis OriginRetryDelay{200};
constexpr uint32_t MaxDoublings = 5;
/** Wrong contents after which those that come wrong share one pace. */
constexpr uint32_t MaxFastRetries = 2;
/** Time between two requests at that pace for the first host; the n-th one
 * waits n times as long, so that a large fleet sends a few a second. */
constexpr Millis WrongRetryPeriod{2000};
/**
 * Ranks that this host is put back for a chunk that a linked agent announced to
 * be fetching. The request of that agent may be queued at the origin; if it
 * fails, the announcement has only delayed the next rank.
 */
constexpr size_t ClaimRanks = 4;
/** Time after which the host behind a lost link counts as gone. */
constexpr Millis LostLinkTimeout{1000};
/** Maximum rank at which the hosts before this one are checked one by one. */
constexpr size_t MaxKnownRanks = 4;
/** Ranks that take over an overdue chunk within one takeover delay. */
constexpr size_t RanksWhenOverdue = 4;

/** Gives the position of the host that has to fetch a chunk first. */
size_t firstFetcher(const TransferState &Transfer, size_t n) {
  return Transfer.Plan.Hosts.empty() ? 0 : n % Transfer.Plan.Hosts.size();
}

/** Says whether the link to a host was lost and has not come back in time. */
bool isGone(const TransferState &Transfer, const HostName &Name,
            TimePoint Now) {
  const auto it = Transfer.LostPeers.find(Name);
  return it != Transfer.LostPeers.end() && Now - it->second >= LostLinkTimeout;
}

/**
 * Gives the rank of this host for a chunk, not counting hosts before it whose
 * links are lost; 0 when this host already substitutes for the first one.
 */
size_t ownOriginRank(const TransferState &Transfer, size_t n, TimePoint Now) {
  const size_t Rank = originRank(Transfer.Plan, n);
  const size_t First = firstFetcher(Transfer, n);
  if (Transfer.SubstitutedHosts.contains(First))
    return 0;
  if (Rank > MaxKnownRanks)
    return Rank;
  size_t Alive = 0;
  for (size_t Step = 0; Step < Rank; ++Step) {
    const size_t At = (First + Step) % Transfer.Plan.Hosts.size();
    Alive += isGone(Transfer, Transfer.Plan.Hosts[At].Name, Now) ? 0 : 1;
  }
  return Alive;
}

/**
 * Says whether a rank may take over a chunk that is still missing everywhere a
 * while after most others became available. The host that fetches it then has a
 * much slower link than the others, and all hosts would wait for it. Fetching
 * it twice costs the transfer of one chunk.
 */
bool isOverdue(const TransferState &Transfer, size_t Rank, TimePoint Now) {
  if (!Transfer.MostSeenSince)
    return false;
  return Now - *Transfer.MostSeenSince >=
         Transfer.Options.TakeoverDelay +
             Transfer.Options.TakeoverDelay * static_cast<int64_t>(Rank) /
                 static_cast<int64_t>(RanksWhenOverdue);
}

/**
 * Says whether this host may fetch a chunk from the origin. The first rank does
 * so at once, and so does the next one when the link to the first is lost. A
 * host may also be cut off from the origin, or have no link to this one: when
 * no new chunk is announced anymore, rank after rank takes over. While new
 * chunks are announced, the origin is working and the chunk may be queued
 * there. A chunk that was announced is held by some host and will spread.
 */
bool mayFetchFromOrigin(const TransferState &Transfer, size_t n,
                        TimePoint Now) {
  if (!Transfer.Options.FromPeers)
    return true;
  if (!isPlanned(Transfer.Plan) || Now < Transfer.LinksSettledAt)
    return false;
  const ChunkProgress &Chunk = Transfer.Chunks[n];
  const bool Claimed = Chunk.ImportersInDomain + Chunk.ImportersElsewhere > 0;
  const size_t Rank = ownOriginRank(Transfer, n, Now) + (Chunk.Seen ? 1 : 0) +
                      (Claimed ? ClaimRanks : 0);
  // After a start, the first rank waits for its links too.
  const TimePoint QuietSince =
      std::max(Transfer.AvailabilityChangedAt, Transfer.LinksSettledAt);
  const bool Quiet = Now - QuietSince >= Transfer.Options.TakeoverDelay *
                                             static_cast<int64_t>(Rank);
  return (Quiet || isOverdue(Transfer, Rank, Now)) &&
         !hasUsableHolder(Transfer, n, false, Now);
}

/** Says whether a content came wrong so often that its requests share the pace
 * of all such contents. The origin's link is shared by the whole fleet, and a
 * list that does not fit its chunks makes all of them come wrong. */
bool isSuspect(const ChunkProgress &Chunk) {
  return Chunk.WrongCount > MaxFastRetries;
}

} // namespace

void requestFromOrigin(TransferState &Transfer, TimePoint Now, Effects &Out) {
  if (Now < Transfer.OriginPausedUntil)
    return;
  for (const size_t n : Transfer.ToFetch) {
    if (Transfer.OriginRequests >= MaxOriginRequests)
      return;
    ChunkProgress &Chunk = Transfer.Chunks[n];
    if (Chunk.Requested || Now < Chunk.RetryAt ||
        (isSuspect(Chunk) && Now < Transfer.NextWrongRetry) ||
        !mayFetchFromOrigin(Transfer, n, Now))
      continue;
    if (isSuspect(Chunk))
      Transfer.NextWrongRetry =
          Now + WrongRetryPeriod * static_cast<int64_t>(Transfer.Plan.Self + 1);
    Chunk.Requested = true;
    markImporting(Transfer, n);
    ++Transfer.OriginRequests;
    Out.push_back(FetchFromOrigin{chunkRef(Transfer, n)});
    const size_t Rank =
        isPlanned(Transfer.Plan) ? originRank(Transfer.Plan, n) : 0;
    if (Rank == 0 || !Transfer.Options.FromPeers)
      continue;
    // The other chunks of the first fetcher need no further waits.
    Transfer.SubstitutedHosts.insert(firstFetcher(Transfer, n));
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "Fetching chunk " + std::to_string(n) +
                              " from the origin as rank " +
                              std::to_string(Rank) + "."});
  }
}

void recordWrongContent(TransferState &Transfer, size_t n, TimePoint Now,
                        Effects &Out) {
  ChunkProgress &Chunk = Transfer.Chunks[n];
  const Millis Delay =
      doubledDelay(OriginRetryDelay, Chunk.WrongCount, MaxDoublings);
  ++Chunk.WrongCount;
  recordOriginFailure(Transfer, n, Now);
  Chunk.RetryAt = Now + Delay;
  if (std::has_single_bit(Chunk.WrongCount))
    Out.push_back(
        LogNote{LogPart::Weights, LogLevel::Warn,
                "event=origin_sent_wrong version=" + Transfer.Version.Version +
                    " number=" + std::to_string(n) +
                    " wanted=" + Transfer.Digests[n].Value +
                    " times=" + std::to_string(Chunk.WrongCount) +
                    " next_ms=" + std::to_string(Delay.count())});
}

void recordOriginFailure(TransferState &Transfer, size_t n, TimePoint Now) {
  Transfer.Chunks[n].RetryAt = Now + OriginRetryDelay;
  // The origin may be down for all hosts, which looks as if all other fetchers
  // had failed. If each host took over for all of them, the origin would have
  // to send every chunk to every host once it is back.
  Transfer.AvailabilityChangedAt = Now;
  Transfer.SubstitutedHosts.clear();
  if (Transfer.MostSeenSince)
    Transfer.MostSeenSince = Now;
}

} // namespace jacinthpond
