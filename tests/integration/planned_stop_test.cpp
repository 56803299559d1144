/** @file planned_stop_test.cpp Requests that come while an entry is stopped. */
// Labels: routes

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <csignal>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr int GraceSeconds = 6;
constexpr std::chrono::milliseconds RequestPeriod{200};

/** Number of bookings that servers have run. */
size_t countRuns(const RouteFleet &All) {
  size_t Runs = 0;
  for (const char *Name : {"plain-0", "plain-1"})
    Runs += All.runsFrom(Name, 0).size();
  return Runs;
}

/** Sends a booking now and then, each over a connection of its own, until the
 * entry, which is stopped meanwhile, has ended. Gives its exit code. */
std::optional<int> bookUntilEnd(RouteFleet &All,
                                std::list<httplib::Response> &Answers) {
  std::vector<std::jthread> Callers;
  const auto StopAt = std::chrono::steady_clock::now() + 500ms;
  const auto Limit = StopAt + std::chrono::seconds(GraceSeconds + 2);
  bool Stopped = false;
  while (std::chrono::steady_clock::now() < Limit) {
    Callers.emplace_back([&All, &Into = Answers.emplace_back()] {
      RouteAsk Book;
      Book.Method = "POST";
      Book.Path = "/book/1";
      Book.Body = "slot 7";
      Book.DeadlineMillis = 8000;
      Into = All.ask(0, Book);
    });
    if (!Stopped && std::chrono::steady_clock::now() >= StopAt) {
      All.process("entry-0").signal(SIGTERM);
      Stopped = true;
    }
    if (const auto Code = All.process("entry-0").waitExit(RequestPeriod))
      return Code;
  }
  return std::nullopt;
}

} // namespace

// Guards against requests that are passed on late in the time that a stopped
// entry has left, and cut at its end: they may have run, and may run once only.
BOOST_AUTO_TEST_CASE(WhatIsPassedOnDuringAStopIsAnswered) {
  for (const int WorkMillis : {1500, 3000}) {
    RoutePlan Plan;
    Plan.Entries = 1;
    Plan.ModelWorkers = 1;
    Plan.EntrySettings = {{"leave_notice_ms", 2500},
                          {"stop_grace_s", GraceSeconds}};
    RouteFleet All(Plan);
    BOOST_REQUIRE(All.waitServing(30s));
    for (const char *Name : {"plain-0", "plain-1"})
      All.control(Name, {{"work_ms", WorkMillis}});
    const size_t Before = countRuns(All);
    std::list<httplib::Response> Answers;
    const auto Code = bookUntilEnd(All, Answers);
    size_t Answered = 0;
    size_t Refused = 0;
    for (const httplib::Response &Answer : Answers) {
      Answered += Answer.status == 200 ? 1 : 0;
      Refused += Answer.status == 503 ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(WorkMillis << " ms: answered " << Answered
                                  << ", refused " << Refused);
    BOOST_TEST(Answered > 0U);
    BOOST_TEST(Refused > 0U);
    BOOST_TEST(countRuns(All) - Before == Answered);
    BOOST_TEST(Code.value_or(-1) == 0);
  }
}
