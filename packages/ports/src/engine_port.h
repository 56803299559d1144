/** @file engine_port.h Interface between an agent and its model engine. */

#ifndef JACINTHPOND_PORTS_ENGINE_PORT_H
#define JACINTHPOND_PORTS_ENGINE_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"

#include <functional>
#include <string>

namespace jacinthpond {

/** Callbacks of EnginePort::load(), which sends one or more load orders. */
struct LoadCallbacks {
  /** Called right before each order is sent, to verify the staged chunks. If it
   * fails, the order is not sent. */
  std::function<Result<void>()> VerifyStaged;
  /** Called when the engine has accepted an order. Fails when the staged chunks
   * are no longer those that were verified before the order; otherwise chunks
   * of other versions may be staged again. */
  std::function<Result<void>()> OnAccepted;
};

/** A model engine. All calls block and may be made from several threads. */
class EnginePort {
public:
  virtual ~EnginePort() = default;

  /**
   * Runs a request and passes on its tokens as they arrive.
   * @param Request The request.
   * @param OnBegin Called with the weights that the engine says it uses, before
   *        any token; returns false to cancel.
   * @param OnToken Called for each token; returns false to cancel the stream.
   * @return How the run ended; Unreachable only when the request was not sent
   *         or not run. Its RetryAfter is the pause that the engine asks for.
   */
  virtual Result<EngineEnd>
  generate(const EngineRequest &Request,
           const std::function<bool(Digest)> &OnBegin,
           const std::function<bool(std::string)> &OnToken) = 0;

  /**
   * Reads the state that the engine reports of itself.
   * @return The state, or Unreachable.
   */
  virtual Result<EngineState> state() = 0;

  /**
   * Stages one chunk of weights in the engine's memory.
   * @param Chunk Which chunk.
   * @param Bytes Its content.
   * @return Nothing, or Unreachable.
   */
  virtual Result<void> stage(const ChunkRef &Chunk,
                             const std::string &Bytes) = 0;

  /**
   * Reads back the bytes that are staged for a chunk. They may be damaged or
   * belong to another version, so the caller must check them.
   * @param Chunk Which chunk.
   * @return Its bytes, NotFound, or Unreachable.
   */
  virtual Result<std::string> readStagedContent(const ChunkRef &Chunk) = 0;

  /**
   * Loads a staged set; returns when it is loaded.
   * @param Order The set to load.
   * @param Steps Callbacks, called from this thread.
   * @return Nothing, or why the engine refused; OutcomeUnknown when it may have
   *         loaded, or may still load, other chunks than those verified.
   */
  virtual Result<void> load(const LoadOrder &Order,
                            const LoadCallbacks &Steps) = 0;
};

} // namespace jacinthpond

#endif
