/** @file error_type.h All error kinds. */

#ifndef JACINTHPOND_CORE_ERROR_TYPE_H
#define JACINTHPOND_CORE_ERROR_TYPE_H

#include "base/time_type.h"

#include <cstdint>
#include <string>

namespace jacinthpond {

/** Kinds of errors; one row for each in table/error_table.h. */
enum class ErrorKind : uint8_t {
  BadRequest,      ///< A caller sent a malformed request.
  TooLarge,        ///< Body or header exceeds its size limit.
  SlowCaller,      ///< A caller sent its request too slowly.
  Unauthorized,    ///< Token missing or wrong.
  Forbidden,       ///< Token belongs to another team.
  NotFound,        ///< No such path or class.
  Overloaded,      ///< Queue is full or a limit is reached.
  WorkspaceLimit,  ///< The workspace has used up its share.
  RateLimited,     ///< The back end has reached its rate limit.
  NoWorker,        ///< No worker can currently take the request.
  ColdStart,       ///< The back end is still warming up.
  DomainOut,       ///< The failure domain is taken out of service.
  Leaving,         ///< This process or host is shutting down.
  Quarantined,     ///< The request has crashed back ends before.
  StaleView,       ///< This process is cut off from the fleet.
  WeightsNotReady, ///< No complete, verified weights are loaded.
  KeyConflict,     ///< Idempotency key was used with another body.
  KeyHomeWarming,  ///< The key's home cannot confirm its state yet.
  Deadline,        ///< Deadline passed before the request started.
  OutcomeUnknown,  ///< The request may have run; its answer is lost.
  PartialAnswer,   ///< The answer was cut off and cannot be resumed.
  BackEndFailed,   ///< The back end answered with an error.
  InvalidDocument, ///< A published or candidate document is invalid.
  InvalidSettings, ///< A settings file is invalid.
  Unreachable,     ///< A peer or platform service did not answer.
  Malformed,       ///< A peer sent a message that cannot be decoded.
  Internal,        ///< Internal error.
  CrashesBackEnds, ///< As Quarantined, on routes: callers may retry it.
  HostFull,        ///< Requests hold all memory or connections of the host.
  Count            ///< Number of kinds; not a kind.
};

/** Whether the back end executed the request. */
enum class Ran : uint8_t { No, Yes, Unknown };

/** One row of the error table: how an error kind is answered. */
struct ErrorAnswer {
  ErrorKind Kind;       ///< Error kind of the row.
  const char *Name;     ///< Name in answers, logs and metrics.
  int HttpStatus;       ///< HTTP status of the answer.
  Ran Executed;         ///< Whether the request was executed.
  int RetryAfterMillis; ///< Default retry delay; 0: do not retry.
  const char *Text;     ///< Message for the caller.
};

/** Details of one failure; carried by LEAF errors. */
struct Failure {
  ErrorKind Kind = ErrorKind::Internal; ///< Row of the error table.
  std::string Detail;                   ///< Description for people.
  Millis RetryAfter{0};                 ///< 0: default of the error table.
};

} // namespace jacinthpond

#endif
