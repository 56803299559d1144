/** @file no_server_type.h Requests for which no back end was found. */

#ifndef JACINTHPOND_CORE_NO_SERVER_TYPE_H
#define JACINTHPOND_CORE_NO_SERVER_TYPE_H

#include <cstdint>

namespace jacinthpond {

/** Why no back end was found for an attempt. */
enum class NoServerReason : uint8_t {
  NoAttemptLeft, ///< The request used up its attempts.
  NoPlace,       ///< The agents that were asked had no slot.
  RetryBudget,   ///< The retry budget is used up.
  NoneUsable,    ///< No back end is usable.
  AllFull,       ///< All usable ones are at their capacity.
  AllAtRate,     ///< All usable ones are at their rate limit.
  AllPaused,     ///< All usable ones have asked for a pause.
  Quarantined,   ///< Copies of the request crash back ends.
  Count          ///< Number of values; not a value.
};

/** State of a request for which no back end was found. */
struct UnplacedRequest {
  bool AnswerOpen = false; ///< An earlier attempt may still be answered.
  bool Begun = false;      ///< The caller has a part of the answer.
  bool MayHaveRun = false; ///< Some attempt may have been executed.
};

/** What to do with such a request. */
enum class UnplacedAction : uint8_t {
  KeepAnswer, ///< Go on with the open attempt, and search again later.
  Wait,       ///< Nothing is open: search again later.
  Fail,       ///< End it; its outcome is unknown.
  Refuse      ///< Refuse it as not executed.
};

} // namespace jacinthpond

#endif
