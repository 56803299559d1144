/** @file entry_type.h State of an entry host. */

#ifndef JACINTHPOND_CORE_ENTRY_TYPE_H
#define JACINTHPOND_CORE_ENTRY_TYPE_H

#include "admission/quarantine_type.h"
#include "base/effect_type.h"
#include "configuration/config_view_type.h"
#include "membership/membership_type.h"
#include "routing/retry_budget_type.h"
#include "settings/settings_type.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond {

/** A request as it came from a caller. */
struct CallRequest {
  CallId Call;        ///< Number given by the traffic side.
  RequestId Request;  ///< For logs and answers.
  ClassName Class;    ///< Class of work.
  TenantName Tenant;  ///< Whose request it is.
  IdempotencyKey Key; ///< Empty: none given.
  std::string Token;  ///< Home token; empty: none given.
  std::string Caller; ///< Spreads callers over the entries.
  std::string Body;   ///< As the caller sent it.
  Millis Deadline{0}; ///< 0: the class's.
};

/** The attempt of a call that is under way. */
struct OpenAttempt {
  AttemptId Id;                  ///< Unique for ever.
  HostName Worker;               ///< Where it was sent.
  LinkId Link;                   ///< Over which link.
  Incarnation Run;               ///< Incarnation of the agent it was sent to.
  bool Begun = false;            ///< The back end has it.
  std::optional<TimePoint> Lost; ///< Since when its link is gone.
  uint64_t FirstFrame = 0;       ///< Sequence of its first frame.
  size_t TextOffset = 0; ///< Where its first frame stands in Call::Text.
};

/** A caller's request until its final answer. */
struct Call {
  CallRequest Asked;           ///< What was asked.
  TimePoint Arrived;           ///< When it came.
  TimePoint Deadline;          ///< When the caller has no more use for it.
  OpenAttempt Attempt;         ///< The attempt under way.
  Digest Weights;              ///< Weights that began the answer.
  uint64_t NextFrame = 0;      ///< Sequence of the next frame wanted.
  std::string Text;            ///< The answer so far.
  uint32_t Tries = 0;          ///< Attempts so far.
  std::vector<HostName> Tried; ///< Workers that refused or failed it.
  Ran Executed = Ran::No;      ///< Whether any ended attempt ran.
  bool HomeSaidNo = false;     ///< The home vouches that the key did not run.
  std::optional<TimePoint> HomeSought; ///< Since when its home is waited for.
  bool OnlyAsked = false; ///< Not to run: its home says whether the key did.
};

/** Counters of an entry; read by metrics and status. */
struct EntryCounters {
  uint64_t Calls = 0;                   ///< Requests taken.
  uint64_t Retries = 0;                 ///< Attempts after the first.
  uint64_t Resumes = 0;                 ///< Answers gone on with elsewhere.
  uint64_t Recovered = 0;               ///< Attempts found again at an agent.
  uint64_t DroppedFrames = 0;           ///< Late, crossed or repeated frames.
  std::map<ErrorKind, uint64_t> Errors; ///< Final errors of each kind.
};

/** All state of an entry host, owned by its control thread. */
struct EntryState {
  Settings Config;                      ///< Settings of this process.
  ConfigView View;                      ///< Published configuration.
  Membership Fleet;                     ///< Links to agents and entries.
  std::map<CallId, Call> Calls;         ///< Requests without a final answer.
  std::map<AttemptId, CallId> Attempts; ///< Attempts under way.
  std::map<HostName, uint32_t> OpenAt;  ///< Attempts open at each worker.
  uint64_t NextAttempt = 1;             ///< Part of the next attempt id.
  Quarantine Suspects;                  ///< Requests that were at a death.
  RetryBudget Retries;                  ///< Retries that may still be made.
  bool Stopping = false;                ///< No new requests are taken.
  TimePoint AskHomesUntil;              ///< While stopping.
  EntryCounters Counters;               ///< What happened so far.
};

} // namespace jacinthpond

#endif
