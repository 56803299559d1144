/** @file request_framing.h Length of a request that is still arriving.
 *
 * Only the length is determined here; the HTTP library parses the request.
 */

#ifndef JACINTHPOND_ADAPTERS_HTTP_REQUEST_FRAMING_H
#define JACINTHPOND_ADAPTERS_HTTP_REQUEST_FRAMING_H

#include "base/error_type.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace jacinthpond {

/** Size limits of one request. */
struct FramingLimits {
  size_t MaxHeadBytes = 16384;   ///< Request line and headers.
  size_t MaxBodyBytes = 1 << 20; ///< Body.
};

/** Length of a request, as far as its first bytes define it. */
struct Framing {
  size_t Bytes = 0;             ///< Length of head and body; 0: unknown so far.
  bool ExpectsContinue = false; ///< The caller waits for "100 Continue".
  std::optional<Failure> Why;   ///< Set when the request is refused.
};

/**
 * Determines the length of a request from its headers.
 * @param Received All bytes received of it so far.
 * @param Limits Size limits.
 * @return Its length, nothing while the headers are incomplete, or why it is
 *         refused.
 */
Framing frameRequest(std::string_view Received, const FramingLimits &Limits);

} // namespace jacinthpond

#endif
