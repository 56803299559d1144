/** @file forward_headers.h Headers of requests and answers on their way. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARD_HEADERS_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARD_HEADERS_H

#include "forward/back_end_call.h"
#include "forward/caller_session.h"
#include "wire_port.h"

#include <optional>
#include <string>

namespace jacinthpond {

/** What the system says in a request to a back end. */
struct PassedOn {
  Millis Remaining{0};                 ///< Time left for the caller.
  InstanceId Server;                   ///< Who may answer.
  std::string Version;                 ///< Weights that may begin; empty: any.
  std::string Tenant;                  ///< Whose request; empty: nobody's.
  uint32_t Rank = 0;                   ///< Urgency; 0 is first.
  std::optional<uint64_t> LastEventId; ///< Event after which to go on.
};

/**
 * Writes the request for a back end: method, target, body and headers are the
 * caller's, except those of one connection, its key, and what the system sets.
 * @param Asked The caller's request.
 * @param Names Names of headers.
 * @param Passed What the system says.
 * @return The request as bytes.
 */
std::string requestBytes(const CallerRequest &Asked, const HeaderNames &Names,
                         const PassedOn &Passed);

/**
 * Copies the headers of an answer that a caller gets.
 * @param Head What the back end sent.
 * @param Into Headers of the answer to the caller.
 */
void copyAnswerHeaders(const ResponseHead &Head,
                       boost::beast::http::fields &Into);

} // namespace jacinthpond

#endif
