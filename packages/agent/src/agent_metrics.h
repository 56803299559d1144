/** @file agent_metrics.h Counters and gauges of an agent. */

#ifndef JACINTHPOND_AGENT_AGENT_METRICS_H
#define JACINTHPOND_AGENT_AGENT_METRICS_H

#include "attempts/agent_type.h"
#include "metrics/metrics_page.h"

namespace jacinthpond {

/**
 * Reads the counters out of the state.
 * @param Agent The state.
 * @return Families for the page; none names a tenant.
 */
MetricFamilies agentFamilies(const AgentState &Agent);

} // namespace jacinthpond

#endif
