/** @file reading_type.h Prompts that a back end has to read. */

#ifndef JACINTHPOND_CORE_READING_TYPE_H
#define JACINTHPOND_CORE_READING_TYPE_H

#include "base/time_type.h"

namespace jacinthpond {

/** Prompts given to a back end and not read yet, as time that reading takes. */
struct ReadingDebt {
  double TokensPerSecond = 0; ///< Rate of reading; 0: not known, no bound.
  Duration Owed{0};           ///< Time to read what was given, as of At.
  TimePoint At;               ///< When Owed was worked out.
};

} // namespace jacinthpond

#endif
