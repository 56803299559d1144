/** @file team_access_test.cpp Access of teams by token, and to the metrics
 * page.
 */
// Labels: product

#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "metrics/metrics_page.h"
#include "metrics/traffic_metrics.h"
#include "status/team_access_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** A document with an operator team and one that may see workspace huts only.
 */
DocumentPtr documentWithTwoTeams() {
  const std::string Text =
      R"({"version": 1, "models": [], "classes": [
            {"name": "bookings", "service": "slots"},
            {"name": "ledgers", "service": "books"}],
          "tenants": [{"name": "huts"}, {"name": "clubs"}],
          "teams": [
            {"name": "ops", "operator": true, "token_sha256": ")" +
      sha256("ops-token").Value +
      R"("}, {"name": "huts", "classes": ["bookings"], "tenants": ["huts"],
              "token_sha256": ")" +
      sha256("huts-token").Value + R"("}]})";
  const auto Read = outcomeOf([&] { return parseDocument(Text); });
  BOOST_REQUIRE(Read.Value);
  return *Read.Value;
}

} // namespace

BOOST_AUTO_TEST_CASE(OnlyAValidTokenGrantsAccess) {
  const DocumentPtr Doc = documentWithTwoTeams();
  struct Case {
    const char *Header;
    const char *Team; ///< Empty: refused.
  };
  const std::vector<Case> Cases = {{"Bearer ops-token", "ops"},
                                   {"Bearer huts-token", "huts"},
                                   {"Bearer huts-toke", ""},
                                   {"Bearer ", ""},
                                   {"huts-token", ""},
                                   {"Basic huts-token", ""},
                                   {"", ""}};
  for (const Case &One : Cases) {
    const auto Access =
        outcomeOf([&] { return authenticateTeam(Doc.get(), One.Header); });
    BOOST_TEST((Access.Value ? Access.Value->Team : "") == One.Team);
    BOOST_TEST(Access.Why.Detail.find("huts-tok") == std::string::npos);
  }
  BOOST_TEST(
      !outcomeOf([&] { return authenticateTeam(nullptr, "Bearer x"); }).Value);
}

BOOST_AUTO_TEST_CASE(AMetricsPageNamesWorkspacesOnlyToTheirTeam) {
  const DocumentPtr Doc = documentWithTwoTeams();
  TrafficMetrics Timings;
  for (const char *Workspace : {"huts", "clubs", "made-up"})
    Timings.observe(Timing::Whole, Doc.get(), WorkspaceName{Workspace},
                    ClassName{"bookings"}, Seconds(0.02));
  const auto PageFor = [&](const std::string &Header) {
    return metricsText(
        filterVisibleMetrics(Timings.collect(), Doc.get(), Header));
  };
  const std::string Open = PageFor("");
  BOOST_TEST(Open.find("tenant") == std::string::npos);
  BOOST_TEST(Open.find("jacinthpond_whole_answer_seconds_count{class="
                       "\"bookings\"} 3") != std::string::npos);
  BOOST_TEST(PageFor("Bearer wrong") == Open);
  const std::string Own = PageFor("Bearer huts-token");
  BOOST_TEST(Own.find("tenant=\"huts\"") != std::string::npos);
  BOOST_TEST(Own.find("clubs") == std::string::npos);
  const std::string All = PageFor("Bearer ops-token");
  BOOST_TEST(All.find("tenant=\"clubs\"") != std::string::npos);
  BOOST_TEST(All.find("tenant=\"other\"") != std::string::npos);
  BOOST_TEST(All.find("made-up") == std::string::npos);
}
