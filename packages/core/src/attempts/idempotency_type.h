/** @file idempotency_type.h What a home remembers of non-repeatable calls. */

#ifndef JACINTHPOND_CORE_IDEMPOTENCY_TYPE_H
#define JACINTHPOND_CORE_IDEMPOTENCY_TYPE_H

#include "attempts/backend_type.h"
#include "attempts/home_token_func.h"
#include "base/error_type.h"
#include "base/time_type.h"
#include "configuration/document_type.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jacinthpond {

/** How far a key has come at its home. */
enum class KeyState : uint8_t {
  Waiting, ///< Its attempt waits to run.
  Running, ///< The back end may have it.
  Done,    ///< It ran; the answer may be lost.
  Refused  ///< It did not run and never will under this token.
};

/** A call that may not be repeated, as its home remembers it. */
struct KeyRecord {
  Digest Body;                         ///< Digest of the body.
  KeyState State = KeyState::Waiting;  ///< How far it has come.
  std::optional<ServiceAnswer> Answer; ///< When Done; none: unknown.
  std::string Token;                   ///< Token it came with; empty: none.
  TimePoint Forget;                    ///< When it is forgotten.
  AttemptId First;                     ///< Attempt that runs it.
  std::vector<AttemptId> Followers;    ///< Repeats that wait for the answer.
};

/** A published list that was in force here before. */
struct PastList {
  DocumentPtr Doc; ///< The document.
  TimePoint Until; ///< When another one took its place.
};

/** All keys of one home. */
struct KeyBook {
  std::map<KeyName, KeyRecord> Records;               ///< By key.
  std::set<std::pair<TimePoint, KeyName>> ByExpiry;   ///< First to go first.
  std::set<std::pair<TimePoint, KeyName>> WithAnswer; ///< Those with Answer.
  size_t AnswerBytes = 0;                             ///< Bytes in all answers.
  uint64_t Epoch = 1;         ///< Stretch of memory that new tokens name.
  TimePoint EpochSince;       ///< When it began.
  std::set<Incarnation> Runs; ///< Incarnations that this memory lived through.
  TimePoint Started;          ///< Nothing from before this is known.
  std::deque<PastList> Lists; ///< Lists of the last while, oldest first.
};

/** What a home may do with a key. */
enum class KeyChoice : uint8_t {
  Run,      ///< It did not run; it may run now.
  Follow,   ///< It waits or runs: the repeat gets the same answer.
  Answer,   ///< It ran: the answer is in the record, or lost.
  Refuse,   ///< It did not run and will not under this token.
  Conflict, ///< The key came with another body before.
  Warming,  ///< It may have run where this home cannot see it; come back.
  Unknown   ///< It may have run where nobody can see it any more.
};

/** A choice with what the caller is told. */
struct KeyVerdict {
  KeyChoice Choice = KeyChoice::Unknown; ///< What to do.
  Millis RetryAfter{0};                  ///< When Refuse or Warming.
  std::string Detail;                    ///< For logs.
};

/** A keyed call as it comes to a home. */
struct KeyAsked {
  KeyName Key;       ///< Class, tenant and key.
  std::string Token; ///< As the caller sent it; empty: none.
  Digest Body;       ///< Digest of the body.
};

} // namespace jacinthpond

#endif
