/** @file ended_attempts_type.h Record of ended attempts at an agent. */

#ifndef JACINTHPOND_CORE_ENDED_ATTEMPTS_TYPE_H
#define JACINTHPOND_CORE_ENDED_ATTEMPTS_TYPE_H

#include "base/time_type.h"
#include "wire/message_type.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace jacinthpond {

/** An attempt whose final message has been sent. */
struct EndedAttempt {
  std::variant<AttemptFailed, AnswerEnd> Final; ///< Final message.
  std::optional<Digest> Weights;   ///< Set if the back end had begun.
  uint64_t FirstFrame = 0;         ///< Sequence of Frames.front().
  std::vector<std::string> Frames; ///< The answer; dropped for lack of space.
  TimePoint ForgetAt;              ///< When it is removed.
};

/** Recently ended attempts, bounded in number, bytes and time. */
struct EndedAttempts {
  std::map<AttemptId, EndedAttempt> ById;               ///< By attempt.
  std::set<std::pair<TimePoint, AttemptId>> ByExpiry;   ///< By ForgetAt.
  std::set<std::pair<TimePoint, AttemptId>> WithFrames; ///< Those with Frames.
  size_t FrameBytes = 0;   ///< Total size of all Frames.
  TimePoint CompleteSince; ///< No attempt is missing from then on.
};

} // namespace jacinthpond

#endif
