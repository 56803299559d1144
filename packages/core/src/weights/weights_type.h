/** @file weights_type.h Weights that a back end holds, loads and serves. */

#ifndef JACINTHPOND_CORE_WEIGHTS_TYPE_H
#define JACINTHPOND_CORE_WEIGHTS_TYPE_H

#include "base/effect_type.h"
#include "base/time_type.h"
#include "configuration/document_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond {

/** A place at the engine for the chunk with one number, of any version. */
struct StagedSlot {
  Digest Content;         ///< Content when last verified; empty: unknown.
  bool IsWriting = false; ///< A write has not ended yet.
  TimePoint RetryAt;      ///< Not read or written before.
};

/** State of a back end's weights, as its agent knows it. */
struct WeightsState {
  ModelVersion Wanted;                ///< Published version; empty: none.
  std::vector<Digest> PreviousChunks; ///< Chunks of the previously wanted set.
  std::map<Digest, ChunkBytes> Held;  ///< Verified contents of these two sets;
                                      ///< with slots: to be staged there.
  bool StagedAtEngine =
      false; ///< Chunks are staged in slots of the engine, not kept here.
  std::vector<StagedSlot> Slots; ///< Slots of the engine, by number.
  Digest Loaded;         ///< Set that the engine last reported as loaded.
  Digest Newest;         ///< Set in the newest configuration document.
  TimePoint NewestSince; ///< Earliest time at which it can have been published.
  std::map<Digest, TimePoint> ReplacedAt; ///< When each set was replaced.
  std::optional<TimePoint> OutdatedSince; ///< When Loaded was replaced.
  std::string EngineRun; ///< Incarnation of the engine; empty: no answer.
  bool Draining = false; ///< Takes no new work until the wanted set is loaded.
  bool Loading = false;  ///< A load was ordered and not read back yet.
  bool EngineBusy = false;        ///< The engine is executing an order.
  uint64_t OrdersSent = 0;        ///< Load orders sent.
  uint64_t OrdersEnded = 0;       ///< Load orders that succeeded or failed.
  std::set<Digest> PublishedSets; ///< Published sets, hence complete.
  Digest OrderedSet;              ///< Set of the last load order.
  std::string OrderedRun;         ///< Incarnation of the engine at that time.
  std::set<Digest> Unconfirmed; ///< Sets that this incarnation may have loaded
                                ///< from chunks other than the verified ones.
  uint64_t NextFence = 1;       ///< Low bits of the next fencing number.
  uint32_t FailedOrders = 0;    ///< Consecutive failed orders.
  TimePoint NextOrder;          ///< Earliest time of the next order.
};

} // namespace jacinthpond

#endif
