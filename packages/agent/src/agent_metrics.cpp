/** @file agent_metrics.cpp Counters and gauges of an agent. */

#include "agent_metrics.h"

#include "configuration/config_view_func.h"
#include "table/agent_metric_table.h"

namespace jacinthpond {

using prometheus::MetricType;

namespace {

std::vector<LabelledValue> one(double Value) { return {{{}, Value}}; }

void addWork(MetricFamilies &Into, const AgentState &Agent) {
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_running", "Requests in the back end."},
            one(Agent.Gate.Running));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_limit", "Requests that it may have now."},
            one(Agent.Gate.Limit));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_rate_limit",
             "Requests a second that the back end takes; -1: no limit."},
            one(Agent.Rate.PerSecond.value_or(-1)));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_waiting", "Requests that wait in the agent."},
            one(Agent.Fleet.Load.Waiting));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_back_end_up", "1: the back end answers."},
            one(Agent.BackEndUp ? 1 : 0));
}

void addWeights(MetricFamilies &Into, const AgentState &Agent) {
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_chunks_held",
             "Chunks of the wanted weights that are here."},
            one(Agent.Fleet.Load.ChunksHeld));
  addFamily(
      Into, MetricType::Gauge,
      {"jacinthpond_agent_chunks_wanted", "Chunks of the wanted weights."},
      one(Agent.Fleet.Load.ChunksWanted));
  addFamily(Into, MetricType::Gauge,
            {"jacinthpond_agent_chunk_bytes_per_second",
             "Rate at which chunks arrive."},
            one(static_cast<double>(Agent.Fleet.Load.BytesPerSecond)));
  for (const TransferCounterSpec &Row : TransferCounterTable)
    addFamily(Into, MetricType::Counter, Row.Spec,
              one(static_cast<double>(Agent.Transfer.Counters.*Row.Counter)));
  addFamily(Into, MetricType::Counter,
            {"jacinthpond_agent_load_orders_total",
             "Load orders given to the engine."},
            one(static_cast<double>(Agent.Weights.OrdersGiven)));
}

} // namespace

MetricFamilies agentFamilies(const AgentState &Agent) {
  MetricFamilies All;
  for (const AgentCounterSpec &Row : AgentCounterTable)
    addFamily(All, MetricType::Counter, Row.Spec,
              one(static_cast<double>(Agent.Counters.*Row.Counter)));
  addErrorCounts(
      All, {"jacinthpond_agent_refused_total", "Attempts refused or failed."},
      Agent.Counters.Refused);
  addWork(All, Agent);
  addWeights(All, Agent);
  addFamily(All, MetricType::Gauge,
            {"jacinthpond_config_version", "Version in force; 0: none."},
            one(static_cast<double>(versionInForce(Agent.View).Value)));
  return All;
}

} // namespace jacinthpond
