/** @file agent_func.h Event handlers of the agent beside one back end. */

#ifndef JACINTHPOND_CORE_AGENT_FUNC_H
#define JACINTHPOND_CORE_AGENT_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Creates the state of a newly started agent.
 * @param Config Its settings.
 * @param Run Its random incarnation.
 * @param Now Current time.
 * @return The state; the back end counts as cold.
 */
AgentState makeAgent(const Settings &Config, Incarnation Run, TimePoint Now);

/**
 * Registers a link to a peer that has opened and greets the peer.
 * @param Agent State to change.
 * @param Link The link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleAgentLinkOpened(AgentState &Agent, LinkId Link, TimePoint Now,
                           Effects &Out);

/**
 * Removes a link that has closed. Its attempts and granted slots are kept for
 * a while, its waiting slot requests are dropped.
 * @param Agent State to change.
 * @param Link The link.
 * @param Now Current time.
 */
void handleAgentLinkClosed(AgentState &Agent, LinkId Link, TimePoint Now);

/**
 * Detects by a gap in its own clock that this process was paused; then drops
 * all links and refuses everything queued. To be called before each event,
 * since a pause may end before any of them.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void detectAgentPause(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Handles a message from a peer: passes it to the function for its type.
 * @param Agent State to change.
 * @param Link Link over which it arrived.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleAgentMessage(AgentState &Agent, LinkId Link, const Message &m,
                        TimePoint Now, Effects &Out);

/**
 * Handles the engine's report that it has begun an attempt: tells the entry, or
 * fails the attempt when the engine uses other weights than expected.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Weights Digest of the weights that the engine uses.
 * @param Out Effects are appended.
 */
void handleEngineStart(AgentState &Agent, const AttemptId &Which,
                       const Digest &Weights, Effects &Out);

/**
 * Forwards a token that the engine produced to the entry, and checks by the gap
 * before it whether the engine has turned cold.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Token The token.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleEngineToken(AgentState &Agent, const AttemptId &Which,
                       const std::string &Token, TimePoint Now, Effects &Out);

/**
 * Handles the end of an attempt at the engine: completes or fails it and starts
 * queued work.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param End Token count and weights, or why it failed.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleEngineEnd(AgentState &Agent, const AttemptId &Which,
                     const Outcome<EngineEnd> &End, TimePoint Now,
                     Effects &Out);

/**
 * Handles the plain service's answer to an attempt, or its failure: completes
 * or fails the attempt and starts queued work.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Answer The answer, or why there is none.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleServiceAnswer(AgentState &Agent, const AttemptId &Which,
                         const Outcome<ServiceAnswer> &Answer, TimePoint Now,
                         Effects &Out);

/**
 * Handles a periodic report of the engine: updates loaded weights, limits and
 * rate limit, and detects a restart or the engine's death.
 * @param Agent State to change.
 * @param Read The report, or why it could not be read.
 * @param OrdersEnded WeightsState::OrdersEnded when the reading began.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleEngineReport(AgentState &Agent, const Outcome<EngineState> &Read,
                        uint64_t OrdersEnded, TimePoint Now, Effects &Out);

/**
 * Handles the result of a health check of the plain service.
 * @param Agent State to change.
 * @param Read The service's incarnation, or why it did not answer.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleServiceProbe(AgentState &Agent, const Outcome<std::string> &Read,
                        TimePoint Now, Effects &Out);

/**
 * Handles the origin's answer to a request for a chunk.
 * @param Agent State to change.
 * @param Chunk Digest of the chunk that was requested.
 * @param Came What arrived, checked against its digest.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleOriginChunk(AgentState &Agent, const Digest &Chunk,
                       const DigestedChunk &Came, TimePoint Now, Effects &Out);

/**
 * Handles the origin's answer to a request for a version's chunk list.
 * @param Agent State to change.
 * @param Version The version whose list was requested.
 * @param Read The list, or why it could not be read.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleOriginChunkList(AgentState &Agent, const ChunkRef &Version,
                           const Outcome<ChunkList> &Read, TimePoint Now,
                           Effects &Out);

/**
 * Handles the result of staging a chunk at the engine.
 * @param Agent State to change.
 * @param Chunk The chunk; its number is that of the slot.
 * @param Staged False when the engine did not accept it.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleStagedChunk(AgentState &Agent, const ChunkRef &Chunk, bool Staged,
                       TimePoint Now, Effects &Out);

/**
 * Handles the result of reading a slot of the engine. If it has other content
 * than was known, that chunk is staged again.
 * @param Agent State to change.
 * @param Read What was read.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleSlotRead(AgentState &Agent, const SlotRead &Read, TimePoint Now,
                    Effects &Out);

/**
 * Handles a complete chunk from a peer, or the peer's refusal.
 * @param Agent State to change.
 * @param Link Link to the peer.
 * @param Chunk Digest of the chunk that was requested.
 * @param Came What arrived, checked against its digest.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handlePeerChunk(AgentState &Agent, LinkId Link, const Digest &Chunk,
                     const DigestedChunk &Came, TimePoint Now, Effects &Out);

/**
 * Adds a part of a chunk that a peer sent, and checks the chunk once all its
 * parts have arrived.
 * @param Agent State to change.
 * @param Link Link to the peer.
 * @param Data The part.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handlePeerChunkPart(AgentState &Agent, LinkId Link, const ChunkData &Data,
                         TimePoint Now, Effects &Out);

/**
 * Counts a sent piece of an answer against the byte rate to other failure
 * domains, so that chunks yield to answers.
 * @param Agent State to change.
 * @param Link Link over which it was sent.
 * @param Bytes Its size.
 * @param Now Current time.
 */
void countAnswerBytes(AgentState &Agent, LinkId Link, uint64_t Bytes,
                      TimePoint Now);

/**
 * Records how many sent bytes a link still holds in its send buffer.
 * @param Agent State to change.
 * @param Link The link.
 * @param Bytes Bytes that the network has not accepted yet.
 */
void setLinkBacklog(AgentState &Agent, LinkId Link, uint64_t Bytes);

/**
 * Handles the result of an order to load weights. The concurrency limit falls
 * to its cold value in any case.
 * @param Agent State to change.
 * @param Why Set when the engine refused or could not be reached.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleLoadResult(AgentState &Agent, const std::optional<Failure> &Why,
                      TimePoint Now, Effects &Out);

/**
 * Writes the current load into the answers among the effects. To be called on
 * the effects of every event.
 * @param Agent The state.
 * @param Out Effects to change.
 */
void attachCurrentLoad(const AgentState &Agent, Effects &Out);

/**
 * Runs the periodic work: timeouts, heartbeats, queued work and transfers.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void handleAgentTick(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Begins a graceful stop: refuses queued and new work and tells the peers.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void beginAgentShutdown(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
