/** @file weights_type.h Weights of one back end: fetched, held, loaded. */

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

/** Weights as the agent of one back end sees them. */
struct WeightsState {
  ModelVersion Wanted;               ///< Published version; empty: none.
  std::vector<Digest> Before;        ///< Chunks of the set wanted before.
  std::map<Digest, ChunkBytes> Held; ///< Checked chunks of these two sets; null
                                     ///< where they lie staged at the engine.
  bool AtEngine = false; ///< Chunks lie at the engine and not in memory here.
  Digest Loaded;         ///< What the engine said last that it has loaded.
  Digest Newest;         ///< Set that the newest document names.
  TimePoint NewestSince; ///< It was not published before this.
  std::map<Digest, TimePoint> ReplacedAt; ///< When each set was replaced.
  std::optional<TimePoint> OutdatedSince; ///< Since when Loaded is replaced.
  std::string EngineRun;        ///< Incarnation of the engine; empty: silent.
  bool Draining = false;        ///< No new work until the wanted set is loaded.
  bool Loading = false;         ///< Ordered, and not read back since.
  bool EngineBusy = false;      ///< The engine carries out some order.
  uint64_t OrdersGiven = 0;     ///< Load orders that were sent.
  uint64_t OrdersEnded = 0;     ///< Load orders that the engine answered.
  std::set<Digest> Whole;       ///< Sets that were published, hence whole.
  Digest Ordered;               ///< Set of the last order.
  std::string OrderedRun;       ///< Incarnation of the engine at that order.
  std::set<Digest> Unconfirmed; ///< Sets that this incarnation may have loaded
                                ///< from other chunks than were checked.
  uint64_t NextFence = 1;       ///< Low part of the next fencing number.
  uint32_t FailedOrders = 0;    ///< Orders that failed in a row.
  TimePoint NextOrder;          ///< Earliest time of the next one.
};

} // namespace jacinthpond

#endif
