/** @file idempotency_type.h Records that a home keeps of keyed calls.
 *
 * A keyed call is one of a class that is not repeatable; it carries an
 * idempotency key. The home of a key is the only worker that may run calls with
 * it. See home_token_func.h for how it is chosen.
 */

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

/** State of a key at its home. */
enum class KeyState : uint8_t {
  Waiting, ///< Its attempt is queued.
  Running, ///< Sent to the back end.
  Done,    ///< It may have run; the answer may be lost.
  Refused  ///< It did not run, and never will with this token.
};

/** Record of a keyed call at its home. */
struct KeyRecord {
  Digest Body;                         ///< Digest of the request body.
  KeyState State = KeyState::Waiting;  ///< State of the key.
  std::optional<ServiceAnswer> Answer; ///< Set when Done and still kept.
  std::string Token;      ///< Home token of the call; empty for none.
  TimePoint ExpiresAt;    ///< When the record is removed.
  AttemptId FirstAttempt; ///< The attempt that runs the call.
  std::vector<AttemptId> RepeatAttempts; ///< Repeats that get the same answer.
};

/** A document that was in force here before. */
struct PastDocument {
  DocumentPtr Doc; ///< The document.
  TimePoint Until; ///< When it was replaced.
};

/** Keys that one home has records of. */
struct KeyStore {
  std::map<KeyName, KeyRecord> Records;               ///< By key.
  std::set<std::pair<TimePoint, KeyName>> ByExpiry;   ///< In order of expiry.
  std::set<std::pair<TimePoint, KeyName>> WithAnswer; ///< Those with Answer.
  size_t AnswerBytes = 0; ///< Total size of the answers.
  uint64_t Epoch = 1;     ///< Epoch that new tokens name.
  TimePoint EpochStart;   ///< When the epoch began.
  std::set<Incarnation>
      KnownIncarnations; ///< Incarnations that made these records.
  TimePoint Started; ///< Calls from before this time may have run unrecorded.
  std::deque<PastDocument> PastDocuments; ///< Recent documents, oldest first.
};

/** What a home does with a keyed call. */
enum class KeyChoice : uint8_t {
  Run,      ///< It did not run yet; run it now.
  Follow,   ///< It is queued or running; give the repeat the same answer.
  Answer,   ///< It ran; send the recorded answer, or an error if it is lost.
  Refuse,   ///< It did not run, and never will with this token.
  Conflict, ///< The key was used with another body before.
  Warming,  ///< It may have run elsewhere; the caller may try later.
  Unknown   ///< It may have run, and no record of it is left.
};

/** Decision about a keyed call, and what the caller is told. */
struct KeyDecision {
  KeyChoice Choice = KeyChoice::Unknown; ///< What the home does.
  Millis RetryAfter{0};                  ///< Set for Refuse and Warming.
  std::string Detail; ///< Reason, for logs and error details.
};

/** A keyed call as received by a home. */
struct KeyedRequest {
  KeyName Key;       ///< Class, workspace and key.
  std::string Token; ///< Home token as sent by the caller; empty for none.
  Digest Body;       ///< Digest of the request body.
};

} // namespace jacinthpond

#endif
