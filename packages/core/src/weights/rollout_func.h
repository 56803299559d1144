/** @file rollout_func.h Order in which the workers of a model load weights.
 *
 * Of the workers of a model, k may load at the same time. The fleet order
 * (chunk_plan) is divided into k chains, in which worker i is followed by
 * worker i + k. A worker loads once its predecessor in the chain serves the
 * wanted set. So at most one worker of each chain is not serving, and a worker
 * only needs to know the state of the workers just before it. Neighbours in the
 * fleet order are in different domains, which spreads the workers that load at
 * the same time over the domains. While a class is idle, only half of its
 * serving share is kept, and the chains are shorter. Workers may detect that at
 * different times, so that for a moment more of them may be loading than
 * intended.
 */

#ifndef JACINTHPOND_CORE_ROLLOUT_FUNC_H
#define JACINTHPOND_CORE_ROLLOUT_FUNC_H

#include "attempts/agent_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Gives the predecessors of this worker in its chain, nearest first.
 * @param Agent The state.
 * @param Idle Whether the classes served by the model are idle.
 * @return Positions in the fleet order; two at most.
 */
std::vector<size_t> predecessors(const AgentState &Agent, bool Idle);

/**
 * Opens and drops links so that they match the agents needed for exchanging
 * chunks and for the rollout.
 * @param Agent State to change.
 * @param Out Effects are appended.
 * @return Links that were dropped.
 */
std::vector<LinkId> updatePeerLinks(AgentState &Agent, Effects &Out);

/**
 * Drains the worker when it is its turn to load the wanted weights, and orders
 * the load once all chunks are held and no request is running.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void loadInTurn(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
