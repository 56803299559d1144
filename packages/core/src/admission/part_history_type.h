/** @file part_history_type.h Parts of prompts with which answers were begun. */

#ifndef JACINTHPOND_CORE_PART_HISTORY_TYPE_H
#define JACINTHPOND_CORE_PART_HISTORY_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <map>

namespace jacinthpond {

/** Answers to requests with one part that began, and went on. */
struct PartRecord {
  TimePoint LastBegun;   ///< Begin of the latest one.
  TimePoint PeriodStart; ///< Begin of the current period.
  uint32_t Recent = 0;   ///< Answers in the current period.
  uint32_t Former = 0;   ///< Answers in the period before.
};

/** What this process saw of parts lately. */
struct PartHistory {
  std::map<Digest, PartRecord> Parts; ///< By digest of the part.
};

} // namespace jacinthpond

#endif
