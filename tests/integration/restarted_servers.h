/** @file restarted_servers.h Back ends that crash and are started again. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_RESTARTED_SERVERS_H
#define JACINTHPOND_TESTS_INTEGRATION_RESTARTED_SERVERS_H

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace jacinthpond::fleet {

/** Watches the back ends of a fleet; starts those that ended anew, at their
 * addresses and under other ids. */
class RestartedServers {
public:
  using Clock = std::chrono::steady_clock;

  /**
   * Begins to watch.
   * @param Of The fleet; outlives this object.
   * @param Watched Names of the back ends.
   * @param Down How long each is away.
   */
  RestartedServers(RouteFleet &Of, std::vector<std::string> Watched,
                   std::chrono::milliseconds Down)
      : All(Of), Names(std::move(Watched)), Downtime(Down) {}

  /** Lets time pass. @param Time How long. */
  void pass(std::chrono::milliseconds Time) {
    const auto End = Clock::now() + Time;
    for (; Clock::now() < End;
         std::this_thread::sleep_for(std::chrono::milliseconds(5)))
      lookAfterAll();
  }

  /** Waits until some have crashed and all are up again.
   * @param LeastCrashes How many have to. */
  void passUntilUp(size_t LeastCrashes) {
    BOOST_REQUIRE(waitFor(std::chrono::seconds(10), [&] {
      lookAfterAll();
      return Crashes.size() >= LeastCrashes && DownSince.empty() &&
             std::ranges::none_of(
                 Names, [&](const auto &n) { return All.look(n).empty(); });
    }));
  }

  /**
   * Counts late crashes.
   * @param Nth Number of the crash that is waited for, from 1.
   * @param KnownAfter Time after it.
   * @return Crashes later than that; 0 if there were fewer than Nth.
   */
  size_t crashesAfter(size_t Nth, std::chrono::milliseconds KnownAfter) const {
    if (Crashes.size() < Nth)
      return 0;
    return static_cast<size_t>(
        std::ranges::count_if(Crashes, [&](Clock::time_point At) {
          return At > Crashes[Nth - 1] + KnownAfter;
        }));
  }

  std::vector<Clock::time_point> Crashes; ///< In order of time.

private:
  void lookAfterAll() {
    std::ranges::for_each(Names, [&](const auto &n) { lookAfter(n); });
  }

  void lookAfter(const std::string &Name) {
    const auto it = DownSince.find(Name);
    if (it == DownSince.end()) {
      if (!All.process(Name).waitExit(std::chrono::milliseconds(0)))
        return;
      Crashes.push_back(Clock::now());
      DownSince[Name] = Crashes.back();
    } else if (Clock::now() - it->second >= Downtime) {
      DownSince.erase(it);
      All.restartServer(Name, Name + "-" + std::to_string(Crashes.size()));
    }
  }

  RouteFleet &All;
  std::vector<std::string> Names;
  std::chrono::milliseconds Downtime;
  std::map<std::string, Clock::time_point> DownSince;
};

} // namespace jacinthpond::fleet

#endif
