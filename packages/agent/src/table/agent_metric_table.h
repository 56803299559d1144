/** @file table/agent_metric_table.h Metric names of the agent's counters. */

#ifndef JACINTHPOND_AGENT_TABLE_AGENT_METRIC_TABLE_H
#define JACINTHPOND_AGENT_TABLE_AGENT_METRIC_TABLE_H

#include "attempts/agent_type.h"
#include "metrics/metrics_page.h"

#include <array>

namespace jacinthpond {

/** A counter of requests on the metrics page. */
struct AgentCounterSpec {
  MetricSpec Spec;                  ///< Name and help.
  uint64_t AgentCounters::*Counter; ///< Member that holds its value.
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
    AgentCounterSpec{{"jacinthpond_agent_pauses_total",
                      "Pauses that the back end asked for with Retry-After."},
                     &AgentCounters::Pauses},
};

/** A counter of chunk transfers on the metrics page. */
struct TransferCounterSpec {
  MetricSpec Spec;                     ///< Name and help.
  uint64_t TransferCounters::*Counter; ///< Member that holds its value.
};

inline const std::array TransferCounterTable = {
    TransferCounterSpec{{"jacinthpond_agent_origin_bytes_total",
                         "Good chunks drawn from the origin."},
                        &TransferCounters::BytesFromOrigin},
    TransferCounterSpec{{"jacinthpond_agent_peer_bytes_total",
                         "Good chunks from agents of the same domain."},
                        &TransferCounters::BytesFromPeers},
    TransferCounterSpec{{"jacinthpond_agent_across_bytes_total",
                         "Good chunks from agents of other domains."},
                        &TransferCounters::BytesFromOtherDomains},
    TransferCounterSpec{
        {"jacinthpond_agent_sent_bytes_total", "Chunks sent to other agents."},
        &TransferCounters::BytesSent},
    TransferCounterSpec{{"jacinthpond_agent_bad_chunks_total",
                         "Chunks that failed their check."},
                        &TransferCounters::BadChunks},
    TransferCounterSpec{
        {"jacinthpond_agent_repeated_chunks_total", "Chunks that came twice."},
        &TransferCounters::Repeated},
    TransferCounterSpec{{"jacinthpond_agent_stalled_peers_total",
                         "Agents whose chunks stayed out."},
                        &TransferCounters::Stalls},
};

} // namespace jacinthpond

#endif
