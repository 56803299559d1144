/** @file table/entry_metric_table.h Metrics that are single counters. */

#ifndef JACINTHPOND_ENTRY_TABLE_ENTRY_METRIC_TABLE_H
#define JACINTHPOND_ENTRY_TABLE_ENTRY_METRIC_TABLE_H

#include "attempts/entry_type.h"
#include "metrics/metrics_page.h"

#include <array>

namespace jacinthpond {

/** A metric and the member of EntryCounters that it shows. */
struct EntryCounterSpec {
  MetricSpec Spec;                  ///< Name and help text.
  uint64_t EntryCounters::*Counter; ///< The counter.
};

/** One row for each counter without labels. */
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
