/** @file first_part_type.h Time until the first part of an answer arrives. */

#ifndef JACINTHPOND_CORE_FIRST_PART_TYPE_H
#define JACINTHPOND_CORE_FIRST_PART_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace jacinthpond {

/** Statistics of the time to the first part of an answer at one back end,
 * without the time for reading prompts. */
struct FirstPartTime {
  Duration MeanTime{0};      ///< Moving average.
  Duration MeanDeviation{0}; ///< Moving average of the distance from MeanTime.
  uint32_t SampleCount = 0;  ///< Times recorded so far.
};

} // namespace jacinthpond

#endif
