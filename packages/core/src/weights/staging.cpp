/** @file staging.cpp Staging of chunks at an engine, slot by slot. */

#include "weights/staging_func.h"

#include "weights/chunk_progress_func.h"
#include "weights/weights_func.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Delay before a slot that the engine did not answer for is used again. */
constexpr Millis SlotRetryDelay{200};
/** Maximum of contents in memory at which another one is read from a slot. */
constexpr size_t MaxHeldForRead = 4;

/** Says whether a slot still needs a content of the wanted set. */
bool isNeeded(const TransferState &Transfer, const Digest &Content) {
  const auto it = Transfer.NumbersOf.find(Content);
  return it != Transfer.NumbersOf.end() &&
         std::ranges::any_of(it->second, [&](size_t n) {
           return Transfer.Missing.contains(n);
         });
}

/** Says whether a slot has the only copy of a content that others need. */
bool isOnlyCopy(const TransferState &Transfer, const WeightsState &Weights,
                size_t n) {
  const Digest &Content = Weights.Slots[n].Content;
  return isNeeded(Transfer, Content) && !Weights.Held.contains(Content) &&
         std::ranges::count(Weights.Slots, Content, &StagedSlot::Content) == 1;
}

/** Reads the content of a slot, unless a read has not ended yet. */
void readSlot(TransferState &Transfer, const WeightsState &Weights, size_t n,
              TimePoint Now, Effects &Out) {
  if (Transfer.SlotBeingRead || Now < Weights.Slots[n].RetryAt)
    return;
  Transfer.SlotBeingRead = n;
  Out.push_back(ReadSlot{slotRef(Transfer, n, Weights.Slots[n].Content)});
}

/** Reads the next content that is needed and only in other slots. */
void readNextCopy(TransferState &Transfer, const WeightsState &Weights,
                  TimePoint Now, Effects &Out) {
  if (Transfer.SlotBeingRead || Weights.Held.size() >= MaxHeldForRead)
    return;
  const auto it = std::ranges::find_if(Transfer.Missing, [&](size_t n) {
    return !Weights.Held.contains(Transfer.Digests[n]) &&
           findSlot(Weights, Transfer.Digests[n]);
  });
  if (it != Transfer.Missing.end())
    readSlot(Transfer, Weights, *findSlot(Weights, Transfer.Digests[*it]), Now,
             Out);
}

/** Says whether a reference is to a slot of this engine. */
bool isSlot(const WeightsState &Weights, const ChunkRef &Chunk) {
  return Chunk.Model == Weights.Wanted.Name &&
         Chunk.Number < Weights.Slots.size();
}

} // namespace

void updateContent(TransferState &Transfer, const WeightsState &Weights,
                   const Digest &Content, TimePoint Now) {
  const auto it = Transfer.NumbersOf.find(Content);
  if (it == Transfer.NumbersOf.end())
    return;
  for (const size_t n : it->second) {
    if (isChunkInPlace(Weights, n))
      Transfer.Missing.erase(n);
    else
      Transfer.Missing.insert(n);
  }
  const size_t First = it->second.front();
  const bool WasHere = !Transfer.ToFetch.contains(First);
  const bool IsHere = hasContent(Weights, Content);
  if (IsHere) {
    Transfer.ToFetch.erase(First);
    markSeen(Transfer, First, Now);
  } else {
    Transfer.ToFetch.insert(First);
  }
  Transfer.AnnouncementDue |= IsHere != WasHere;
}

void holdContent(TransferState &Transfer, WeightsState &Weights,
                 const Digest &Content, const ChunkBytes &Bytes,
                 TimePoint Now) {
  Weights.Held[Content] = Bytes;
  updateContent(Transfer, Weights, Content, Now);
}

void dropStagedContents(const TransferState &Transfer, WeightsState &Weights) {
  if (Weights.StagedAtEngine)
    std::erase_if(Weights.Held, [&](const auto &Row) {
      return !isNeeded(Transfer, Row.first);
    });
}

// A slot that has the only copy of another chunk is read before it is
// overwritten. So a version whose chunks have only moved needs no transfer, and
// few contents are in memory at a time. If the process ends between the read
// and the write, that content is fetched again.
void stageChunks(TransferState &Transfer, WeightsState &Weights, TimePoint Now,
                 Effects &Out) {
  if (!Weights.StagedAtEngine)
    return;
  for (const size_t n : Transfer.Missing) {
    StagedSlot &Slot = Weights.Slots[n];
    const auto it = Weights.Held.find(Transfer.Digests[n]);
    if (it == Weights.Held.end() || Slot.IsWriting || Now < Slot.RetryAt ||
        Transfer.SlotBeingRead == n)
      continue;
    if (isOnlyCopy(Transfer, Weights, n)) {
      readSlot(Transfer, Weights, n, Now, Out);
      continue;
    }
    // What the slot contains is unknown until the write has ended.
    Slot.Content = {};
    Slot.IsWriting = true;
    Out.push_back(StageChunk{chunkRef(Transfer, n), it->second});
  }
  readNextCopy(Transfer, Weights, Now, Out);
}

void recordStagedChunk(TransferState &Transfer, WeightsState &Weights,
                       const ChunkRef &Chunk, bool Staged, TimePoint Now) {
  if (!isSlot(Weights, Chunk))
    return;
  StagedSlot &Slot = Weights.Slots[Chunk.Number];
  Slot.IsWriting = false;
  if (Staged)
    Slot.Content = Chunk.Content;
  else
    Slot.RetryAt = Now + SlotRetryDelay;
  updateContent(Transfer, Weights, Chunk.Content, Now);
  dropStagedContents(Transfer, Weights);
}

Digest recordSlotRead(TransferState &Transfer, WeightsState &Weights,
                      const SlotRead &Read, TimePoint Now) {
  const size_t n = Read.Slot.Number;
  if (Transfer.SlotBeingRead == n)
    Transfer.SlotBeingRead.reset();
  if (!isSlot(Weights, Read.Slot))
    return {};
  StagedSlot &Slot = Weights.Slots[n];
  if (!Read.Answered) {
    Slot.RetryAt = Now + SlotRetryDelay;
    return {};
  }
  if (Slot.IsWriting)
    return {}; // Read before the write.
  const Digest &Found = Read.Found.Actual;
  const Digest Before = std::exchange(Slot.Content, Found);
  if (Read.Found.Bytes != nullptr && isNeeded(Transfer, Found))
    Weights.Held[Found] = Read.Found.Bytes;
  updateContent(Transfer, Weights, Found, Now);
  updateContent(Transfer, Weights, Before, Now);
  dropStagedContents(Transfer, Weights);
  return Before;
}

std::vector<ChunkRef> unknownSlots(const TransferState &Transfer,
                                   const WeightsState &Weights) {
  std::vector<ChunkRef> All;
  for (const size_t n : Transfer.Missing)
    if (n < Weights.Slots.size() && !Weights.Slots[n].IsWriting &&
        Weights.Slots[n].Content.Value.empty())
      All.push_back(chunkRef(Transfer, n));
  return All;
}

} // namespace jacinthpond
