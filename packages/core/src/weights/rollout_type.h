/** @file rollout_type.h Order in which the workers of a model load weights. */

#ifndef JACINTHPOND_CORE_ROLLOUT_TYPE_H
#define JACINTHPOND_CORE_ROLLOUT_TYPE_H

#include "base/time_type.h"
#include "wire/message_type.h"

#include <map>

namespace jacinthpond {

/** Time after which a set that is not loaded is logged first. */
constexpr Duration FirstLateLog = Millis(10000);

/** Observed state of a worker that loads before this one. */
struct PredecessorView {
  TimePoint LastAnswered;     ///< Last ready link, or start of the wait.
  uint32_t MaxChunksHeld = 0; ///< Most chunks of the set that it has held.
  TimePoint LastProgress; ///< Last rise of MaxChunksHeld, or start of the wait.
};

/** State of a worker that waits for its turn to load. */
struct RolloutState {
  Digest Set; ///< Set to load, which Predecessors is about.
  std::map<HostName, PredecessorView> Predecessors; ///< By host name.
  TimePoint LastWorkAt; ///< When the class last had work, as seen here.
  uint64_t LastStartedCount = 0; ///< Started attempts at the last check.
  Duration WaitingFor{0};        ///< For how long the wanted set is not loaded.
  Duration NextLateLog = FirstLateLog; ///< When that is logged next.
};

} // namespace jacinthpond

#endif
