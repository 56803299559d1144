/** @file reading.cpp Prompts that a back end has yet to read (prefill). */

#include "admission/reading_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Reading time that may be left when another prompt is sent. Running answers
 * pause for it and for a pass of the engine, about 50 ms; with one more long
 * prompt of 120 ms the pause stays below 300 ms.
 */
constexpr Millis MaxTimeLeftToSend{90};

} // namespace

Duration prefillTimeLeft(const PrefillQueue &UnreadPrompts, TimePoint Now) {
  return std::max(UnreadPrompts.Backlog - (Now - UnreadPrompts.UpdatedAt),
                  Duration{0});
}

bool maySendPrompt(const PrefillQueue &UnreadPrompts, TimePoint Now) {
  return prefillTimeLeft(UnreadPrompts, Now) <= MaxTimeLeftToSend;
}

Duration prefillTime(const PrefillQueue &UnreadPrompts, uint32_t Tokens) {
  if (UnreadPrompts.TokensPerSecond <= 0)
    return Duration{0};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Tokens / UnreadPrompts.TokensPerSecond));
}

void addPrompt(PrefillQueue &UnreadPrompts, uint32_t Tokens, TimePoint Now) {
  UnreadPrompts.Backlog =
      prefillTimeLeft(UnreadPrompts, Now) + prefillTime(UnreadPrompts, Tokens);
  UnreadPrompts.UpdatedAt = Now;
}

} // namespace jacinthpond
