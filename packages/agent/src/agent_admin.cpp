/** @file agent_admin.cpp Health and metrics of an agent. */

#include "agent_admin.h"

#include "agent_metrics.h"
#include "configuration/config_view_func.h"
#include "http/guarded_server.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

Json healthOf(const AgentState &Agent) {
  return {{"version", versionInForce(Agent.View).Value},
          {"back_end_up", Agent.BackEndUp},
          {"leaving", Agent.Stopping},
          {"running", Agent.Gate.Running},
          {"limit", Agent.Gate.Limit},
          {"weights", Agent.Weights.Loaded.Value}};
}

} // namespace

AgentAdmin::AgentAdmin(const Settings &Config, AgentShell &Host)
    : At(Config.AdminListen), Host(Host),
      Server(std::make_unique<GuardedServer>(adminLimits())) {
  Server->Get("/v1/health", [this](const auto &, auto &Answer) {
    Json Body;
    this->Host.inspect(
        [&](const AgentState &Agent, TimePoint) { Body = healthOf(Agent); });
    Answer.set_content(Body.dump(), "application/json");
  });
  Server->Get("/metrics", [this](const auto &Asked, auto &Answer) {
    MetricFamilies All = this->Host.timings().collect();
    DocumentPtr Doc;
    this->Host.inspect([&](const AgentState &Agent, TimePoint) {
      std::ranges::move(agentFamilies(Agent), std::back_inserter(All));
      Doc = Agent.View.InForce;
    });
    Answer.set_content(
        metricsText(
            visibleTo(All, Doc.get(), Asked.get_header_value("Authorization"))),
        "text/plain; version=0.0.4");
  });
}

AgentAdmin::~AgentAdmin() { Server->finish(Accepting); }

std::string AgentAdmin::start() { return startServer(*Server, At, Accepting); }

} // namespace jacinthpond
