/** @file reading.cpp Prompts that a back end has to read. */

#include "admission/reading_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Reading that may be left when another prompt is given. Answers pause for the
 * reading and for a pass of the engine, about 50 ms; together with one long
 * prompt, 120 ms, that stays below pauses of 300 ms.
 */
constexpr Millis MostReadingLeft{90};

} // namespace

Duration readingLeft(const ReadingDebt &Debt, TimePoint Now) {
  return std::max(Debt.Owed - (Now - Debt.At), Duration{0});
}

bool mayRead(const ReadingDebt &Debt, TimePoint Now) {
  return readingLeft(Debt, Now) <= MostReadingLeft;
}

Duration readingTime(const ReadingDebt &Debt, uint32_t Tokens) {
  if (Debt.TokensPerSecond <= 0)
    return Duration{0};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Tokens / Debt.TokensPerSecond));
}

void addReading(ReadingDebt &Debt, uint32_t Tokens, TimePoint Now) {
  Debt.Owed = readingLeft(Debt, Now) + readingTime(Debt, Tokens);
  Debt.At = Now;
}

} // namespace jacinthpond
