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
#include "settings/resource_shares_func.h"
#include "status/status_func.h"
#include "status/team_access_func.h"
#include "status_json.h"
#include "threads/process.h"
#include "weights_health.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Label values of the causes, in the order of AccessRefusal. */
constexpr std::array<const char *, static_cast<size_t>(AccessRefusal::Count)>
    AccessRefusalNames = {"no_token", "wrong_token", "other_team"};

/** Builds the answer of /v1/health; it holds only what needs no token. */
Json healthJson(const EntryState &Entry) {
  const auto Ready =
      std::ranges::count_if(Entry.Fleet.Links, [](const auto &Row) {
        const PeerLink &Link = Row.second;
        return Link.State == LinkState::Ready &&
               Link.Peer.Sender == Role::Agent && canTakeWork(Link.Load);
      });
  const auto Behind =
      std::ranges::count_if(Entry.Fleet.Links, [&](const auto &Row) {
        return Row.second.State == LinkState::Ready &&
               Row.second.Version < versionInForce(Entry.View);
      });
  return {{"fresh", isViewFresh(Entry.Fleet)},
          {"links", Entry.Fleet.Links.size()},
          {"links_behind", Behind},
          {"reader", isReader(Entry.View, Entry.Fleet)},
          {"version", versionInForce(Entry.View).Value},
          {"ready_workers", Ready},
          {"leaving", Entry.Stopping},
          {"weights", weightsHealth(Entry)},
          {"open_calls", Entry.Calls.size()}};
}

/** Answers with JSON; replaces bytes that are not valid UTF-8. */
void sendJson(httplib::Response &Res, const Json &Body) {
  Res.set_content(Body.dump(-1, ' ', false, Json::error_handler_t::replace),
                  "application/json");
}

/** Restricts the access to the class and the workspace in the query, if any.
 * @return The access; Forbidden for those of another team. */
Result<TeamAccess> narrowAccess(TeamAccess Access,
                                const httplib::Request &Req) {
  if (Req.has_param("class")) {
    const ClassName Class{Req.get_param_value("class")};
    if (!canSeeClass(Access, Class))
      return fail(ErrorKind::Forbidden, "class of another team");
    Access.Operator = false;
    Access.Classes = {Class};
  }
  if (Req.has_param("tenant")) {
    const WorkspaceName Workspace{Req.get_param_value("tenant")};
    if (!canSeeWorkspace(Access, Workspace))
      return fail(ErrorKind::Forbidden, "tenant of another team");
    Access.Workspaces = {Workspace};
  }
  return Access;
}

} // namespace

AdminApi::AdminApi(const Settings &Config, EntryShell &Shell)
    : ListenAddress(Config.AdminListen), Shell(Shell),
      Server(std::make_unique<GuardedServer>(
          adminLimits(resourceShares(Config, descriptorLimit())))) {
  addPublicPaths();
  addStatusPath("/v1/status", statusJson, false);
  addStatusPath("/v1/domains", domainsJson, false);
  addStatusPath("/v1/workers", workersJson, false);
  // Both show hosts and errors of all teams.
  addStatusPath("/v1/config", configJson, true);
  addStatusPath("/v1/refusals", refusalsJson, true);
  addCheckPath();
}

void AdminApi::addPublicPaths() {
  Server->Get("/v1/health", [this](const auto &, auto &Res) {
    Json Body;
    Shell.inspect(
        [&](const EntryState &Entry, TimePoint) { Body = healthJson(Entry); });
    sendJson(Res, Body);
  });
  Server->Get("/metrics", [this](const auto &Req, auto &Res) {
    MetricFamilies All = Shell.timings().collect();
    Shell.inspect([&](const EntryState &Entry, TimePoint Now) {
      std::ranges::move(entryMetrics(Entry, Now), std::back_inserter(All));
    });
    addRefusalCounts(All);
    if (const Forwarder *Routes = Shell.routes())
      std::ranges::move(routeMetrics(*Routes), std::back_inserter(All));
    const DocumentPtr Doc = Shell.document();
    Res.set_content(metricsText(filterVisibleMetrics(
                        All, Doc.get(), Req.get_header_value("Authorization"))),
                    "text/plain; version=0.0.4");
  });
}

