/** @file crashing_request_test.cpp Requests that crash each back end that runs
 * them.
 */
// Labels: quarantine routes platform

#include "fleet/route_fleet.h"
#include "fleet/steady_route_callers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t Entries = 3;
constexpr size_t Models = 5;
constexpr size_t Plains = 6;
/** A crash is known to all entries after this time. */
constexpr auto KnownAfter = 500ms;
/** Crashes after the third one is known. */
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
  CrashingFleet() : All(plan()) {
    for (size_t n = 0; n < Models; ++n)
      Names.push_back("model-" + std::to_string(n));
    for (size_t n = 0; n < Plains; ++n)
      Names.push_back("plain-" + std::to_string(n));
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

  /** Lets time pass; notes crashes, and starts what crashed again. */
  void pass(std::chrono::milliseconds Time) {
    const auto End = Clock::now() + Time;
    for (; Clock::now() < End; std::this_thread::sleep_for(5ms))
      for (const std::string &Name : Names)
        lookAfter(Name);
  }

  void lookAfter(const std::string &Name) {
    const auto it = DownSince.find(Name);
    if (it == DownSince.end()) {
      if (!All.process(Name).waitExit(0ms))
        return;
      Crashes.push_back(Clock::now());
      DownSince[Name] = Crashes.back();
    } else if (Clock::now() - it->second >= Downtime) {
      DownSince.erase(it);
      All.restartServer(Name, Name + "-" + std::to_string(Crashes.size()));
    }
  }

  /** Crashes after the time at which the third one is known. */
  size_t lateCrashes() const {
    if (Crashes.size() < 3)
      return 0;
    return std::ranges::count_if(Crashes, [&](Clock::time_point At) {
      return At > Crashes[2] + KnownAfter;
    });
  }

  RouteFleet All;
  std::vector<std::string> Names;
  std::vector<Clock::time_point> Crashes;
  std::map<std::string, Clock::time_point> DownSince;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingRequests, CrashingFleet)

// Guards against copies of a request that crash one plain back end after the
// other.
BOOST_AUTO_TEST_CASE(PlainBackEndsAreSpared) {
  {
    const CopySenders Copies(All, fatal("read"));
    pass(8s);
  }
  BOOST_TEST(Crashes.size() >= 2U);
  BOOST_TEST(lateCrashes() <= MostLateCrashes);
}

// Guards against copies of a stream that crash one model worker after the
// other, in the middle of its events.
BOOST_AUTO_TEST_CASE(ModelWorkersAreSpared) {
  {
    const CopySenders Copies(All, fatal("write"));
    pass(8s);
  }
  BOOST_TEST(Crashes.size() >= 2U);
  BOOST_TEST(lateCrashes() <= MostLateCrashes);
}

// Guards against entries that start and send on what the others refuse.
BOOST_AUTO_TEST_CASE(AnEntryThatStartsKnowsWhatIsRefused) {
  {
    const CopySenders Copies(All, fatal("read"));
    pass(3s);
  }
  pass(2 * Downtime); // All back ends are up again.
  const size_t Before = Crashes.size();
  All.restart("entry-1");
  BOOST_REQUIRE(All.waitServing(15s));
  for (int n = 0; n < 5; ++n)
    All.ask(1, fatal("read"));
  pass(1s);
  BOOST_TEST(Crashes.size() == Before);
}

BOOST_AUTO_TEST_SUITE_END()
