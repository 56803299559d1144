/** @file rollout_type.h In which order the workers of a model load. */

#ifndef JACINTHPOND_CORE_ROLLOUT_TYPE_H
#define JACINTHPOND_CORE_ROLLOUT_TYPE_H

#include "base/time_type.h"
#include "wire/message_type.h"

#include <map>

namespace jacinthpond {

/** What was seen of a worker that loads before this one. */
struct PredecessorView {
  TimePoint LastAnswered; ///< A link to it was ready, or the wait began.
  uint32_t MostHeld = 0;  ///< Most chunks that it ever held of the set.
  TimePoint LastProgress; ///< MostHeld rose, or the wait began.
};

/** Waiting for the turn to load. */
struct RolloutState {
  Digest Set; ///< The set that the views below are about.
  std::map<HostName, PredecessorView> Seen; ///< Workers before this one.
  TimePoint LastWork;         ///< When work was last seen in the class.
  uint64_t StartedBefore = 0; ///< Attempts started until the last look.
};

} // namespace jacinthpond

#endif
