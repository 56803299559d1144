/** @file request_framing.h Where a request ends, before it is given a thread.
 *
 * Only the length is worked out here; the HTTP library reads the request.
 */

#ifndef JACINTHPOND_ADAPTERS_HTTP_REQUEST_FRAMING_H
#define JACINTHPOND_ADAPTERS_HTTP_REQUEST_FRAMING_H

#include "base/error_type.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace jacinthpond {

/** Bounds of one request. */
struct FramingLimits {
  size_t MaxHeadBytes = 16384;   ///< Request line and headers.
  size_t MaxBodyBytes = 1 << 20; ///< Body.
};

/** What the first bytes of a request tell about its length. */
struct Framing {
  size_t Bytes = 0;           ///< Length of head and body; 0: not known yet.
  bool AsksToGoOn = false;    ///< The caller waits for "100 Continue".
  std::optional<Failure> Why; ///< Set when the request is refused unread.
};

/**
 * Works out where a request ends.
 * @param Received All bytes received of it so far.
 * @param Limits Bounds.
 * @return Its length, nothing yet, or why it is refused.
 */
Framing frameRequest(std::string_view Received, const FramingLimits &Limits);

} // namespace jacinthpond

#endif
