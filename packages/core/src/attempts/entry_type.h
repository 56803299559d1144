/** @file entry_type.h Calls and state of an entry. */

#ifndef JACINTHPOND_CORE_ENTRY_TYPE_H
#define JACINTHPOND_CORE_ENTRY_TYPE_H

#include "admission/quarantine_type.h"
#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "configuration/left_out_type.h"
#include "membership/membership_type.h"
#include "routing/retry_budget_type.h"
#include "settings/settings_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** A request as received from a caller. */
struct CallRequest {
  CallId Call;             ///< Assigned by the traffic thread.
  RequestId Request;       ///< Request id, for logs and answers.
  ClassName Class;         ///< Class of work.
  WorkspaceName Workspace; ///< Workspace of the caller.
  IdempotencyKey Key;      ///< Empty when none was sent.
  std::string Token;       ///< Home token; empty when none was sent.
  std::string Caller;      ///< Caller id, to spread callers over entries.
  std::string Body;        ///< As sent by the caller.
  Millis Deadline{0};      ///< 0 for the deadline of the class.
};

/** The open attempt of a call. */
struct OpenAttempt {
  AttemptId Id;         ///< Never used again; empty when no attempt is open.
  HostName Worker;      ///< Worker that it was sent to.
  LinkId Link;          ///< Link that it was sent over; none while lost.
  Incarnation Run;      ///< Incarnation of the agent it was sent to.
  bool Started = false; ///< Started by the back end.
  std::optional<TimePoint> LinkLostAt; ///< Set while its link is lost.
  uint64_t FirstFrame = 0;             ///< Sequence of its first frame.
  size_t TextOffset = 0; ///< Start of its first frame in Call::Text.
};

/** A request that has not had its final answer. */
struct Call {
  CallRequest Received;        ///< The request as received.
  TimePoint Arrived;           ///< When the request arrived.
  TimePoint Deadline;          ///< When the call is given up.
  OpenAttempt Attempt;         ///< The open attempt, if any.
  Digest Weights;              ///< Weights that the answer was started with.
  uint64_t NextFrame = 0;      ///< Sequence of the next frame expected.
  std::string Text;            ///< Answer received so far.
  uint32_t Tries = 0;          ///< Attempts started so far.
  std::vector<HostName> Tried; ///< Workers whose attempt failed or was refused.
  Ran Executed = Ran::No;      ///< Whether any attempt that has ended ran.
  bool HomeConfirmedNotRun = false; ///< Its home says that the key did not run.
  /// Set while a keyed call waits for a link to its home.
  std::optional<TimePoint> WaitingForHomeSince;
  bool QueryOnly = false; ///< Only asks the home whether the key ran.
};

/** Counters of an entry, for metrics and status. */
struct EntryCounters {
  uint64_t Calls = 0;         ///< Requests received.
  uint64_t Retries = 0;       ///< Attempts after the first.
  uint64_t Resumes = 0;       ///< Partial answers resumed on another worker.
  uint64_t Recovered = 0;     ///< Lost attempts that the agent still had.
  uint64_t DroppedFrames = 0; ///< Late, reordered or repeated messages.
  std::map<ErrorKind, uint64_t> Errors; ///< Final errors of each kind.
};

/** State of an entry, owned by its control thread. */
struct EntryState {
  Settings Config;      ///< Settings of this process.
  ConfigView View;      ///< Configuration in force.
  LeftOutParts LeftOut; ///< Parts that the service's documents leave out.
  Membership Fleet;     ///< Links to agents and entries.
  std::map<CallId, Call> Calls;         ///< Requests without a final answer.
  std::map<AttemptId, CallId> Attempts; ///< Open attempts.
  std::map<HostName, uint32_t> OpenByWorker; ///< Attempts open at each worker.
  uint64_t NextAttempt = 1; ///< Number for the next attempt id.
  Quarantine Suspects;   ///< Requests that were running when back ends failed.
  RetryBudget Retries;   ///< Remaining retry budget.
  bool Stopping = false; ///< New requests are refused.
  TimePoint HomeQueriesUntil; ///< While stopping: end of QueryOnly calls.
  EntryCounters Counters;     ///< Totals since the start.
};

} // namespace jacinthpond

#endif
