/** @file fair_queue_type.h Queue of attempts, fair between workspaces. */

#ifndef JACINTHPOND_CORE_FAIR_QUEUE_TYPE_H
#define JACINTHPOND_CORE_FAIR_QUEUE_TYPE_H

#include "base/ids_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace jacinthpond {

/** An attempt that may be queued. */
struct Waiter {
  AttemptId Attempt;       ///< Its id.
  WorkspaceName Workspace; ///< Workspace that it belongs to.
  uint32_t Weight = 1;     ///< Share of the workspace.
  uint32_t Priority = 1;   ///< Priority of its class; higher goes first.
};

/** Queued attempts of one workspace at one priority. */
struct WorkspaceQueue {
  WorkspaceName Workspace;       ///< The workspace.
  uint32_t Weight = 1;           ///< Attempts dequeued in one turn.
  uint32_t Credit = 0;           ///< Attempts left in the current turn.
  std::deque<AttemptId> Waiting; ///< In order of arrival; never empty.
};

/** Queued attempts of one priority. */
struct PriorityLevel {
  std::deque<WorkspaceQueue> Rotation; ///< The first one has the turn.
  uint32_t PassedOver = 0; ///< Dequeues from higher levels since its last one.
};

/** All queued attempts, in deficit round robin within each priority. */
struct FairQueue {
  std::map<uint32_t, PriorityLevel, std::greater<>> Levels; ///< Highest first.
  size_t Size = 0; ///< Attempts in all levels.
};

} // namespace jacinthpond

#endif
