/** @file close_ended_answer_test.cpp Answers without a length that end with
 * their connection.
 */
// Labels: routes quarantine platform

#include "restarted_servers.h"

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Each answer ends with its connection; a part of a prompt crashes. */
struct ClosingFleet {
  ClosingFleet() : All(plan()), Servers(All, serverNames(plan()), 500ms) {
    BOOST_REQUIRE(All.waitServing(30s));
  }

  static RoutePlan plan() {
    RoutePlan Plan;
    Plan.Entries = 1;
    Plan.ModelWorkers = 2;
    Plan.PlainServers = 3;
    Plan.WorkerOptions = {{"crash_part", {"5c1e07a2"}}, {"ends_by_close", 1}};
    return Plan;
  }

  /** A request, with its own part of a prompt, that crashes what runs it. */
  static RouteAsk fatal(RouteAsk What, int n) {
    What.Path += "-" + std::to_string(n);
    What.Headers = {{"X-Jacinthpond-Prompt-Prefix", "5c1e07a2:800,e4402b7d:9"}};
    return What;
  }

  RouteFleet All;
  RestartedServers Servers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CloseEndedAnswers, ClosingFleet)

// Guards against answers that are lost since nothing but the close of their
// connection shows that they are whole.
BOOST_AUTO_TEST_CASE(AreDeliveredWhole) {
  for (int n = 0; n < 20; ++n) {
    RouteAsk Read;
    Read.Path = "/read/" + std::to_string(n);
    const httplib::Response Whole = All.ask(0, Read);
    BOOST_TEST(Whole.status == 200);
    BOOST_TEST(Whole.body == "answer to " + Read.Path);
    const httplib::Response Stream = All.ask(0, writeAsk());
    BOOST_TEST(Stream.status == 200);
    BOOST_TEST(Stream.body.find("token 5") != std::string::npos);
  }
}

// Guards against a part of an answer that passes for the whole since its back
// end crashed, which closes the connection as well.
BOOST_AUTO_TEST_CASE(OfCrashedBackEndsAreNotWhole) {
  for (int n = 0; n < 6; ++n) {
    const httplib::Response Got = All.ask(0, fatal({}, n));
    BOOST_TEST(Got.status != 200);
    Servers.passUntilUp(0);
  }
  BOOST_TEST(Servers.Crashes.size() >= 2U);
}

// Guards against a stream that ends as a whole one after the event at which its
// back end crashed.
BOOST_AUTO_TEST_CASE(OfCrashedModelWorkersAreNotWhole) {
  for (int n = 0; n < 3; ++n) {
    const httplib::Response Got = All.ask(0, fatal(writeAsk(), n));
    const bool Whole =
        Got.status == 200 && Got.body.find("token 5") == std::string::npos;
    BOOST_TEST(!Whole);
    Servers.passUntilUp(0);
  }
  BOOST_TEST(Servers.Crashes.size() >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
