/** @file agent_func.h Decisions of the agent beside one back end. */

#ifndef JACINTHPOND_CORE_AGENT_FUNC_H
#define JACINTHPOND_CORE_AGENT_FUNC_H

#include "attempts/agent_type.h"
#include "base/error_func.h"

namespace jacinthpond {

/**
 * Sets up the state of a new process.
 * @param Config Its settings.
 * @param Run Its random incarnation.
 * @param Now Current time.
 * @return The state.
 */
AgentState makeAgent(const Settings &Config, Incarnation Run, TimePoint Now);

/**
 * A link works.
 * @param Agent State to change.
 * @param Link Which link.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentLinkOpened(AgentState &Agent, LinkId Link, TimePoint Now,
                     Effects &Out);

/**
 * A link is gone.
 * @param Agent State to change.
 * @param Link Which link.
 * @param Now Current time.
 */
void agentLinkClosed(AgentState &Agent, LinkId Link, TimePoint Now);

/**
 * Looks for a gap in the own clock and ends what was open before it. To be
 * called before each event, since a pause may end in front of any.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentNoticePause(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * A message arrived from a peer.
 * @param Agent State to change.
 * @param Link Over which link.
 * @param m The message.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentMessage(AgentState &Agent, LinkId Link, const Message &m,
                  TimePoint Now, Effects &Out);

/**
 * The engine says which weights it uses for an attempt.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Weights Digest of the weights.
 * @param Out Effects are appended.
 */
void engineBegan(AgentState &Agent, const AttemptId &Which,
                 const Digest &Weights, Effects &Out);

/**
 * The engine produced a token.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Token The token.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void engineToken(AgentState &Agent, const AttemptId &Which,
                 const std::string &Token, TimePoint Now, Effects &Out);

/**
 * The engine ended an attempt.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param End How it ended.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void engineEnded(AgentState &Agent, const AttemptId &Which,
                 const Outcome<EngineEnd> &End, TimePoint Now, Effects &Out);

/**
 * The plain service answered or failed.
 * @param Agent State to change.
 * @param Which The attempt.
 * @param Answer How it ended.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void serviceAnswered(AgentState &Agent, const AttemptId &Which,
                     const Outcome<ServiceAnswer> &Answer, TimePoint Now,
                     Effects &Out);

/**
 * The engine's own state was read.
 * @param Agent State to change.
 * @param Read The state, or why it could not be read.
 * @param OrdersEnded WeightsState::OrdersEnded when the reading began.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void engineStateRead(AgentState &Agent, const Outcome<EngineState> &Read,
                     uint64_t OrdersEnded, TimePoint Now, Effects &Out);

/**
 * The plain service was asked whether it answers.
 * @param Agent State to change.
 * @param Read Its incarnation, or why it did not answer.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void servicePinged(AgentState &Agent, const Outcome<std::string> &Read,
                   TimePoint Now, Effects &Out);

/**
 * A chunk arrived from the origin, or failed.
 * @param Agent State to change.
 * @param Chunk Which chunk was asked for.
 * @param Came What came.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void originAnswered(AgentState &Agent, const Digest &Chunk,
                    const CheckedChunk &Came, TimePoint Now, Effects &Out);

/**
 * The list of a version's chunks was read from its origin.
 * @param Agent State to change.
 * @param Version Which version was asked for.
 * @param Read The list, or why it could not be read.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void chunkListRead(AgentState &Agent, const ChunkRef &Version,
                   const Outcome<ChunkList> &Read, TimePoint Now, Effects &Out);

/**
 * A chunk was staged at the engine, or was found there.
 * @param Agent State to change.
 * @param Chunk Which chunk.
 * @param Staged False when the engine did not take it.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentStaged(AgentState &Agent, const ChunkRef &Chunk, bool Staged,
                 TimePoint Now, Effects &Out);

/**
 * A chunk that lay staged was read back and is damaged.
 * @param Agent State to change.
 * @param Chunk Its digest as published.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentSpoilt(AgentState &Agent, const Digest &Chunk, TimePoint Now,
                 Effects &Out);

/**
 * A peer answered a request for a chunk.
 * @param Agent State to change.
 * @param Link Over which link.
 * @param Chunk Which chunk was asked for.
 * @param Came What came.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void peerSentChunk(AgentState &Agent, LinkId Link, const Digest &Chunk,
                   const CheckedChunk &Came, TimePoint Now, Effects &Out);

/**
 * A peer answered a request for a part of a chunk.
 * @param Agent State to change.
 * @param Link Over which link.
 * @param Data The part.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void peerSentPart(AgentState &Agent, LinkId Link, const ChunkData &Data,
                  TimePoint Now, Effects &Out);

/**
 * A piece of an answer was sent; chunks for other domains make way for it.
 * @param Agent State to change.
 * @param Link Over which link.
 * @param Bytes Its size.
 * @param Now Current time.
 */
void answerSent(AgentState &Agent, LinkId Link, uint64_t Bytes, TimePoint Now);

/**
 * Tells how much of what was sent over a link the network has not taken yet.
 * @param Agent State to change.
 * @param Link Which link.
 * @param Bytes How much.
 */
void linkBacklog(AgentState &Agent, LinkId Link, uint64_t Bytes);

/**
 * A load order ended; the engine's state is read next.
 * @param Agent State to change.
 * @param Why Set when the engine refused or could not be reached.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void loadEnded(AgentState &Agent, const std::optional<Failure> &Why,
               TimePoint Now, Effects &Out);

/**
 * Writes the load into answers; called on the effects of every decision.
 * @param Agent The state.
 * @param Out Effects to change.
 */
void tellLoad(const AgentState &Agent, Effects &Out);

/**
 * Time passed.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentTick(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * The process is to end gracefully: new work is refused, peers are told.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void agentStop(AgentState &Agent, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
