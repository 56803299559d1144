/** @file agent_metrics.h Counters and gauges of an agent. */

#ifndef JACINTHPOND_AGENT_AGENT_METRICS_H
#define JACINTHPOND_AGENT_AGENT_METRICS_H

#include "attempts/agent_type.h"
#include "metrics/metrics_page.h"

namespace jacinthpond {

/**
 * Gives an agent's counters and gauges for the metrics page.
 * @param Agent State to read them from.
 * @return The metric families; none has a workspace label.
 */
MetricFamilies agentMetricFamilies(const AgentState &Agent);

} // namespace jacinthpond

#endif
