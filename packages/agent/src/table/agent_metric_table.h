/** @file table/agent_metric_table.h One row for each plain counter. */

#ifndef JACINTHPOND_AGENT_TABLE_AGENT_METRIC_TABLE_H
#define JACINTHPOND_AGENT_TABLE_AGENT_METRIC_TABLE_H

#include "agent_type.h"
#include "metrics/metrics_page.h"

#include <array>

namespace jacinthpond {

/** Where a counter of the page comes from. */
struct AgentCounterSpec {
  MetricSpec Spec;                  ///< Name and help.
  uint64_t AgentCounters::*Counter; ///< The counter.
};

inline const std::array AgentCounterTable = {
    AgentCounterSpec{
        {"jacinthpond_agent_started_total", "Attempts given to the back end."},
        &AgentCounters::Started},
    AgentCounterSpec{
        {"jacinthpond_agent_completed_total", "Attempts answered whole."},
        &AgentCounters::Completed},
    AgentCounterSpec{{"jacinthpond_agent_key_repeats_total",
                      "Repeats answered from a key's record."},
                     &AgentCounters::KeyRepeats},
};

} // namespace jacinthpond

#endif
