/** @file backend_type.h What agents and back ends tell each other. */

#ifndef JACINTHPOND_CORE_BACKEND_TYPE_H
#define JACINTHPOND_CORE_BACKEND_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** What an engine reports of itself; lags behind what it does. */
struct EngineState {
  std::string Run;                 ///< Changes when the engine restarts.
  Digest Weights;                  ///< Digest of the loaded set; empty: none.
  uint32_t Running = 0;            ///< Requests in its batch.
  bool Cold = false;               ///< Its caches are cold.
  bool Busy = false;               ///< It carries out a load order.
  std::optional<double> PerSecond; ///< Rate limit that it names, if any.
};

/** One chunk of one version of a model. */
struct ChunkRef {
  ModelName Model;     ///< Which model.
  std::string Version; ///< Which version of it.
  size_t Number = 0;   ///< Place in the version's list.
  Digest Content;      ///< Digest of its bytes.
  Address Origin;      ///< Where the version comes from; empty: one for all.
};

/** Chunks of a version, as its origin lists them. */
struct ChunkList {
  std::vector<Digest> Chunks; ///< Digest of each chunk, in order.
  uint64_t ChunkBytes = 0;    ///< Size of each chunk but the last.

  bool operator==(const ChunkList &) const = default;
};

/** One request for an engine. */
struct EngineRequest {
  AttemptId Attempt;       ///< Names the request in the engine's records.
  std::string Body;        ///< The caller's body.
  uint32_t Priority = 1;   ///< Higher goes first.
  uint64_t ResumeFrom = 0; ///< Tokens that are not to be produced again.
};

/** How a stream of an engine ended. */
struct EngineEnd {
  uint64_t Count = 0; ///< Tokens of the whole answer.
  Digest Weights;     ///< Weights that the engine says it used.
};

/** Order to load a set that was staged whole. */
struct LoadOrder {
  FencingNumber Fence;        ///< Some engines refuse an old one.
  Digest Set;                 ///< Digest of the set.
  ModelName Model;            ///< Which model.
  std::string Version;        ///< Which version of it.
  std::vector<Digest> Chunks; ///< Its chunks, in order.
  bool Anew = false; ///< Even what the engine says it has loaded of this set.
};

/** One call of a plain service. */
struct ServiceCall {
  AttemptId Attempt;  ///< Names the call in the service's records.
  ClassName Class;    ///< Class of work.
  IdempotencyKey Key; ///< Empty for repeatable calls.
  std::string Body;   ///< The caller's body.
  Millis Timeout{0};  ///< Longest wait for the answer.
};

/** Answer of a plain service. */
struct ServiceAnswer {
  int Status = 0;   ///< HTTP status.
  std::string Body; ///< The answer.
};

} // namespace jacinthpond

#endif
