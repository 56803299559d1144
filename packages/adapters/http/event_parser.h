/** @file event_parser.h Reads an engine's event stream. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_EVENT_PARSER_H
#define JACINTHPOND_ADAPTERS_HTTP_EVENT_PARSER_H

#include "attempts/backend_type.h"

#include <functional>
#include <optional>
#include <string>

namespace jacinthpond {

/** Reads events line by line, however the stream is cut into pieces. */
struct EventParser {
  const std::function<bool(Digest)> &OnBegin;      ///< Takes the weights.
  const std::function<bool(std::string)> &OnToken; ///< Takes a token.
  std::string Buffer;                              ///< Unfinished line.
  std::optional<EngineEnd> End;                    ///< Set by the last event.
  bool Cancelled = false; ///< A taker said stop, or the stream is no good.

  /**
   * Reads the next bytes.
   * @param Data Where they are.
   * @param n How many.
   * @return False when no more are wanted.
   */
  bool take(const char *Data, size_t n);

private:
  bool takeLine(const std::string &Line);
};

} // namespace jacinthpond

#endif
