/** @file rollout_func.h In which order the workers of a model load.
 *
 * Of the n workers of a model, a may be without a loaded set at a time. The
 * fleet order (chunk_plan) is cut into a chains, worker i being followed by
 * worker i + a. A worker loads once the one before it in its chain serves the
 * wanted set, so that each chain has at most one worker out and nobody needs
 * to know more than the workers just before it. The fleet order changes the
 * domain at each step, so that the workers that load together are spread over
 * the domains. While a class is idle half of its serving share is kept, which
 * makes the chains shorter; workers that see it idle at different times may
 * then be out together for a moment.
 */

#ifndef JACINTHPOND_CORE_ROLLOUT_FUNC_H
#define JACINTHPOND_CORE_ROLLOUT_FUNC_H

#include "attempts/agent_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Gives the workers before this one in its chain, nearest first.
 * @param Agent The state.
 * @param Idle Whether the classes that the model serves have no work.
 * @return Positions in the fleet order; two at most.
 */
std::vector<size_t> predecessors(const AgentState &Agent, bool Idle);

/**
 * Keeps links to the agents that chunks and rollout need.
 * @param Agent State to change.
 * @param Out Effects are appended.
 * @return Links that were dropped.
 */
std::vector<LinkId> followPeers(AgentState &Agent, Effects &Out);

/**
 * Orders the wanted weights once they are whole, in turn and idle.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void loadInTurn(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
