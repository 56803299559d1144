/** @file admin_api.cpp Administration API of an entry. */

#include "admin_api.h"

#include "configuration/config_view_func.h"
#include "configuration/document_change_func.h"
#include "configuration/document_func.h"
#include "configuration/reader_rank_func.h"
#include "entry_metrics.h"
#include "http/guarded_server.h"
#include "log/log.h"
#include "membership/join_func.h"
#include "status/status_func.h"
#include "status/team_access_func.h"
#include "status_json.h"
#include "weights_health.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

constexpr std::array<const char *, static_cast<size_t>(AccessRefusal::Count)>
    AccessRefusalNames = {"no_token", "wrong_token", "other_team"};

/** What a health check may know without a token. */
Json healthOf(const EntryState &Entry) {
  const auto Ready =
      std::ranges::count_if(Entry.Fleet.Links, [](const auto &Row) {
        const PeerLink &Link = Row.second;
        return Link.State == LinkState::Ready &&
               Link.Peer.Sender == Role::Agent && takesWork(Link.Load);
      });
  const auto Behind =
      std::ranges::count_if(Entry.Fleet.Links, [&](const auto &Row) {
        return Row.second.State == LinkState::Ready &&
               Row.second.Version < versionInForce(Entry.View);
      });
  return {{"fresh", viewIsFresh(Entry.Fleet)},
          {"links", Entry.Fleet.Links.size()},
          {"links_behind", Behind},
          {"reader", isReader(Entry.View, Entry.Fleet)},
          {"version", versionInForce(Entry.View).Value},
          {"ready_workers", Ready},
          {"leaving", Entry.Stopping},
          {"weights", weightsHealth(Entry)},
          {"open_calls", Entry.Calls.size()}};
}

void reply(httplib::Response &Answer, const Json &Body) {
  Answer.set_content(Body.dump(-1, ' ', false, Json::error_handler_t::replace),
                     "application/json");
}

/** Narrows a view to the class or tenant that the reader named. */
Result<TeamAccess> narrow(TeamAccess Access, const httplib::Request &Asked) {
  if (Asked.has_param("class")) {
    const ClassName Class{Asked.get_param_value("class")};
    if (!seesClass(Access, Class))
      return fail(ErrorKind::Forbidden, "class of another team");
    Access.Operator = false;
    Access.Classes = {Class};
  }
  if (Asked.has_param("tenant")) {
    const TenantName Tenant{Asked.get_param_value("tenant")};
    if (!seesTenant(Access, Tenant))
      return fail(ErrorKind::Forbidden, "tenant of another team");
    Access.Tenants = {Tenant};
  }
  return Access;
}

} // namespace

AdminApi::AdminApi(const Settings &Config, EntryShell &Host)
    : At(Config.AdminListen), Host(Host),
      Server(std::make_unique<GuardedServer>(adminLimits())) {
  addOpenPaths();
  addView("/v1/status", statusJson, false);
  addView("/v1/domains", domainsJson, false);
  addView("/v1/workers", workersJson, false);
  // Both tell of hosts and faults of all teams.
  addView("/v1/config", configJson, true);
  addView("/v1/refusals", refusalsJson, true);
  addCheck();
}

void AdminApi::addOpenPaths() {
  Server->Get("/v1/health", [this](const auto &, auto &Answer) {
    Json Body;
    Host.inspect(
        [&](const EntryState &Entry, TimePoint) { Body = healthOf(Entry); });
    reply(Answer, Body);
  });
  Server->Get("/metrics", [this](const auto &Asked, auto &Answer) {
    MetricFamilies All = Host.timings().collect();
    Host.inspect([&](const EntryState &Entry, TimePoint Now) {
      std::ranges::move(entryFamilies(Entry, Now), std::back_inserter(All));
    });
    addRefusals(All);
    if (const Forwarder *Routes = Host.routes())
      std::ranges::move(routeFamilies(*Routes), std::back_inserter(All));
    const DocumentPtr Doc = Host.document();
    Answer.set_content(
        metricsText(
            visibleTo(All, Doc.get(), Asked.get_header_value("Authorization"))),
        "text/plain; version=0.0.4");
  });
}

