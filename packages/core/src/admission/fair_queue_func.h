/** @file fair_queue_func.h Queue of attempts, fair between workspaces. */

#ifndef JACINTHPOND_CORE_FAIR_QUEUE_FUNC_H
#define JACINTHPOND_CORE_FAIR_QUEUE_FUNC_H

#include "admission/fair_queue_type.h"

#include <optional>
#include <vector>

namespace jacinthpond {

/**
 * Appends an attempt to the queue of its workspace and priority.
 * @param Queue State to change.
 * @param One The attempt.
 */
void enqueueWaiter(FairQueue &Queue, const Waiter &One);

/**
 * Dequeues the next attempt: highest priority first, workspaces in turns by
 * weight. A lower priority that was passed over a fixed number of times goes
 * first, so that it never starves.
 * @param Queue State to change.
 * @return The attempt, or nothing when the queue is empty.
 */
std::optional<AttemptId> dequeueWaiter(FairQueue &Queue);

/**
 * Removes an attempt, wherever it is queued.
 * @param Queue State to change.
 * @param Attempt The attempt.
 * @return False when it was not queued.
 */
bool removeWaiter(FairQueue &Queue, const AttemptId &Attempt);

/**
 * Evicts an attempt from a full queue: at the lowest priority, the newest
 * attempt of the workspace with the most queued attempts per unit of weight. It
 * is evicted only if the newcomer has a higher priority or, at the same
 * priority, a workspace with fewer queued attempts per unit of weight.
 * @param Queue State to change.
 * @param Newcomer The attempt to make room for.
 * @return The evicted attempt; nothing when the newcomer is to be refused.
 */
std::optional<AttemptId> evictForNewcomer(FairQueue &Queue,
                                          const Waiter &Newcomer);

/**
 * Counts the attempts that would be dequeued before a newcomer.
 * @param Queue The queue.
 * @param Newcomer The attempt that would be queued.
 * @return Attempts before it, in the order of dequeueWaiter().
 */
size_t countAhead(const FairQueue &Queue, const Waiter &Newcomer);

/**
 * Lists all queued attempts.
 * @param Queue The queue.
 * @return Their ids, by priority and workspace.
 */
std::vector<AttemptId> allWaiters(const FairQueue &Queue);

} // namespace jacinthpond

#endif
