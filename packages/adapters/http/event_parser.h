/** @file event_parser.h Parser of an engine's event stream. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_EVENT_PARSER_H
#define JACINTHPOND_ADAPTERS_HTTP_EVENT_PARSER_H

#include "attempts/backend_type.h"

#include <functional>
#include <optional>
#include <string>

namespace jacinthpond {

/** Parses server-sent events line by line, across the boundaries of the pieces
 * that arrive. */
struct EventParser {
  const std::function<bool(Digest)> &OnBegin;      ///< Gets the weights.
  const std::function<bool(std::string)> &OnToken; ///< Gets a token.
  std::string Buffer;                              ///< Incomplete last line.
  std::optional<EngineEnd> End;                    ///< Set by the final event.
  bool Cancelled = false; ///< A callback returned false, or invalid stream.

  /**
   * Parses the next bytes of the stream.
   * @param Data The bytes.
   * @param n Number of bytes.
   * @return False when the stream is to be closed.
   */
  bool parseBytes(const char *Data, size_t n);

private:
  /** Handles one line; false when the stream is to be closed. */
  bool parseLine(const std::string &Line);
};

} // namespace jacinthpond

#endif
