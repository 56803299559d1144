/** @file effect_type.h Side effects requested by the decision logic.
 *
 * The decision logic consists of functions (state, event, now) -> effects
 * without I/O. The shell of each program executes the effects and feeds their
 * results back as events.
 */

#ifndef JACINTHPOND_CORE_EFFECT_TYPE_H
#define JACINTHPOND_CORE_EFFECT_TYPE_H

#include "attempts/backend_type.h"
#include "base/error_type.h"
#include "base/log_type.h"
#include "wire/message_type.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jacinthpond {

using CallId = NumberId<struct CallIdTag>; ///< An open request of a caller.

/** Opens a link to a peer. */
struct OpenLink {
  LinkId Link; ///< Id to use for the new link.
  Address To;  ///< Address of the peer.
};

/** Closes a link; no further messages from it are delivered. */
struct CloseLink {
  LinkId Link; ///< The link.
};

/** Sends a message over a link. */
struct SendMessage {
  LinkId Link;     ///< The link.
  Message Content; ///< The message.
};

/** Sends a caller one part of its answer. */
struct CallPart {
  CallId Call;      ///< The caller's request.
  std::string Data; ///< The part.
};

/** Completes a caller's answer. */
struct CallEnd {
  CallId Call;        ///< The caller's request.
  int Status = 200;   ///< HTTP status of a service's answer.
  uint64_t Count = 0; ///< Number of parts of the answer.
  Digest Content;     ///< Digest of the complete answer.
  Digest Weights;     ///< Weights that produced it; empty: none.
};

/** Answers a caller's request with an error. */
struct CallError {
  CallId Call;                 ///< The caller's request.
  Failure Why;                 ///< Error kind, detail and retry delay.
  Ran Executed = Ran::Unknown; ///< Whether the request was executed.
  std::string Token; ///< New home token for the next attempt; may be empty.
  std::vector<Address>
      AlternativeEntries; ///< Entries to use instead; may be empty.
};

/** Sends an attempt to the model engine. */
struct RunModel {
  EngineRequest Request; ///< The request.
};

/** Sends an attempt to the plain service. */
struct RunService {
  ServiceCall Call; ///< The call.
};

/** Cancels an attempt at the back end, where the back end can do so. */
struct CancelRun {
  AttemptId Attempt; ///< The attempt.
};

/** Fetches a chunk of weights from the origin. */
struct FetchFromOrigin {
  ChunkRef Chunk; ///< The chunk.
};

/** Cancels all fetches of chunks from the origin; they end as failed. */
struct CancelOriginFetches {};

/** Reads the chunk list of a weights version from the origin. */
struct ReadChunkList {
  ChunkRef Version; ///< The version; the chunk itself is not used.
};

/** Finds out what the given slots of the engine contain. */
struct FindStagedChunks {
  std::vector<ChunkRef> Chunks; ///< The slots, and the chunks to look for.
};

/** Reads the content of a slot of the engine, to stage it in others. */
struct ReadSlot {
  ChunkRef Slot; ///< The slot, and the content expected there.
};

/** Immutable content of a weights chunk in memory. */
using ChunkBytes = std::shared_ptr<const std::string>;

/** Stages one chunk at the engine, which stores it from then on. */
struct StageChunk {
  ChunkRef Chunk;   ///< The chunk.
  ChunkBytes Bytes; ///< Its content; the digest has been verified.
};

/** Reads a staged chunk back, verifies it and sends a part of it to a peer. */
struct SendStagedChunk {
  LinkId Link;         ///< Link to the peer.
  ChunkRef Chunk;      ///< The chunk.
  uint64_t Offset = 0; ///< Offset of the part, in bytes.
  uint64_t Length = 0; ///< Length of the part; 0: to the end of the chunk.
};

/** Stages the chunks of a weights set and orders the engine to load it. */
struct LoadWeights {
  LoadOrder Order;                ///< The load order.
  std::vector<ChunkBytes> Chunks; ///< Contents, in the sequence of the order;
                                  ///< null: staged at the engine already.
};

/** Writes a log line. */
struct LogNote {
  LogPart Part = LogPart::Main;    ///< Part that logs.
  LogLevel Level = LogLevel::Info; ///< Severity.
  std::string Text;                ///< The message.
};

/** Any effect. */
using Effect =
    std::variant<OpenLink, CloseLink, SendMessage, CallPart, CallEnd, CallError,
                 RunModel, RunService, CancelRun, FetchFromOrigin,
                 CancelOriginFetches, ReadChunkList, FindStagedChunks, ReadSlot,
                 StageChunk, SendStagedChunk, LoadWeights, LogNote>;

/** Effects in the order of execution. */
using Effects = std::vector<Effect>;

} // namespace jacinthpond

#endif
