/** @file token_pace.cpp Time between tokens, used to detect a cold engine. */

#include "admission/token_pace_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Multiple of the warm gap from which a gap indicates a cold back end. */
constexpr int ColdFactor = 4;
/** Gaps up to this are within the usual target and never indicate one. */
constexpr Millis MinColdGap{40};
/** Weight of the old average against a new median's 1. */
constexpr int OldWeight = 7;

/** Gives the median of the recent gaps. */
Duration medianGap(const TokenPace &Pace) {
  auto Sorted = Pace.Recent;
  const auto Middle = Sorted.begin() + PaceWindow / 2;
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

} // namespace

void recordGap(TokenPace &Pace, Duration Gap, bool AtWarmLimit) {
  Pace.Recent.at(Pace.Seen % PaceWindow) = Gap;
  ++Pace.Seen;
  const bool IsWindowComplete = Pace.Seen % PaceWindow == 0;
  if (!IsWindowComplete || !AtWarmLimit || isLikelyCold(Pace))
    return;
  const Duration Median = medianGap(Pace);
  Pace.WarmGap = Pace.WarmGap.count() == 0
                     ? Median
                     : (Pace.WarmGap * OldWeight + Median) / (OldWeight + 1);
}

void clearGaps(TokenPace &Pace) { Pace.Seen = 0; }

bool isFarAboveWarm(const TokenPace &Pace, Duration Gap) {
  return Pace.WarmGap.count() > 0 && Gap > Pace.WarmGap * ColdFactor &&
         Gap > MinColdGap;
}

bool isLikelyCold(const TokenPace &Pace) {
  // The median reflects the back end as a whole: one slow answer or a short
  // stall of this process does not change it.
  return Pace.Seen >= PaceWindow && isFarAboveWarm(Pace, medianGap(Pace));
}

} // namespace jacinthpond
