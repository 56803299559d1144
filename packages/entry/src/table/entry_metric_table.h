/** @file table/entry_metric_table.h One row for each plain counter. */

#ifndef JACINTHPOND_ENTRY_TABLE_ENTRY_METRIC_TABLE_H
#define JACINTHPOND_ENTRY_TABLE_ENTRY_METRIC_TABLE_H

#include "attempts/entry_type.h"
#include "metrics/metrics_page.h"

#include <array>

namespace jacinthpond {

/** Where a counter of the page comes from. */
struct EntryCounterSpec {
  MetricSpec Spec;                  ///< Name and help.
  uint64_t EntryCounters::*Counter; ///< The counter.
};

inline const std::array EntryCounterTable = {
    EntryCounterSpec{{"jacinthpond_requests_total", "Requests taken."},
                     &EntryCounters::Calls},
    EntryCounterSpec{{"jacinthpond_retries_total", "Attempts after the first."},
                     &EntryCounters::Retries},
    EntryCounterSpec{
        {"jacinthpond_resumes_total", "Answers gone on with elsewhere."},
        &EntryCounters::Resumes},
    EntryCounterSpec{{"jacinthpond_dropped_frames_total",
                      "Late, crossed or repeated frames."},
                     &EntryCounters::DroppedFrames},
};

} // namespace jacinthpond

#endif
