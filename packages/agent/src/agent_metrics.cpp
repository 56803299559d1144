/** @file agent_metrics.cpp Counters and gauges of an agent. */

#include "agent_metrics.h"

#include "configuration/config_view_func.h"
#include "table/agent_metric_table.h"

namespace jacinthpond {

using prometheus::MetricType;

namespace {

/** A single sample without labels. */
std::vector<LabelledValue> unlabelledValue(double Value) {
  return {{{}, Value}};
}

/** Adds the gauges of request slots and of the back end. */
void addRequestGauges(MetricFamilies &Into, const AgentState &Agent) {
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_running", "Requests in the back end."},
            unlabelledValue(Agent.Gate.Running));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_limit", "Requests that it may have now."},
            unlabelledValue(Agent.Gate.Limit));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_rate_limit",
             "Requests a second that the back end takes; -1: no limit."},
            unlabelledValue(Agent.Rate.PerSecond.value_or(-1)));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_waiting", "Requests that wait in the agent."},
            unlabelledValue(Agent.Fleet.Load.Waiting));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_back_end_up", "1: the back end answers."},
            unlabelledValue(Agent.BackEndUp ? 1 : 0));
}

/** Adds the gauges and counters of weight transfers and loads. */
void addWeightMetrics(MetricFamilies &Into, const AgentState &Agent) {
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_chunks_held",
             "Chunks of the wanted weights that are here."},
            unlabelledValue(Agent.Fleet.Load.ChunksHeld));
  addFamily(
      Into, MetricType::Gauge,
      {"jacinthpond_agent_chunks_wanted", "Chunks of the wanted weights."},
      unlabelledValue(Agent.Fleet.Load.ChunksWanted));
  addFamily(
      Into, MetricType::Gauge,
      {"jacinthpond_agent_weights_wait_seconds",
       "Time for which the wanted weights are known and not loaded; 0: they "
       "are loaded."},
      unlabelledValue(
          std::chrono::duration<double>(Agent.Rollout.WaitingFor).count()));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_failed_load_orders",
             "Load orders that failed since the last one that succeeded."},
            unlabelledValue(Agent.Weights.FailedOrders));
  addFamily(
      Into, MetricType::Gauge,
      {"jacinthpond_agent_chunk_bytes_per_second",
       "Rate at which chunks arrive."},
      unlabelledValue(static_cast<double>(Agent.Fleet.Load.BytesPerSecond)));
  for (const TransferCounterSpec &Row : TransferCounterTable)
    addFamily(Into, MetricType::Counter, Row.Spec,
              unlabelledValue(
                  static_cast<double>(Agent.Transfer.Counters.*Row.Counter)));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_agent_load_orders_total",
             "Load orders given to the engine."},
            unlabelledValue(static_cast<double>(Agent.Weights.OrdersSent)));
}

} // namespace

MetricFamilies agentMetricFamilies(const AgentState &Agent) {
  MetricFamilies All;
  for (const AgentCounterSpec &Row : AgentCounterTable)
    addFamily(
        All, MetricType::Counter, Row.Spec,
        unlabelledValue(static_cast<double>(Agent.Counters.*Row.Counter)));
  addErrorCounts(
      All, {"jacinthpond_agent_refused_total", "Attempts refused or failed."},
      Agent.Counters.Refused);
  addRequestGauges(All, Agent);
  addWeightMetrics(All, Agent);
  addFamily(
      All, MetricType::Gauge,
      {"jacinthpond_config_version", "Version in force; 0: none."},
      unlabelledValue(static_cast<double>(versionInForce(Agent.View).Value)));
  return All;
}

} // namespace jacinthpond
