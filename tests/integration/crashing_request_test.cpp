/** @file crashing_request_test.cpp Requests that crash each back end that runs
 * them.
 */
// Labels: quarantine routes platform

#include "restarted_servers.h"

#include "fleet/route_fleet.h"
#include "fleet/steady_route_callers.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

using Clock = RestartedServers::Clock;

constexpr size_t Entries = 3;
constexpr size_t Models = 5;
constexpr size_t Plains = 6;
/** The last of the first crashes is known to all entries after this time. */
constexpr size_t FirstCrashes = 3;
constexpr auto KnownAfter = 500ms;
/** Crashes after that. */
constexpr size_t MostLateCrashes = 2;
/** A crashed back end is back after this time. */
constexpr auto Downtime = 1s;
/** Pause between two copies at one entry. */
constexpr auto CopyPeriod = 150ms;

/** Sends copies of a request to all entries until it goes away. */
class CopySenders {
public:
  CopySenders(const RouteFleet &All, const RouteAsk &What) {
    for (size_t n = 0; n < Entries; ++n)
      Threads.emplace_back(
          [&All, n, Copy = What](const std::stop_token &Stop) mutable {
            for (size_t i = 0; !Stop.stop_requested(); ++i) {
              Copy.Key = i % 2 == 0 ? "key-1" : "key-2"; // Of one tenant.
              All.ask(n, Copy);
              std::this_thread::sleep_for(CopyPeriod);
            }
          });
  }

private:
  std::vector<std::jthread> Threads;
};

struct CrashingFleet {
  CrashingFleet() : All(plan()), Servers(All, serverNames(plan()), Downtime) {
    BOOST_REQUIRE(All.waitServing(30s));
  }

  static RoutePlan plan() {
    RoutePlan Plan;
    Plan.Entries = Entries;
    Plan.ModelWorkers = Models;
    Plan.PlainServers = Plains;
    Plan.WorkerOptions = {{"crash_on", "fatal"}};
    return Plan;
  }

  /** A request that crashes what runs it. */
  static RouteAsk fatal(const std::string &Route) {
    RouteAsk What = Route == "write" ? writeAsk() : RouteAsk{};
    What.Path = "/" + Route + "/fatal";
    return What;
  }

  size_t lateCrashes() const {
    return Servers.crashesAfter(FirstCrashes, KnownAfter);
  }

  RouteFleet All;
  RestartedServers Servers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequests, CrashingFleet)

// Guards against copies of a request that crash one plain back end after the
// other.
BOOST_AUTO_TEST_CASE(PlainBackEndsAreSpared) {
  {
    const CopySenders Copies(All, fatal("read"));
    Servers.pass(8s);
  }
  BOOST_TEST(Servers.Crashes.size() >= 2U);
  BOOST_TEST(lateCrashes() <= MostLateCrashes);
}

// Guards against copies of a stream that crash one model worker after the
// other, in the middle of its events.
BOOST_AUTO_TEST_CASE(ModelWorkersAreSpared) {
  {
    const CopySenders Copies(All, fatal("write"));
    Servers.pass(8s);
  }
  BOOST_TEST(Servers.Crashes.size() >= 2U);
  BOOST_TEST(lateCrashes() <= MostLateCrashes);
}

// Guards against entries that start and send on what the others refuse.
BOOST_AUTO_TEST_CASE(AnEntryThatStartsKnowsWhatIsRefused) {
  {
    const CopySenders Copies(All, fatal("read"));
    Servers.pass(3s);
  }
  Servers.passUntilUp(2);
  const size_t Before = Servers.Crashes.size();
  All.restart("entry-1");
  BOOST_REQUIRE(All.waitServing(15s));
  for (int n = 0; n < 5; ++n)
    All.ask(1, fatal("read"));
  Servers.pass(1s);
  BOOST_TEST(Servers.Crashes.size() == Before);
}

// Guards against callers that are held, or told anything untrue, when what they
// ask for is known to crash back ends; and against others that pay for it.
BOOST_AUTO_TEST_CASE(CallersAreToldAtOnceAndOthersAreServed) {
  {
    const CopySenders Copies(All, fatal("read"));
    Servers.pass(3s);
  }
  Servers.passUntilUp(2);
  const size_t Before = Servers.Crashes.size();
  for (size_t n = 0; n < Entries; ++n) {
    const auto Start = Clock::now();
    const httplib::Response Answer = All.ask(n, fatal("read"));
    BOOST_CHECK(Clock::now() - Start < 300ms);
    BOOST_TEST(Answer.status == 503);
    BOOST_TEST(std::atof(Answer.get_header_value("Retry-After").c_str()) > 0);
    BOOST_TEST(Answer.body.find("\"ran\":\"no\"") != std::string::npos);
    RouteAsk Other = fatal("read");
    Other.Path = "/read/fata";
    BOOST_TEST(All.ask(n, Other).status == 200);
  }
  Servers.pass(500ms);
  BOOST_TEST(Servers.Crashes.size() == Before);
}

// Guards against answers that get lost, again and again, of back ends that run
// on, and are taken for crashes.
BOOST_AUTO_TEST_CASE(LostAnswersAccuseNobody) {
  for (int n = 0; n < 6; ++n) {
    for (size_t i = 0; i < Models; ++i)
      All.control("model-" + std::to_string(i), {{"break_at", 3}});
    All.ask(n % Entries, writeAsk());
    Servers.pass(200ms);
  }
  for (size_t i = 0; i < Models; ++i)
    All.control("model-" + std::to_string(i), {{"break_at", 0}});
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(All.ask(n, writeAsk()).status == 200);
}

// Guards against a request of many callers that is refused since back ends were
// killed, one after the other, while it ran there.
BOOST_AUTO_TEST_CASE(KilledBackEndsAccuseNobody) {
  {
    const SteadyRouteCallers Calling(All, Entries, 3,
                                     [](size_t) { return RouteAsk{}; });
    for (const char *Name : {"plain-0", "plain-3", "plain-1", "plain-4"}) {
      Servers.pass(300ms);
      All.process(Name).signal(SIGKILL);
    }
    Servers.passUntilUp(4);
    BOOST_TEST(Servers.Crashes.size() == 4U);
    BOOST_TEST(Calling.Served >= Calling.Asked - 2 * int(Entries * 3));
  }
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(All.ask(n, {}).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against callers who are told that a request has not run when its back
// end crashed on it over a kept connection.
BOOST_AUTO_TEST_CASE(ACrashOnAKeptConnectionMayHaveRunTheRequest) {
  RoutePlan Plan = CrashingFleet::plan();
  Plan.Entries = 1;
  Plan.ModelWorkers = 1;
  Plan.PlainServers = 1;
  RouteFleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  BOOST_REQUIRE(All.ask(0, {}).status == 200); // Leaves a connection.
  const httplib::Response Answer = All.ask(0, CrashingFleet::fatal("read"));
  BOOST_TEST(Answer.status == 502);
  BOOST_TEST(Answer.body.find("\"ran\":\"unknown\"") != std::string::npos);
}
