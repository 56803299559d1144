/** @file no_server.cpp Requests for which no back end was found. */

#include "forwarding/no_server_func.h"

#include <array>
#include <cstddef>

namespace jacinthpond {

namespace {

/** What is known of one reason. */
struct ReasonRow {
  const char *Name;   ///< Name in logs.
  bool Begun = false; ///< It may pass while the caller of a stream waits.
  bool Short = false; ///< It passes within the time of a few answers.
};

/** Each NoServerReason, in enum order. */
constexpr std::array<ReasonRow, static_cast<size_t>(NoServerReason::Count)>
    ReasonTable = {{
        {"no_attempt_left"},
        {"no_place", true, true},
        {"retry_budget", true},
        {"none_usable", true},
        {"all_full", true, true},
        {"all_at_rate", true, true},
        {"all_paused", true},
        {"quarantined"},
    }};

const ReasonRow &rowOf(NoServerReason Why) {
  return ReasonTable.at(static_cast<size_t>(Why));
}

} // namespace

const char *noServerReasonName(NoServerReason Why) { return rowOf(Why).Name; }

UnplacedAction unplacedAction(const UnplacedRequest &Request,
                              NoServerReason Why) {
  if (Request.AnswerOpen)
    return UnplacedAction::KeepAnswer;
  if (!Request.MayHaveRun)
    return UnplacedAction::Refuse;
  const bool Waits = Request.Begun ? rowOf(Why).Begun : rowOf(Why).Short;
  return Waits ? UnplacedAction::Wait : UnplacedAction::Fail;
}

} // namespace jacinthpond
