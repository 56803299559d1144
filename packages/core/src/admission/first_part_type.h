/** @file first_part_type.h Time until the first part of an answer comes. */

#ifndef JACINTHPOND_CORE_FIRST_PART_TYPE_H
#define JACINTHPOND_CORE_FIRST_PART_TYPE_H

#include "base/time_type.h"

#include <cstdint>

namespace jacinthpond {

/** What was seen of first parts at one back end, beyond the time for reading.
 */
struct FirstPartTime {
  Duration Usual{0};  ///< Running mean.
  Duration Spread{0}; ///< Running mean of the distance from it.
  uint32_t Seen = 0;  ///< First parts that were told of.
};

} // namespace jacinthpond

#endif
