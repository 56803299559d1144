/** @file part_history.cpp Parts of prompts with which answers were begun. */

#include "admission/part_history_func.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace jacinthpond {

namespace {

/** Answers are counted in periods of this length. */
constexpr std::chrono::seconds Period = PartLifetime / 2;
/** Answers of two periods below which a part counts as rare. */
constexpr uint32_t MinBegun = 3;
/** Silence, in mean times between two answers, that is still usual; longer ones
 * come by chance less than once in a hundred times. */
constexpr int UsualSilence = 5;
/** Bounds of that silence, for few crashes and for many. */
constexpr Millis MaxSilence{2000};
constexpr Millis MaxSilenceAfterCrashes{500};
/** Crashes from which the shorter bound holds. */
constexpr size_t ManyCrashes = 3;
/** Maximum number of parts. */
constexpr size_t MaxParts = 8192;

/** Ends the period if it is over. */
void rollPeriod(PartRecord &One, TimePoint Now) {
  const Duration Age = Now - One.PeriodStart;
  if (Age < Period)
    return;
  One.Former = Age < 2 * Period ? One.Recent : 0;
  One.Recent = 0;
  One.PeriodStart = Age < 2 * Period ? One.PeriodStart + Period : Now;
}

/** Mean time between two answers; nothing for a rare part. */
std::optional<Duration> meanInterval(PartRecord One, TimePoint Now) {
  rollPeriod(One, Now);
  const uint32_t Count = One.Recent + One.Former;
  if (Count < MinBegun)
    return std::nullopt;
  const Duration Former = One.Former > 0 ? Duration(Period) : Duration{0};
  return (Former + (Now - One.PeriodStart)) / Count;
}

/** Drops the parts that are rare, so that there is room for others. */
void dropRareParts(PartHistory &History, TimePoint Now) {
  std::erase_if(History.Parts, [&](const auto &Row) {
    return !meanInterval(Row.second, Now);
  });
}

} // namespace

void recordBegun(PartHistory &History, const Digest &Part, TimePoint BegunAt,
                 TimePoint Now) {
  auto it = History.Parts.find(Part);
  if (it == History.Parts.end()) {
    if (History.Parts.size() >= MaxParts)
      dropRareParts(History, Now);
    if (History.Parts.size() >= MaxParts)
      return;
    it = History.Parts.emplace(Part, PartRecord{BegunAt, Now, 0, 0}).first;
  }
  PartRecord &One = it->second;
  rollPeriod(One, Now);
  ++One.Recent;
  One.LastBegun = std::max(One.LastBegun, BegunAt);
}

bool hasBegunSince(const PartHistory &History, const Digest &Part,
                   TimePoint Since) {
  const auto it = History.Parts.find(Part);
  return it != History.Parts.end() && it->second.LastBegun > Since;
}

bool isSilenceUsual(const PartHistory &History, const Digest &Part,
                    TimePoint Since, size_t Crashes, TimePoint Now) {
  const auto it = History.Parts.find(Part);
  if (it == History.Parts.end())
    return false;
  const auto Interval = meanInterval(it->second, Now);
  if (!Interval)
    return false;
  const Millis Bound =
      Crashes >= ManyCrashes ? MaxSilenceAfterCrashes : MaxSilence;
  return Now - Since <
         AnswerBegunAfter + std::min<Duration>(*Interval * UsualSilence, Bound);
}

} // namespace jacinthpond