void AdminApi::addStatusPath(const char *Path, StatusFormat Format,
                             bool OperatorsOnly) {
  Server->Get(Path, requireAccess(Path, OperatorsOnly,
                                  [this, Format](const TeamAccess &Access,
                                                 const auto &, auto &Res) {
                                    FleetStatus Status;
                                    Shell.inspect([&](const EntryState &Entry,
                                                      TimePoint Now) {
                                      Status = fleetStatus(Entry, Access, Now);
                                    });
                                    sendJson(Res, Format(Status));
                                  }));
}

void AdminApi::addCheckPath() {
  const char *Path = "/v1/check";
  Server->Post(
      Path,
      requireAccess(Path, true,
                    [this](const TeamAccess &, const auto &Req, auto &Res) {
                      const auto Candidate =
                          outcomeOf([&] { return parseDocument(Req.body); });
                      if (!Candidate.Value) {
                        writeError(Res, Candidate.Why, Ran::No, {});
                        return;
                      }
                      const DocumentPtr InForce = Shell.document();
                      sendJson(Res, changeJson(compareDocuments(
                                        InForce.get(), **Candidate.Value)));
                    }));
}

Result<TeamAccess> AdminApi::authorizeRequest(const httplib::Request &Req,
                                              bool OperatorsOnly) {
  const DocumentPtr Doc = Shell.document();
  BOOST_LEAF_AUTO(Access, authenticateTeam(Doc.get(), Req.get_header_value(
                                                          "Authorization")));
  if (OperatorsOnly && !Access.Operator)
    return fail(ErrorKind::Forbidden, "for operators");
  return narrowAccess(std::move(Access), Req);
}

AdminApi::RequestHandler AdminApi::requireAccess(
    const char *Path, bool OperatorsOnly,
    std::function<void(const TeamAccess &, const httplib::Request &,
                       httplib::Response &)>
        Handler) {
  return [this, Path, OperatorsOnly, Handler = std::move(Handler)](
             const httplib::Request &Req, httplib::Response &Res) {
    const auto Access =
        outcomeOf([&] { return authorizeRequest(Req, OperatorsOnly); });
    if (Access.Value) {
      Handler(*Access.Value, Req, Res);
      return;
    }
    countRefusal(Req, Access.Why.Kind);
    // Neither headers nor query are logged: both can contain a token.
    logLine(LogPart::Admin, LogLevel::Warn,
            "Refused " + std::string(Path) + " to " + Req.remote_addr + ": " +
                errorAnswerFor(Access.Why.Kind).Name + ".");
    writeError(Res, Access.Why, Ran::No, {});
  };
}

void AdminApi::countRefusal(const httplib::Request &Req, ErrorKind Kind) {
  if (Kind != ErrorKind::Unauthorized && Kind != ErrorKind::Forbidden)
    return;
  AccessRefusal Cause = AccessRefusal::OtherTeam;
  if (Kind == ErrorKind::Unauthorized)
    Cause = Req.has_header("Authorization") ? AccessRefusal::WrongToken
                                            : AccessRefusal::NoToken;
  ++RefusalCounts.at(static_cast<size_t>(Cause));
}

void AdminApi::addRefusalCounts(MetricFamilies &Into) const {
  std::vector<LabelledValue> Values(RefusalCounts.size());
  for (size_t n = 0; n < RefusalCounts.size(); ++n)
    Values[n] = {{{"cause", AccessRefusalNames.at(n)}},
                 static_cast<double>(RefusalCounts.at(n).load())};
  addFamily(Into, prometheus::MetricType::Counter,
            {"jacinthpond_admin_refused_total",
             "Readers turned away by the administration API."},
            Values);
}

AdminApi::~AdminApi() { Server->drainAndStop(AcceptThread); }

std::string AdminApi::start() {
  return startServer(*Server, ListenAddress, AcceptThread);
}

} // namespace jacinthpond
