/** @file weights.cpp Decisions on fetching and loading weights. */

#include "weights/weights_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Bits of a fencing number below the configuration version. */
constexpr unsigned FenceBits = 24;

/** Maximum of the low bits of a fencing number. */
constexpr uint64_t MaxFenceLow = (uint64_t{1} << FenceBits) - 1;
/** Delay after a first failed order; doubled with each further one. */
constexpr Millis LoadOrderRetryDelay{200};
constexpr uint32_t MaxDoublings = 6;

/** Maximum number of sets whose replacement time is kept. */
constexpr size_t MaxReplaced = 8;

/** Last part of the time for a change of weights, in which no request may start
 * on replaced ones. Has to be longer than StallGap in join.cpp. */
constexpr Millis StartMargin{1200};

/** Drops all chunks but those of the wanted and the previously wanted set. */
void dropUnneededChunks(WeightsState &Weights) {
  std::set<Digest> Needed(Weights.Wanted.Chunks.begin(),
                          Weights.Wanted.Chunks.end());
  Needed.insert(Weights.PreviousChunks.begin(), Weights.PreviousChunks.end());
  std::erase_if(Weights.Held, [&](const auto &Chunk) {
    return !Needed.contains(Chunk.first);
  });
}

} // namespace

Millis replacedWeightsTime(const Settings &Config) {
  return std::max(Millis(Config.WeightsChangeMillis) - StartMargin, Millis{0});
}

bool isTooOldToServe(const WeightsState &Weights, Millis ReplacedSetTime,
                     TimePoint Now) {
  return Weights.StagedAtEngine && Weights.OutdatedSince &&
         Now - *Weights.OutdatedSince >= ReplacedSetTime;
}

void recordNewestSet(WeightsState &Weights, const Digest &Set,
                     TimePoint Since) {
  if (Weights.Newest == Set)
    return;
  if (!Weights.Newest.Value.empty())
    Weights.ReplacedAt[Weights.Newest] = Since;
  Weights.ReplacedAt.erase(Set); // A former version is wanted again.
  if (Weights.ReplacedAt.size() > MaxReplaced)
    Weights.ReplacedAt.erase(std::ranges::min_element(
        Weights.ReplacedAt, {}, [](const auto &Row) { return Row.second; }));
  Weights.Newest = Set;
  Weights.NewestSince = Since;
  // If the loaded set was already replaced, a further version does not extend
  // the time for which it may be used.
  if (Weights.Loaded == Set)
    Weights.OutdatedSince.reset();
  else if (!Weights.OutdatedSince && !Weights.Loaded.Value.empty())
    Weights.OutdatedSince = Weights.ReplacedAt[Weights.Loaded] = Since;
}

void recordLoadedSet(WeightsState &Weights, const Digest &Set) {
  if (Weights.Loaded == Set)
    return;
  Weights.Loaded = Set;
  Weights.OutdatedSince.reset();
  if (Weights.Newest.Value.empty() || Set.Value.empty() ||
      Set == Weights.Newest)
    return;
  // After a failed order, an old set is read back. It was replaced when its own
  // successor was published, not when the newest set was.
  const auto it = Weights.ReplacedAt.find(Set);
  Weights.OutdatedSince =
      it == Weights.ReplacedAt.end() ? Weights.NewestSince : it->second;
}

void setWantedWeights(WeightsState &Weights, const ModelVersion &Wanted) {
  if (Weights.Wanted.Set == Wanted.Set)
    return;
  if (Weights.StagedAtEngine) {
    if (Weights.Wanted.Name != Wanted.Name)
      Weights.Slots.clear();
    Weights.Slots.resize(std::max(Weights.Slots.size(), Wanted.Chunks.size()));
  } else {
    Weights.PreviousChunks = std::move(Weights.Wanted.Chunks);
  }
  Weights.Wanted = Wanted;
  // If the worker drained for a version that is no longer wanted, it serves on.
  Weights.Draining = false;
  Weights.PublishedSets.insert(Wanted.Set);
  dropUnneededChunks(Weights);
}

