/** @file effect_type.h What decisions ask the outside to do.
 *
 * Decisions are functions (state, event, now) -> effects. The shell of each
 * program carries the effects out and turns what comes of them into events.
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

using CallId = NumberId<struct CallIdTag>; ///< A caller's open request.

/** Open a link to a peer. */
struct OpenLink {
  LinkId Link; ///< Number for it.
  Address To;  ///< Where.
};

/** Drop a link; nothing more is delivered from it. */
struct CloseLink {
  LinkId Link; ///< Which.
};

/** Send a message over a link. */
struct SendMessage {
  LinkId Link;     ///< Which link.
  Message Content; ///< What.
};

/** Give a caller one piece of its answer. */
struct CallPart {
  CallId Call;      ///< Whose.
  std::string Data; ///< The piece.
};

/** Tell a caller that its answer is whole. */
struct CallEnd {
  CallId Call;        ///< Whose.
  int Status = 200;   ///< Status of a plain service.
  uint64_t Count = 0; ///< Pieces of the answer.
  Digest Content;     ///< Digest over the whole answer.
  Digest Weights;     ///< Weights that produced it; empty: none.
};

/** Tell a caller that its request failed. */
struct CallError {
  CallId Call;                 ///< Whose.
  Failure Why;                 ///< Kind, detail and retry hint.
  Ran Executed = Ran::Unknown; ///< Whether the work ran.
  std::string Token; ///< Fresh home token for the next try; may be empty.
  std::vector<Address> Elsewhere; ///< Entries to use instead; may be empty.
};

/** Give an attempt to the engine. */
struct RunModel {
  EngineRequest Request; ///< What to run.
};

/** Give an attempt to the plain service. */
struct RunService {
  ServiceCall Call; ///< What to call.
};

/** End an attempt at the back end where that is possible. */
struct CancelRun {
  AttemptId Attempt; ///< Which.
};

/** Fetch a chunk of weights from the origin. */
struct FetchFromOrigin {
  ChunkRef Chunk; ///< Which.
};

/** Read the list of a version's chunks from its origin. */
struct ReadChunkList {
  ChunkRef Version; ///< Which version.
};

/** Look which of these chunks lie staged at the engine. */
struct ReadStaged {
  std::vector<ChunkRef> Chunks; ///< Candidates.
};

/** A chunk of weights in memory, never changed. */
using ChunkBytes = std::shared_ptr<const std::string>;

/** Stage one chunk at the engine, which keeps it from then on. */
struct StageChunk {
  ChunkRef Chunk;   ///< Which.
  ChunkBytes Bytes; ///< Its content, checked.
};

/** Read a staged chunk back, check it and send it to a peer. */
struct SendStaged {
  LinkId Link;         ///< To whom.
  ChunkRef Chunk;      ///< Which.
  uint64_t Offset = 0; ///< Where the part begins.
  uint64_t Length = 0; ///< Its length; 0: to the end of the chunk.
};

/** Stage all chunks of a set and order the engine to load it. */
struct LoadWeights {
  LoadOrder Order;                ///< The order.
  std::vector<ChunkBytes> Chunks; ///< Contents, in the order's sequence; null
                                  ///< where it lies staged at the engine.
};

/** Write a log line. */
struct LogNote {
  LogPart Part = LogPart::Main;    ///< Which part speaks.
  LogLevel Level = LogLevel::Info; ///< How much it matters.
  std::string Text;                ///< A short sentence.
};

using Effect = std::variant<OpenLink, CloseLink, SendMessage, CallPart, CallEnd,
                            CallError, RunModel, RunService, CancelRun,
                            FetchFromOrigin, ReadChunkList, ReadStaged,
                            StageChunk, SendStaged, LoadWeights, LogNote>;

/** Effects in the order in which they are carried out. */
using Effects = std::vector<Effect>;

} // namespace jacinthpond

#endif
