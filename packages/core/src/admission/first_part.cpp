/** @file first_part.cpp Time until the first part of an answer comes. */

#include "admission/first_part_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Weight of what was seen so far against a new time: about one batch of an
 * engine. */
constexpr int OldWeight = 15;

Duration mean(Duration Old, Duration New) {
  return (Old * OldWeight + New) / (OldWeight + 1);
}

} // namespace

void firstPartSeen(FirstPartTime &Time, Duration Took, Duration Reading) {
  const Duration Rest = std::max(Took - Reading, Duration{0});
  if (Time.Seen++ == 0) {
    Time.Usual = Rest;
    return;
  }
  const Duration Off =
      Rest > Time.Usual ? Rest - Time.Usual : Time.Usual - Rest;
  Time.Spread = mean(Time.Spread, Off);
  Time.Usual = mean(Time.Usual, Rest);
}

Duration firstPartAfter(const FirstPartTime &Time, Duration Reading) {
  return Reading + Time.Usual + Time.Spread;
}

} // namespace jacinthpond
