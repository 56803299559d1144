/** @file forward_headers.h Headers of forwarded requests and responses. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARD_HEADERS_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARD_HEADERS_H

#include "forward/back_end_call.h"
#include "forward/caller_session.h"
#include "wire_port.h"

#include <optional>
#include <string>

namespace jacinthpond {

/** Header values that the entry sets in a request to a back end. */
struct AttemptHeaders {
  Millis Remaining{0};   ///< Time until the caller's deadline.
  InstanceId Server;     ///< Run of the back end that may answer.
  std::string Version;   ///< Required weights version; empty: any.
  std::string Workspace; ///< Workspace; empty: none.
  uint32_t Rank = 0;     ///< Priority; 0 is first.
  std::optional<uint64_t> LastEventId; ///< Event after which to resume.
};

/**
 * Serializes the head of the request for a back end. Method, target and headers
 * are the caller's, without hop-by-hop headers, the caller's key and any
 * headers that the entry sets itself.
 * @param Request The caller's request.
 * @param BodyBytes Length of the body that follows.
 * @param Names Names of headers.
 * @param Added Header values that the entry sets.
 * @return The serialized head.
 */
std::string requestHead(const CallerRequest::header_type &Request,
                        size_t BodyBytes, const HeaderNames &Names,
                        const AttemptHeaders &Added);

/**
 * Formats a duration for Retry-After.
 * @param Time The duration.
 * @return Seconds with three decimals.
 */
std::string formatSeconds(Millis Time);

/**
 * Copies the status, the reason and the headers of a response, without
 * hop-by-hop headers. Statuses that the library has no name for are kept.
 * @param Head Head of the back end's response.
 * @param Into Head of the response to the caller.
 */
void copyAnswerHead(const ResponseHead &Head, ResponseHead &Into);

} // namespace jacinthpond

#endif
