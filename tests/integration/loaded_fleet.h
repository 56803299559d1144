/** @file loaded_fleet.h A fleet with callers at every entry. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_LOADED_FLEET_H
#define JACINTHPOND_TESTS_INTEGRATION_LOADED_FLEET_H

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

/** No new work later than this after a change was published. */
constexpr std::chrono::seconds SilentLimit{3};
/** Callers at each entry. */
constexpr size_t CallersEach = 4;

/** Its callers ask until it goes away; whole answers are counted. */
struct LoadedFleet {
  explicit LoadedFleet(const FleetPlan &Plan) : All(Plan) {
    BOOST_REQUIRE(All.waitServing(std::chrono::seconds{30}));
  }
  ~LoadedFleet() {
    Stop = true;
    for (std::thread &One : Callers)
      One.join();
  }
  LoadedFleet(const LoadedFleet &) = delete;
  LoadedFleet &operator=(const LoadedFleet &) = delete;

  void startCallers() {
    for (size_t n = 0; n < All.Plan.Entries * CallersEach; ++n)
      Callers.emplace_back([this, n] { askOnAndOn(n); });
  }
  void askOnAndOn(size_t n) {
    for (size_t i = 0; !Stop; ++i) {
      Ask What;
      What.Body["prompt"] = std::to_string(n) + "-" + std::to_string(i);
      if (All.ask(n % All.Plan.Entries, What).Status == 200)
        ++Whole;
    }
  }

  /** Requests that an engine ever got. */
  size_t workAt(size_t Engine) const {
    return All.look("engine-" + std::to_string(Engine))["records"].size();
  }

  /** Requests that entries have no final answer to. */
  size_t openCalls() const {
    size_t Sum = 0;
    for (size_t n = 0; n < All.Plan.Entries; ++n)
      Sum += All.health(n).value("open_calls", size_t{0});
    return Sum;
  }

  /** Notes when a change was published. */
  void changed() { Changed = std::chrono::steady_clock::now(); }

  void waitSilentLimit() const {
    waitFor(2 * SilentLimit, [&] {
      return std::chrono::steady_clock::now() - Changed >= SilentLimit;
    });
  }

  /** Checks that some engines get nothing while many answers are given. */
  void checkSilent(const std::vector<size_t> &Engines) {
    std::vector<size_t> Before;
    Before.reserve(Engines.size());
    for (const size_t n : Engines)
      Before.push_back(workAt(n));
    const int Answers = Whole;
    BOOST_TEST(waitFor(std::chrono::seconds{10},
                       [&] { return Whole >= Answers + 100; }));
    for (size_t i = 0; i < Engines.size(); ++i)
      BOOST_TEST(workAt(Engines[i]) == Before[i]);
  }

  Fleet All;
  std::atomic<bool> Stop{false};
  std::atomic<int> Whole{0};
  std::vector<std::thread> Callers;
  std::chrono::steady_clock::time_point Changed;
};

} // namespace jacinthpond::fleet

#endif
