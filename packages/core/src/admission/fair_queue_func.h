/** @file fair_queue_func.h Order of waiting work. */

#ifndef JACINTHPOND_CORE_FAIR_QUEUE_FUNC_H
#define JACINTHPOND_CORE_FAIR_QUEUE_FUNC_H

#include "admission/fair_queue_type.h"

#include <optional>
#include <vector>

namespace jacinthpond {

/**
 * Adds an attempt behind those of its tenant.
 * @param Queue State to change.
 * @param One What waits.
 */
void pushWaiter(FairQueue &Queue, const Waiter &One);

/**
 * Takes the next attempt: highest priority first, tenants by weight in turns.
 * A lower priority that was passed over a set number of times goes first, so
 * that it never starves.
 * @param Queue State to change.
 * @return The attempt, or nothing when none waits.
 */
std::optional<AttemptId> popWaiter(FairQueue &Queue);

/**
 * Takes an attempt out of its place.
 * @param Queue State to change.
 * @param Attempt Which.
 * @return False when it was not waiting.
 */
bool dropWaiter(FairQueue &Queue, const AttemptId &Attempt);

/**
 * Makes room in a full queue: the youngest attempt of the tenant that holds
 * most for its weight goes, if the newcomer has the better claim.
 * @param Queue State to change.
 * @param Newcomer Who needs the place.
 * @return Who lost its place; nothing when the newcomer has no better claim.
 */
std::optional<AttemptId> makeRoom(FairQueue &Queue, const Waiter &Newcomer);

/**
 * Works out how many attempts go before a newcomer.
 * @param Queue The queue.
 * @param Newcomer Who would join.
 * @return Attempts that are taken before it, by the order of popWaiter().
 */
size_t aheadOf(const FairQueue &Queue, const Waiter &Newcomer);

/**
 * Lists all attempts.
 * @param Queue The queue.
 * @return Their ids, by priority and tenant.
 */
std::vector<AttemptId> allWaiters(const FairQueue &Queue);

} // namespace jacinthpond

#endif
