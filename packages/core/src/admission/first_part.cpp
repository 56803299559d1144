/** @file first_part.cpp Time until the first part of an answer arrives. */

#include "admission/first_part_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Weight of the old average against a new sample's 1: the average follows
 * about one batch of an engine. */
constexpr int OldWeight = 15;

/** Adds a sample to a moving average. */
Duration movingAverage(Duration Old, Duration New) {
  return (Old * OldWeight + New) / (OldWeight + 1);
}

} // namespace

void recordFirstPart(FirstPartTime &Time, Duration Took, Duration Reading) {
  const Duration Rest = std::max(Took - Reading, Duration{0});
  if (Time.SampleCount++ == 0) {
    Time.MeanTime = Rest;
    return;
  }
  const Duration Off =
      Rest > Time.MeanTime ? Rest - Time.MeanTime : Time.MeanTime - Rest;
  Time.MeanDeviation = movingAverage(Time.MeanDeviation, Off);
  Time.MeanTime = movingAverage(Time.MeanTime, Rest);
}

Duration expectedFirstPartTime(const FirstPartTime &Time, Duration Reading) {
  return Reading + Time.MeanTime + Time.MeanDeviation;
}

} // namespace jacinthpond
