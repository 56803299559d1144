/** @file reading_type.h Prompts that a back end has yet to read (prefill). */

#ifndef JACINTHPOND_CORE_READING_TYPE_H
#define JACINTHPOND_CORE_READING_TYPE_H

#include "base/time_type.h"

namespace jacinthpond {

/** Prompts sent to a back end that it has not read yet, as the time that
 * reading (prefill) takes. */
struct PrefillQueue {
  double TokensPerSecond = 0; ///< Prefill rate; 0: unknown, no limit applies.
  Duration Backlog{0};        ///< Time to read the prompts, as of UpdatedAt.
  TimePoint UpdatedAt;        ///< When Backlog was computed.
};

} // namespace jacinthpond

#endif
