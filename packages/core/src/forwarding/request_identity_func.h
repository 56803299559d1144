/** @file request_identity_func.h Recognizing copies of a request on routes. */

#ifndef JACINTHPOND_CORE_FORWARDING_REQUEST_IDENTITY_FUNC_H
#define JACINTHPOND_CORE_FORWARDING_REQUEST_IDENTITY_FUNC_H

#include "base/ids_type.h"

#include <string_view>
#include <vector>

namespace jacinthpond {

/** What a back end gets of a request, but for headers. */
struct RequestContent {
  std::string_view Method;            ///< HTTP method.
  std::string_view Host;              ///< Host header, as the caller sent it.
  std::string_view Target;            ///< Path and query.
  std::vector<std::string_view> Body; ///< Decoded body, in parts.
};

/**
 * Identifies a request by what its back end gets. Copies have the same
 * fingerprint whatever entry they come to, with other attempt ids, deadlines,
 * API keys of the same workspace, framing or order of headers.
 * @param Owner Workspace of the caller; empty: none.
 * @param Content The request.
 * @return The fingerprint.
 */
Digest routeFingerprint(const WorkspaceName &Owner,
                        const RequestContent &Content);

/**
 * Identifies a part of prompts. The same part is another one for another model:
 * what one engine crashes on, another may answer. Callers, routes and services
 * make no difference.
 * @param Model Model that the request is for; empty: not given.
 * @param Part The part.
 * @return The fingerprint.
 */
Digest partFingerprint(const ModelName &Model, const PartId &Part);

} // namespace jacinthpond

#endif
