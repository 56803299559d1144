/** @file place_func.h Slots at a back end for requests that entries send.
 *
 * On a platform where entries send requests to back ends themselves, the agent
 * still bounds the load. A slot is its permission to have one request at the
 * back end; an entry asks for one before it sends a request. Hundreds of
 * entries with outdated views can't bound the load between them: without slots
 * some back ends have queues while others are idle. The bytes of requests and
 * answers don't pass through the agent, since its network link is narrow and is
 * needed for weights.
 */

#ifndef JACINTHPOND_CORE_PLACE_FUNC_H
#define JACINTHPOND_CORE_PLACE_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Handles an entry's request for a slot: grants it, queues it, or refuses it.
 * A repeated request is ignored.
 * @param Agent State to change.
 * @param Link Link to the entry.
 * @param m The request.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleSlotRequest(AgentState &Agent, LinkId Link, const SlotRequest &m,
                       TimePoint Now, Effects &Out);

/**
 * Releases a slot whose request has ended, or withdraws one that is queued,
 * and starts queued work.
 * @param Agent State to change.
 * @param m The slot and how its request ended.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleSlotRelease(AgentState &Agent, const SlotRelease &m, TimePoint Now,
                       Effects &Out);

/**
 * Says whether the back end's rate limits allow one more request: its own
 * limit, and that of its cold start.
 * @param Agent State to change.
 * @param Now Current time.
 * @return True when a request may be sent to it.
 */
bool isWithinRateLimits(AgentState &Agent, TimePoint Now);

/**
 * Counts a request to the back end against its rate limits.
 * @param Agent State to change.
 * @param Now Current time.
 */
void countBackEndRequest(AgentState &Agent, TimePoint Now);

/**
 * Handles an entry's notice of the rate limit that the back end named in an
 * answer, or no longer named.
 * @param Agent State to change.
 * @param m The notice.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleRateNotice(AgentState &Agent, const RateLimitNotice &m,
                      TimePoint Now, Effects &Out);

/**
 * Logs a change of the back end's rate limit, if there is one.
 * @param Agent The state.
 * @param Change What changed.
 * @param From Source of the change: "entry", "report" or "restart".
 * @param Out Effects are appended.
 */
void logRateChange(const AgentState &Agent, RateChange Change, const char *From,
                   Effects &Out);

/**
 * Grants slots to queued late requests while there is spare capacity, so that
 * they delay no request that can still be on time. In an overload, retries
 * would otherwise make fresh requests late as well.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void grantSpareSlots(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Grants a slot that is next in the queue, or refuses it if its answer would
 * be late by now, so that the next one can be on time.
 * @param Agent State to change; the slot counts as running already.
 * @param Which The slot.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void grantOrRefuseSlot(AgentState &Agent, const AttemptId &Which, TimePoint Now,
                       Effects &Out);

/**
 * Grants a slot and counts its request as sent to the back end.
 * @param Agent State to change; the slot counts as running already.
 * @param Which The slot.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void grantSlot(AgentState &Agent, const AttemptId &Which, TimePoint Now,
               Effects &Out);

/**
 * Refuses a slot that waited and has been removed from its queue.
 * @param Agent State to change.
 * @param Which The slot.
 * @param Why The refusal.
 * @param Out Effects are appended.
 */
void refuseSlot(AgentState &Agent, const AttemptId &Which, const Failure &Why,
                Effects &Out);

/**
 * Drops the queued slots of a lost link. Granted ones are kept for a while,
 * since their requests may still run at the back end.
 * @param Agent State to change.
 * @param Link The lost link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void detachSlots(AgentState &Agent, LinkId Link, TimePoint Now, Effects &Out);

/**
 * Releases granted slots whose entry can no longer do so, and refuses queued
 * ones that have waited too long or whose weights are outdated.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void expireSlots(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
