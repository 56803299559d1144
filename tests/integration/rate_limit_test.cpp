/** @file rate_limit_test.cpp Back ends that limit their rate themselves. */
// Labels: routes platform

#include "fleet/route_fleet.h"
#include "fleet/steady_route_callers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr double PerSecond = 2.5;
constexpr auto Window = 4s;
/** One and a half times the limit in a window, and five more. */
constexpr size_t MostInWindow = 20;
/** Time in which every entry hears of a limit or of its end. */
constexpr auto HearTime = 1500ms;
constexpr size_t Entries = 3;
constexpr size_t CallersOfAnEntry = 2;

struct Limited {
  Limited() : All(plan()) { BOOST_REQUIRE(All.waitServing(30s)); }

  static RoutePlan plan() {
    RoutePlan Plan;
    Plan.Entries = Entries;
    return Plan;
  }

  /** When a back end began what it ran, in order. */
  std::vector<Clock::time_point> runsAt(const std::string &Name) const {
    std::vector<Clock::time_point> Times;
    const Json Runs = All.runsFrom(Name, 0);
    for (const Json &Run : Runs) {
      const std::chrono::duration<double, std::milli> At(
          Run["at_ms"].get<double>());
      Times.emplace_back(std::chrono::duration_cast<Clock::duration>(At));
    }
    return Times;
  }

  size_t runsBetween(const std::string &Name, Clock::time_point From,
                     Clock::time_point To) const {
    const auto Times = runsAt(Name);
    return static_cast<size_t>(std::ranges::count_if(
        Times, [&](auto At) { return At >= From && At < To; }));
  }

  /** Most runs in any window that begins after a moment. */
  size_t mostInWindow(const std::string &Name, Clock::time_point From) const {
    const auto Times = runsAt(Name);
    size_t Most = 0;
    for (auto it = std::ranges::lower_bound(Times, From); it != Times.end();
         ++it)
      Most = std::max<size_t>(
          Most,
          static_cast<size_t>(
              std::ranges::lower_bound(it, Times.end(), *it + Window) - it));
    return Most;
  }

  /** Lets a back end limit its rate for a while; gives when all know it. */
  Clock::time_point limitFor(const std::string &Name,
                             std::chrono::seconds Length) const {
    All.control(Name, {{"rate_limit", std::to_string(PerSecond)}});
    const auto Known = Clock::now() + HearTime;
    std::this_thread::sleep_until(Known + Length);
    return Known;
  }

  /** Callers at all entries, who ask without a pause worth mentioning. */
  std::unique_ptr<SteadyRouteCallers> callers(const RouteAsk &What) const {
    return std::make_unique<SteadyRouteCallers>(
        All, Entries, CallersOfAnEntry, [What](size_t) { return What; });
  }

  RouteFleet All;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RateLimits, Limited)

// Guards against a worker that gets more than its own rate limit allows, summed
// over entries that all know of it.
BOOST_AUTO_TEST_CASE(AWorkerGetsWhatItsLimitAllows) {
  const auto Calling = callers(writeAsk());
  const auto Known = limitFor("model-0", 6s);
  BOOST_TEST(mostInWindow("model-0", Known) <= MostInWindow);
  // What it does not take goes to the other one.
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against a limit that is kept although the worker has lifted it.
BOOST_AUTO_TEST_CASE(AWorkerThatLiftsItsLimitGetsItsShareAgain) {
  const auto Calling = callers(writeAsk());
  const auto Before = Clock::now();
  std::this_thread::sleep_for(2s);
  const size_t Usual = runsBetween("model-0", Before, Before + 2s);
  limitFor("model-0", 2s);
  All.control("model-0", {{"rate_limit", ""}});
  const auto Lifted = Clock::now() + HearTime;
  std::this_thread::sleep_until(Lifted + 2s);
  BOOST_TEST(runsBetween("model-0", Lifted, Lifted + 2s) >= Usual / 2);
}

// Guards against entries that each keep the limit alone where no agent counts
// for them.
BOOST_AUTO_TEST_CASE(APlainServiceGetsWhatItsLimitAllows) {
  const auto Calling = callers({});
  const auto Known = limitFor("plain-0", 6s);
  BOOST_TEST(mostInWindow("plain-0", Known) <= MostInWindow);
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against failures without the field that lift a limit.
BOOST_AUTO_TEST_CASE(FailuresLiftNoLimit) {
  const auto Calling = callers({});
  limitFor("plain-0", 0s);
  All.control("plain-0", {{"rate_limit", ""}, {"fail", 1000}});
  All.control("plain-1", {{"fail", 1000}}); // Fails no less than the other.
  const auto Since = Clock::now();
  std::this_thread::sleep_for(Window + 500ms);
  BOOST_TEST(mostInWindow("plain-0", Since) <= MostInWindow);
}

// Guards against a limit that is forgotten with the agent that kept it.
BOOST_AUTO_TEST_CASE(ALimitOutlivesTheAgent) {
  const auto Calling = callers(writeAsk());
  All.control("model-0", {{"rate_limit", std::to_string(PerSecond)}});
  std::this_thread::sleep_for(HearTime);
  const auto Known = Clock::now();
  All.process("agent-0").kill();
  std::this_thread::sleep_for(3s);
  All.restart("agent-0");
  std::this_thread::sleep_for(4s);
  BOOST_TEST(mostInWindow("model-0", Known) <= MostInWindow);
}

BOOST_AUTO_TEST_SUITE_END()
