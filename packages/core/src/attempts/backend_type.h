/** @file backend_type.h Requests to back ends, and their answers and reports.
 */

#ifndef JACINTHPOND_CORE_BACKEND_TYPE_H
#define JACINTHPOND_CORE_BACKEND_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** Report of an engine on itself; may lag behind its actual state. */
struct EngineState {
  std::string Run;                 ///< Changes when the engine restarts.
  Digest Weights;                  ///< Digest of the loaded set; empty: none.
  uint32_t Running = 0;            ///< Requests that it runs.
  bool Cold = false;               ///< Its caches are cold.
  bool Busy = false;               ///< It is loading weights.
  bool Leaving = false;            ///< It is shutting down.
  std::optional<double> PerSecond; ///< Its rate limit, if it has one.
};

/** One chunk of one version of a model. */
struct ChunkRef {
  ModelName Model;     ///< Which model.
  std::string Version; ///< Which version of it.
  size_t Number = 0;   ///< Index in the version's list.
  Digest Content;      ///< Digest of its bytes.
  Address Origin;      ///< Origin of the version; empty: the common one.
};

/** Chunks of a version, as its origin lists them. */
struct ChunkList {
  std::vector<Digest> Chunks; ///< Digest of each chunk, in order.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk except the last.

  bool operator==(const ChunkList &) const = default;
};

/** One request for an engine. */
struct EngineRequest {
  AttemptId Attempt;       ///< Id of the request at the engine.
  std::string Body;        ///< The caller's body.
  uint32_t Priority = 1;   ///< Higher goes first.
  uint64_t ResumeFrom = 0; ///< Tokens that the caller already has.
};

/** End of an answer stream, as the engine reports it. */
struct EngineEnd {
  uint64_t Count = 0; ///< Tokens of the complete answer.
  Digest Weights;     ///< Weights that produced the answer.
};

/** Order to an engine to load a completely staged weights set. */
struct LoadOrder {
  FencingNumber Fence;        ///< Some engines refuse older numbers.
  Digest Set;                 ///< Digest of the set.
  ModelName Model;            ///< Which model.
  std::string Version;        ///< Which version of it.
  std::vector<Digest> Chunks; ///< Its chunks, in order.
  bool ForceReload =
      false; ///< Also load what the engine says it has of this set.
};

/** One call to a plain service. */
struct ServiceCall {
  AttemptId Attempt;  ///< Id of the call at the service.
  ClassName Class;    ///< Class of work.
  IdempotencyKey Key; ///< Empty for repeatable calls.
  std::string Body;   ///< The caller's body.
  Millis Timeout{0};  ///< Longest wait for the answer.
};

/** Answer of a plain service. */
struct ServiceAnswer {
  int Status = 0;       ///< HTTP status.
  std::string Body;     ///< Body of the answer.
  Millis RetryAfter{0}; ///< Pause that a refusal asks for; 0: none.
};

} // namespace jacinthpond

#endif
