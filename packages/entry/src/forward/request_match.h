/** @file request_match.h What the head of a request decides. */

#ifndef JACINTHPOND_ENTRY_FORWARD_REQUEST_MATCH_H
#define JACINTHPOND_ENTRY_FORWARD_REQUEST_MATCH_H

#include "base/error_type.h"
#include "forward/forward_context.h"

#include <optional>

namespace jacinthpond {

/** Route and workspace of a request, or why it is refused. */
struct RequestMatch {
  const Route *Found = nullptr;     ///< Route; null: none.
  const Workspace *Owner = nullptr; ///< Workspace of the key; null: none.
  std::optional<Failure> Refused;   ///< Set if the request can't be served.
  const char *Reason = "";          ///< Reason of the refusal, for the log.
};

/**
 * Says whether this entry has a document and a fresh view of the fleet.
 * @param Shared State of the traffic thread.
 * @return Whether requests can be matched.
 */
inline bool isEntryReady(const ForwardContext &Shared) {
  return Shared.Doc != nullptr && Shared.Fleet.Ready;
}

/**
 * Finds the route and the workspace of a request.
 * @param Shared State of the traffic thread.
 * @param Head Head of the request.
 * @return What was found; its pointers are valid as long as the document.
 */
RequestMatch matchRequest(const ForwardContext &Shared,
                          const CallerRequest::header_type &Head);

} // namespace jacinthpond

#endif