void AdminApi::addView(const char *Path, View Show, bool OperatorsOnly) {
  Server->Get(Path, forTeam(Path, OperatorsOnly,
                            [this, Show](const TeamAccess &Access, const auto &,
                                         auto &Answer) {
                              FleetStatus Status;
                              Host.inspect(
                                  [&](const EntryState &Entry, TimePoint Now) {
                                    Status = fleetStatus(Entry, Access, Now);
                                  });
                              reply(Answer, Show(Status));
                            }));
}

void AdminApi::addCheck() {
  const char *Path = "/v1/check";
  Server->Post(
      Path,
      forTeam(Path, true,
              [this](const TeamAccess &, const auto &Asked, auto &Answer) {
                const auto Read =
                    outcomeOf([&] { return parseDocument(Asked.body); });
                if (!Read.Value) {
                  writeError(Answer, Read.Why, Ran::No, {});
                  return;
                }
                const DocumentPtr InForce = Host.document();
                reply(Answer,
                      changeJson(changeOf(InForce.get(), **Read.Value)));
              }));
}

Result<TeamAccess> AdminApi::accessFor(const httplib::Request &Asked,
                                       bool OperatorsOnly) {
  const DocumentPtr Doc = Host.document();
  BOOST_LEAF_AUTO(Access,
                  accessOf(Doc.get(), Asked.get_header_value("Authorization")));
  if (OperatorsOnly && !Access.Operator)
    return fail(ErrorKind::Forbidden, "for operators");
  return narrow(std::move(Access), Asked);
}

AdminApi::Work AdminApi::forTeam(
    const char *Path, bool OperatorsOnly,
    std::function<void(const TeamAccess &, const httplib::Request &,
                       httplib::Response &)>
        Then) {
  return [this, Path, OperatorsOnly, Then = std::move(Then)](
             const httplib::Request &Asked, httplib::Response &Answer) {
    const auto Access =
        outcomeOf([&] { return accessFor(Asked, OperatorsOnly); });
    if (Access.Value) {
      Then(*Access.Value, Asked, Answer);
      return;
    }
    countRefusal(Asked, Access.Why.Kind);
    // Neither header nor query is written: a token may stand in both.
    logLine(LogPart::Admin, LogLevel::Warn,
            "Refused " + std::string(Path) + " to " + Asked.remote_addr + ": " +
                answerFor(Access.Why.Kind).Name + ".");
    writeError(Answer, Access.Why, Ran::No, {});
  };
}

void AdminApi::countRefusal(const httplib::Request &Asked, ErrorKind Kind) {
  if (Kind != ErrorKind::Unauthorized && Kind != ErrorKind::Forbidden)
    return;
  AccessRefusal Cause = AccessRefusal::OtherTeam;
  if (Kind == ErrorKind::Unauthorized)
    Cause = Asked.has_header("Authorization") ? AccessRefusal::WrongToken
                                              : AccessRefusal::NoToken;
  ++Refused.at(static_cast<size_t>(Cause));
}

void AdminApi::addRefusals(MetricFamilies &Into) const {
  std::vector<LabelledValue> Values(Refused.size());
  for (size_t n = 0; n < Refused.size(); ++n)
    Values[n] = {{{"cause", AccessRefusalNames.at(n)}},
                 static_cast<double>(Refused.at(n).load())};
  addFamily(Into, prometheus::MetricType::Counter,
            {"jacinthpond_admin_refused_total",
             "Readers turned away by the administration API."},
            Values);
}

AdminApi::~AdminApi() { Server->finish(Accepting); }

std::string AdminApi::start() { return startServer(*Server, At, Accepting); }

} // namespace jacinthpond
