/** @file busy_fleet.h Two model workers without a free slot. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_BUSY_FLEET_H
#define JACINTHPOND_TESTS_INTEGRATION_BUSY_FLEET_H

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

/** Requests that an agent lets to its worker: its slots and one ahead. */
constexpr size_t RequestsEach = 5;
/** How long a sound server may be silent. */
constexpr std::chrono::milliseconds Silence{1200};

/** Fills both model workers with streams. */
struct BusyFleet {
  /**
   * Starts the fleet.
   * @param Events Events of a stream.
   * @param GapMillis Time before each of them.
   */
  BusyFleet(int Events, int GapMillis)
      : Events(Events), All(plan(Events, GapMillis)) {
    BOOST_REQUIRE(All.waitServing(std::chrono::seconds{30}));
    for (const char *Name : {"model-0", "model-1"})
      RunsBefore.push_back(All.look(Name)["runs"].size());
  }

  static RoutePlan plan(int Events, int GapMillis) {
    RoutePlan Plan;
    Plan.WorkerOptions = {{"events", Events}, {"gap_ms", GapMillis}};
    return Plan;
  }

  /** Starts as many streams as the agents let through. */
  void fill() {
    Answers.resize(2 * RequestsEach);
    for (httplib::Response &Into : Answers)
      Callers.emplace_back([this, &Into] { Into = All.ask(0, writeAsk()); });
    BOOST_REQUIRE(waitFor(std::chrono::seconds{5}, [&] {
      return runsOf(0) == RequestsEach && runsOf(1) == RequestsEach;
    }));
  }

  /** Runs at a model worker since the start. */
  size_t runsOf(size_t Worker) const {
    return All.look("model-" + std::to_string(Worker))["runs"].size() -
           RunsBefore.at(Worker);
  }

  /** Stops a server for as long as a sound one may be silent. */
  void silence(const std::string &Name) {
    All.process(Name).signal(SIGSTOP);
    std::this_thread::sleep_for(Silence);
    All.process(Name).signal(SIGCONT);
  }

  /** Waits for all streams, which must be whole. */
  void checkWhole() {
    Callers.clear();
    std::string Whole;
    for (int n = 1; n <= Events; ++n)
      Whole += "id: " + std::to_string(n) + "\ndata: token " +
               std::to_string(n) + "\n\n";
    for (const httplib::Response &Answer : Answers) {
      BOOST_TEST(Answer.status == 200);
      BOOST_TEST(Answer.body == Whole);
    }
  }

  /** Value of a counter of the entry that was asked. */
  double counter(const std::string &Name) const {
    httplib::Client Admin("http://" + All.addressOf(0, "admin"));
    const auto Page = Admin.Get("/metrics");
    std::istringstream Lines(Page ? Page->body : "");
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.starts_with(Name + " "))
        return std::stod(Line.substr(Name.size() + 1));
    return -1;
  }

  int Events;
  RouteFleet All;
  std::vector<size_t> RunsBefore;
  std::vector<httplib::Response> Answers;
  std::vector<std::jthread> Callers;
};

} // namespace jacinthpond::fleet

#endif
