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

Duration prefillTimeLeft(const PrefillQueue &Debt, TimePoint Now) {
  return std::max(Debt.Backlog - (Now - Debt.UpdatedAt), Duration{0});
}

bool maySendPrompt(const PrefillQueue &Debt, TimePoint Now) {
  return prefillTimeLeft(Debt, Now) <= MaxTimeLeftToSend;
}

Duration prefillTime(const PrefillQueue &Debt, uint32_t Tokens) {
  if (Debt.TokensPerSecond <= 0)
    return Duration{0};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Tokens / Debt.TokensPerSecond));
}

void addPrompt(PrefillQueue &Debt, uint32_t Tokens, TimePoint Now) {
  Debt.Backlog = prefillTimeLeft(Debt, Now) + prefillTime(Debt, Tokens);
  Debt.UpdatedAt = Now;
}

} // namespace jacinthpond