void dropPreviousChunks(WeightsState &Weights) {
  if (Weights.PreviousChunks.empty())
    return;
  Weights.PreviousChunks.clear();
  dropUnneededChunks(Weights);
}

std::optional<size_t> findSlot(const WeightsState &Weights,
                               const Digest &Content) {
  const auto it =
      std::ranges::find(Weights.Slots, Content, &StagedSlot::Content);
  if (it == Weights.Slots.end() || Content.Value.empty())
    return std::nullopt;
  return static_cast<size_t>(it - Weights.Slots.begin());
}

bool hasContent(const WeightsState &Weights, const Digest &Content) {
  return Weights.Held.contains(Content) || findSlot(Weights, Content);
}

bool isChunkInPlace(const WeightsState &Weights, size_t n) {
  const Digest &Content = Weights.Wanted.Chunks[n];
  if (!Weights.StagedAtEngine)
    return Weights.Held.contains(Content);
  return n < Weights.Slots.size() && Weights.Slots[n].Content == Content;
}

bool isWantedSetComplete(const WeightsState &Weights) {
  const size_t Count = Weights.Wanted.Chunks.size();
  for (size_t n = 0; n < Count; ++n)
    if (!isChunkInPlace(Weights, n))
      return false;
  return Count > 0;
}

void sendLoadOrder(WeightsState &Weights, ConfigVersion Version, Effects &Out) {
  LoadWeights Load;
  Load.Order.Fence.Value = (Version.Value << FenceBits) + Weights.NextFence;
  Weights.NextFence = std::min(Weights.NextFence + 1, MaxFenceLow);
  Load.Order.Set = Weights.Wanted.Set;
  Load.Order.Model = Weights.Wanted.Name;
  Load.Order.Version = Weights.Wanted.Version;
  Load.Order.Chunks = Weights.Wanted.Chunks;
  for (const Digest &Chunk : Weights.Wanted.Chunks)
    Load.Chunks.push_back(Weights.StagedAtEngine ? nullptr
                                                 : Weights.Held.at(Chunk));
  Load.Order.ForceReload = Weights.Unconfirmed.contains(Load.Order.Set);
  Weights.OrderedSet = Load.Order.Set;
  Weights.OrderedRun = Weights.EngineRun;
  Weights.Loading = true;
  ++Weights.OrdersSent;
  Weights.Draining = false;
  Out.push_back(std::move(Load));
  Out.push_back(LogNote{LogPart::Weights, LogLevel::Info,
                        "Loading version " + Weights.Wanted.Version + "."});
}

void recordOrderEnd(WeightsState &Weights, bool Taken, TimePoint Now) {
  ++Weights.OrdersEnded;
  Weights.Loaded = Digest{};
  if (Taken) {
    Weights.FailedOrders = 0;
    return;
  }
  Weights.NextOrder = Now + doubledDelay(LoadOrderRetryDelay,
                                         Weights.FailedOrders, MaxDoublings);
  ++Weights.FailedOrders;
  // A restarted agent counts from the start, and an engine that remembers the
  // numbers of its former incarnation would refuse it forever. Doubling soon
  // passes any of these numbers. An agent with an older configuration cannot
  // get past them, as the version is in the high bits.
  Weights.NextFence = std::min(Weights.NextFence * 2, MaxFenceLow);
}

void markOrderUnconfirmed(WeightsState &Weights) {
  Weights.Unconfirmed.insert(Weights.OrderedSet);
}

void markOrderConfirmed(WeightsState &Weights) { Weights.Unconfirmed.clear(); }

Digest confirmedSet(WeightsState &Weights, const std::string &Run,
                    const Digest &Reported) {
  if (Run != Weights.OrderedRun)
    Weights.Unconfirmed.clear();
  return Weights.Unconfirmed.contains(Reported) ? Digest{} : Reported;
}

bool mayServe(const WeightsState &Weights) {
  return !Weights.Draining && !Weights.Loading && !Weights.EngineBusy &&
         !Weights.EngineRun.empty() &&
         Weights.PublishedSets.contains(Weights.Loaded);
}

} // namespace jacinthpond
