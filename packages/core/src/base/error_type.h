/** @file error_type.h The closed list of error kinds. */

#ifndef JACINTHPOND_CORE_ERROR_TYPE_H
#define JACINTHPOND_CORE_ERROR_TYPE_H

#include "base/time_type.h"

#include <cstdint>
#include <string>

namespace jacinthpond {

/** Every way in which the system declines or fails a request. */
enum class ErrorKind : uint8_t {
  BadRequest,      ///< Malformed input from a caller.
  TooLarge,        ///< Body or header above the limit.
  SlowCaller,      ///< Input did not arrive in time.
  Unauthorized,    ///< Token missing or wrong.
  Forbidden,       ///< Token of another team.
  NotFound,        ///< No such path or class.
  Overloaded,      ///< Queue full or limit reached.
  TenantLimit,     ///< The tenant's own share is used up.
  RateLimited,     ///< The back end's own rate limit is reached.
  NoWorker,        ///< No worker can take the request now.
  ColdStart,       ///< The back end is still warming up.
  DomainOut,       ///< The failure domain is taken out.
  Leaving,         ///< This process or host is shutting down.
  Quarantined,     ///< The request killed back ends before.
  StaleView,       ///< This process is cut off from the fleet.
  WeightsNotReady, ///< No whole, checked weights are loaded.
  KeyConflict,     ///< Same idempotency key, other body.
  KeyHomeWarming,  ///< The key's home cannot vouch for the key yet.
  Deadline,        ///< Deadline passed before the request began.
  OutcomeUnknown,  ///< The request may have run; its answer is lost.
  PartialAnswer,   ///< The answer broke off and cannot be resumed.
  BackEndFailed,   ///< The back end answered with an error.
  InvalidDocument, ///< A published or candidate document is wrong.
  InvalidSettings, ///< A settings file is wrong.
  Unreachable,     ///< A peer or platform service gave no answer.
  Malformed,       ///< A peer sent something that cannot be read.
  Internal,        ///< A fault of the system itself.
  Count            ///< Number of kinds; not a kind.
};

/** Whether the work behind an error was executed. */
enum class Ran : uint8_t { No, Yes, Unknown };

/** How every kind is answered; one row for each in table/error_table.h. */
struct ErrorAnswer {
  ErrorKind Kind;       ///< Which error.
  const char *Name;     ///< Name in answers, logs and metrics.
  int HttpStatus;       ///< Status of the answer to a caller.
  Ran Executed;         ///< Whether the work ran.
  int RetryAfterMillis; ///< Default hint for a retry; 0: do not retry.
  const char *Text;     ///< Sentence for the caller.
};

/** One failure with what is particular to it; travels through LEAF. */
struct Failure {
  ErrorKind Kind = ErrorKind::Internal; ///< Row of the error table.
  std::string Detail;                   ///< What was found, for a person.
  Millis RetryAfter{0};                 ///< 0: take the table's hint.
};

} // namespace jacinthpond

#endif
