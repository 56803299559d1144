/** @file origin_draw.cpp Which host draws which chunk from the origin. */

#include "weights/origin_draw_func.h"

#include "weights/chunk_plan_func.h"
#include "weights/chunk_progress_func.h"

namespace jacinthpond {

namespace {

/** Chunks asked of the origin at a time. */
constexpr size_t MaxDrawing = 2;
/** Wait before a chunk that the origin failed to give is asked for again. */
constexpr Millis OriginRetry{200};
/**
 * Ranks that a chunk waits longer where a linked agent said that it brings it.
 * That agent's request may stand in a queue; should it come to nothing, the
 * claim only delays the next rank.
 */
constexpr size_t ClaimRanks = 4;
/** Time for a lost link to come back before its host counts as gone. */
constexpr Millis GoneTime{1000};
/** Ranks before this host that are looked at one by one. */
constexpr size_t MaxKnownRanks = 4;
/** Ranks that take their turn for an overdue chunk in one takeover time. */
constexpr size_t RanksWhenOverdue = 4;

/** Position of the host that draws a chunk first. */
size_t firstDrawer(const TransferState &Transfer, size_t n) {
  return Transfer.Plan.Hosts.empty() ? 0 : n % Transfer.Plan.Hosts.size();
}

/** Says whether a host had a link to this one and lost it a while ago. */
bool isGone(const TransferState &Transfer, const HostName &Name,
            TimePoint Now) {
  const auto it = Transfer.Gone.find(Name);
  return it != Transfer.Gone.end() && Now - it->second >= GoneTime;
}

/**
 * This host's rank without those before it that are gone, which are seen by
 * their links, and without those that it stands in for already.
 */
size_t ownDrawRank(const TransferState &Transfer, size_t n, TimePoint Now) {
  const size_t Rank = drawRank(Transfer.Plan, n);
  const size_t First = firstDrawer(Transfer, n);
  if (Transfer.DrawsFor.contains(First))
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
 * Says whether a rank takes over a chunk that stays out although most others
 * are there. Whoever draws it has a link far narrower than the others', and all
 * hosts would wait for it; drawn twice it costs one chunk.
 */
bool isOverdue(const TransferState &Transfer, size_t Rank, TimePoint Now) {
  if (!Transfer.MostSeen)
    return false;
  return Now - *Transfer.MostSeen >=
         Transfer.Options.TakeOver + Transfer.Options.TakeOver *
                                         static_cast<int64_t>(Rank) /
                                         static_cast<int64_t>(RanksWhenOverdue);
}

/**
 * Says whether this host draws a chunk from the origin. The first rank does
 * so at once, and so does the next one when it sees that the link of the first
 * is gone. A host may also be cut off from the origin, or too far away to be
 * seen: then no new chunk comes into view any more, and rank after rank takes
 * over. As long as new chunks do come, the origin is at work and the chunk may
 * be queued there. One that was seen is held by somebody and will come nearer.
 */
bool mayDraw(const TransferState &Transfer, size_t n, TimePoint Now) {
  if (!Transfer.Options.FromPeers)
    return true;
  if (!planned(Transfer.Plan) || Now < Transfer.SettledAt)
    return false;
  const ChunkProgress &Chunk = Transfer.Chunks[n];
  const bool Claimed = Chunk.ComingHere + Chunk.ComingOutside > 0;
  const size_t Rank = ownDrawRank(Transfer, n, Now) + (Chunk.Seen ? 1 : 0) +
                      (Claimed ? ClaimRanks : 0);
  const bool Quiet = Now - Transfer.LastNews >=
                     Transfer.Options.TakeOver * static_cast<int64_t>(Rank);
  return (Quiet || isOverdue(Transfer, Rank, Now)) &&
         !hasUsableHolder(Transfer, n, false, Now);
}

} // namespace

void askOrigin(TransferState &Transfer, TimePoint Now, Effects &Out) {
  for (const size_t n : Transfer.Missing) {
    if (Transfer.Drawing >= MaxDrawing)
      return;
    ChunkProgress &Chunk = Transfer.Chunks[n];
    if (Chunk.Asked || Now < Chunk.RetryAt || !mayDraw(Transfer, n, Now))
      continue;
    Chunk.Asked = true;
    noteComing(Transfer, n);
    ++Transfer.Drawing;
    Out.push_back(FetchFromOrigin{chunkRef(Transfer, n)});
    const size_t Rank = planned(Transfer.Plan) ? drawRank(Transfer.Plan, n) : 0;
    if (Rank == 0 || !Transfer.Options.FromPeers)
      continue;
    // Its other chunks are drawn without another wait for each of them.
    Transfer.DrawsFor.insert(firstDrawer(Transfer, n));
    Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                          "Drawing chunk " + std::to_string(n) + " as rank " +
                              std::to_string(Rank) + "."});
  }
}

void drawFailed(TransferState &Transfer, size_t n, TimePoint Now) {
  Transfer.Chunks[n].RetryAt = Now + OriginRetry;
  // The origin may be down for everybody, so that nothing shows of the other
  // drawers. Should each host stand in for all of them, the origin would have
  // to send every chunk to every host when it is back.
  Transfer.LastNews = Now;
  Transfer.DrawsFor.clear();
  if (Transfer.MostSeen)
    Transfer.MostSeen = Now;
}

} // namespace jacinthpond
