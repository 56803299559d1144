/** @file table/error_table.h One row for each error kind, in enum order. */

#ifndef JACINTHPOND_CORE_TABLE_ERROR_TABLE_H
#define JACINTHPOND_CORE_TABLE_ERROR_TABLE_H

#include "base/error_type.h"

#include <array>

namespace jacinthpond {

/** How each error kind is answered, indexed by ErrorKind. */
constexpr std::array<ErrorAnswer, static_cast<size_t>(ErrorKind::Count)>
    ErrorTable = {{
        {ErrorKind::BadRequest, "bad_request", 400, Ran::No, 0,
         "The request is malformed."},
        {ErrorKind::TooLarge, "too_large", 413, Ran::No, 0,
         "The request exceeds the size limit."},
        {ErrorKind::SlowCaller, "slow_caller", 408, Ran::No, 0,
         "The request did not arrive in time."},
        {ErrorKind::Unauthorized, "unauthorized", 401, Ran::No, 0,
         "The token is missing or wrong."},
        {ErrorKind::Forbidden, "forbidden", 403, Ran::No, 0,
         "The token does not allow this."},
        {ErrorKind::NotFound, "not_found", 404, Ran::No, 0,
         "There is no such path or class."},
        {ErrorKind::Overloaded, "overloaded", 503, Ran::No, 500,
         "All workers of the class are busy."},
        {ErrorKind::WorkspaceLimit, "tenant_limit", 429, Ran::No, 500,
         "The tenant's share is used up."},
        {ErrorKind::RateLimited, "rate_limited", 503, Ran::No, 500,
         "The back end takes no more requests a second."},
        {ErrorKind::NoWorker, "no_worker", 503, Ran::No, 1000,
         "No worker can take the request now."},
        {ErrorKind::ColdStart, "cold_start", 503, Ran::No, 500,
         "The back end is warming up."},
        {ErrorKind::DomainOut, "domain_out", 503, Ran::No, 1000,
         "The failure domain is taken out."},
        {ErrorKind::Leaving, "leaving", 503, Ran::No, 100,
         "This host is leaving; use another address."},
        {ErrorKind::Quarantined, "quarantined", 422, Ran::No, 0,
         "The request made back ends fail and is refused for a time."},
        {ErrorKind::StaleView, "stale_view", 503, Ran::No, 1000,
         "This host is cut off from the fleet; use another address."},
        {ErrorKind::WeightsNotReady, "weights_not_ready", 503, Ran::No, 1000,
         "The model is not loaded yet."},
        {ErrorKind::KeyConflict, "key_conflict", 409, Ran::No, 0,
         "The idempotency key was used with another body."},
        {ErrorKind::KeyHomeWarming, "key_home_warming", 503, Ran::Unknown, 1000,
         "The key's record may be missing; try again later."},
        {ErrorKind::Deadline, "deadline", 504, Ran::No, 1000,
         "The deadline passed before the request began."},
        {ErrorKind::OutcomeUnknown, "outcome_unknown", 502, Ran::Unknown, 0,
         "The request may have run; its outcome is unknown."},
        {ErrorKind::PartialAnswer, "partial_answer", 502, Ran::Yes, 100,
         "The answer broke off."},
        {ErrorKind::BackEndFailed, "back_end_failed", 502, Ran::Yes, 0,
         "The back end answered with an error."},
        {ErrorKind::InvalidDocument, "invalid_document", 422, Ran::No, 0,
         "The document is invalid."},
        {ErrorKind::InvalidSettings, "invalid_settings", 422, Ran::No, 0,
         "The settings are invalid."},
        {ErrorKind::Unreachable, "unreachable", 503, Ran::No, 1000,
         "A peer or platform service does not answer."},
        {ErrorKind::Malformed, "malformed", 400, Ran::No, 0,
         "A message cannot be read."},
        {ErrorKind::Internal, "internal", 500, Ran::Unknown, 1000,
         "Internal fault."},
        {ErrorKind::CrashesBackEnds, "crashes_back_ends", 503, Ran::No, 60000,
         "The request made back ends fail and is refused for a time."},
        {ErrorKind::HostFull, "host_full", 503, Ran::No, 500,
         "This host holds as many requests as it can."},
    }};

} // namespace jacinthpond

#endif
