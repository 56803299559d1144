/** @file engine_port.h A model engine as its agent uses it. */

#ifndef JACINTHPOND_PORTS_ENGINE_PORT_H
#define JACINTHPOND_PORTS_ENGINE_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"

#include <functional>
#include <string>

namespace jacinthpond {

/** What happens around the order to load a set. */
struct LoadSteps {
  /** Right before the order is sent, each time; should it fail, the order is
   * not sent. */
  std::function<Result<void>()> LastLook;
  /** The engine took the order. Fails when what lies staged is no longer what
   * the last look found; otherwise chunks may be staged again. */
  std::function<Result<void>()> Taken;
};

/** A model engine. All calls block and may be made from several threads. */
class EnginePort {
public:
  virtual ~EnginePort() = default;

  /**
   * Runs a request and gives its tokens as they come.
   * @param Request What to run.
   * @param OnBegin Takes the weights that the engine says it uses, before any
   *        token; returns false to cancel.
   * @param OnToken Takes one token; returns false to cancel the stream.
   * @return How it ended; Unreachable only when it was never sent.
   */
  virtual Result<EngineEnd>
  generate(const EngineRequest &Request,
           const std::function<bool(Digest)> &OnBegin,
           const std::function<bool(std::string)> &OnToken) = 0;

  /**
   * Reads the engine's own state.
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
   * Reads back what is staged in a chunk's place. The content is not trusted.
   * @param Chunk Which chunk.
   * @return Its bytes, NotFound, or Unreachable.
   */
  virtual Result<std::string> staged(const ChunkRef &Chunk) = 0;

  /**
   * Loads a staged set; returns when that is done.
   * @param Order What to load.
   * @param Steps Called from this thread on the way.
   * @return Nothing, or why the engine refused; OutcomeUnknown when it may have
   *         loaded something else than the last look found, now or later.
   */
  virtual Result<void> load(const LoadOrder &Order, const LoadSteps &Steps) = 0;
};

} // namespace jacinthpond

#endif
