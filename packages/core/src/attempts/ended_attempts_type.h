/** @file ended_attempts_type.h What an agent remembers of ended attempts. */

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

/** One attempt that has its final message. */
struct EndedAttempt {
  std::variant<AttemptFailed, AnswerEnd> Final; ///< How it ended.
  std::optional<Digest> Weights;   ///< Set once the back end had begun.
  uint64_t FirstFrame = 0;         ///< Sequence of Frames.front().
  std::vector<std::string> Frames; ///< The answer; dropped when space is short.
  TimePoint Forget;                ///< When it is forgotten.
};

/** Ended attempts of the last while, bounded in number, bytes and time. */
struct EndedAttempts {
  std::map<AttemptId, EndedAttempt> Known;              ///< By attempt.
  std::set<std::pair<TimePoint, AttemptId>> ByExpiry;   ///< First to go first.
  std::set<std::pair<TimePoint, AttemptId>> WithFrames; ///< Those with Frames.
  size_t FrameBytes = 0;   ///< Bytes in all Frames.
  TimePoint CompleteSince; ///< No attempt was forgotten early after this.
};

} // namespace jacinthpond

#endif
