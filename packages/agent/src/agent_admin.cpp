/** @file agent_admin.cpp HTTP server for the health and metrics of an agent. */

#include "agent_admin.h"

#include "agent_metrics.h"
#include "configuration/config_view_func.h"
#include "http/guarded_server.h"
#include "settings/resource_shares_func.h"
#include "threads/process.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Body of the answer to /v1/health. */
Json healthBody(const AgentState &State) {
  return {{"version", versionInForce(State.View).Value},
          {"back_end_up", State.BackEndUp},
          {"leaving", State.Stopping},
          {"running", State.Gate.Running},
          {"limit", State.Gate.Limit},
          {"weights", State.Weights.Loaded.Value}};
}

} // namespace

AgentAdmin::AgentAdmin(const Settings &Config, AgentShell &Agent)
    : ListenAddress(Config.AdminListen), Agent(Agent),
      Server(std::make_unique<GuardedServer>(
          adminLimits(resourceShares(Config, descriptorLimit())))) {
  Server->Get("/v1/health", [this](const auto &, auto &Answer) {
    Json Body;
    this->Agent.inspect(
        [&](const AgentState &State, TimePoint) { Body = healthBody(State); });
    Answer.set_content(Body.dump(), "application/json");
  });
  Server->Get("/metrics", [this](const auto &Request, auto &Answer) {
    MetricFamilies All = this->Agent.timings().collect();
    DocumentPtr Doc;
    this->Agent.inspect([&](const AgentState &State, TimePoint) {
      std::ranges::move(agentMetricFamilies(State), std::back_inserter(All));
      Doc = State.View.InForce;
    });
    Answer.set_content(
        metricsText(filterVisibleMetrics(
            All, Doc.get(), Request.get_header_value("Authorization"))),
        "text/plain; version=0.0.4");
  });
}

AgentAdmin::~AgentAdmin() { Server->drainAndStop(AcceptThread); }

std::string AgentAdmin::start() {
  return startServer(*Server, ListenAddress, AcceptThread);
}

} // namespace jacinthpond
