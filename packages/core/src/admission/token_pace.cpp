/** @file token_pace.cpp Time between tokens, as a sign of a cold engine. */

#include "admission/token_pace_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** A gap this many times the warm one is a sign of a cold back end. */
constexpr int ColdFactor = 4;
/** Gaps below this are never a sign: within the usual target. */
constexpr Millis SmallestColdGap{40};
/** Weight of the figure so far against a new one. */
constexpr int OldWeight = 7;

Duration medianGap(const TokenPace &Pace) {
  auto Sorted = Pace.Recent;
  const auto Middle = Sorted.begin() + PaceWindow / 2;
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  return *Middle;
}

} // namespace

void gapSeen(TokenPace &Pace, Duration Gap, bool AtWarmLimit) {
  Pace.Recent.at(Pace.Seen % PaceWindow) = Gap;
  ++Pace.Seen;
  const bool WholeWindow = Pace.Seen % PaceWindow == 0;
  if (!WholeWindow || !AtWarmLimit || looksCold(Pace))
    return;
  const Duration Median = medianGap(Pace);
  Pace.Warm = Pace.Warm.count() == 0
                  ? Median
                  : (Pace.Warm * OldWeight + Median) / (OldWeight + 1);
}

void forgetGaps(TokenPace &Pace) { Pace.Seen = 0; }

bool farOverWarm(const TokenPace &Pace, Duration Gap) {
  return Pace.Warm.count() > 0 && Gap > Pace.Warm * ColdFactor &&
         Gap > SmallestColdGap;
}

bool looksCold(const TokenPace &Pace) {
  // The median stands for the back end as a whole: a single long answer or a
  // short stall of this process does not count.
  return Pace.Seen >= PaceWindow && farOverWarm(Pace, medianGap(Pace));
}

} // namespace jacinthpond
