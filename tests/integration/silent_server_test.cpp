/** @file silent_server_test.cpp Requests at sound servers that fall silent for
 * a moment and go on.
 */
// Labels: routes platform

#include "busy_fleet.h"

#include <httplib.h>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SilentServers)

// Guards against streams that are broken off at a moment of silence while no
// other server has a slot.
BOOST_AUTO_TEST_CASE(AStreamGoesOnWhereNoOtherServerHasASlot) {
  BusyFleet Busy(12, 150);
  Busy.fill();
  Busy.silence("model-0");
  Busy.checkWhole();
}

// Guards against requests that are answered with an error, before their answer
// began, in the same situation.
BOOST_AUTO_TEST_CASE(ARequestThatHasNotBegunIsKeptWhereNoOtherServerHasASlot) {
  BusyFleet Busy(5, 400);
  Busy.fill();
  Busy.silence("model-0");
  Busy.checkWhole();
}

// Guards against streams in progress that are ended shortly before their
// callers would leave, though their server goes on.
BOOST_AUTO_TEST_CASE(AStreamInProgressIsNotEndedBeforeItsDeadline) {
  RoutePlan Plan = BusyFleet::plan(6, 150);
  Plan.ModelWorkers = 1;
  RouteFleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  httplib::Response Answer;
  std::jthread Caller([&] { Answer = All.ask(0, writeAsk()); });
  std::this_thread::sleep_for(300ms); // The first event has come.
  All.process("model-0").pause();
  std::this_thread::sleep_for(2600ms);
  All.process("model-0").signal(SIGCONT);
  Caller.join();
  BOOST_TEST(Answer.status == 200);
}

// Guards against requests that are given up for a back end which then refuses
// them.
BOOST_AUTO_TEST_CASE(ARequestIsKeptWhereTheOtherServerRefusesIt) {
  RouteFleet All(RoutePlan{});
  BOOST_REQUIRE(All.waitServing(30s));
  All.control("plain-1", {{"refuse", 1000}});
  All.process("plain-0").pause();
  std::vector<httplib::Response> Answers(4);
  std::vector<std::jthread> Callers;
  Callers.reserve(Answers.size());
  for (httplib::Response &Into : Answers)
    Callers.emplace_back([&] { Into = All.ask(0, {}); });
  std::this_thread::sleep_for(Silence);
  All.process("plain-0").signal(SIGCONT);
  Callers.clear();
  for (const httplib::Response &Answer : Answers)
    BOOST_TEST(Answer.status == 200);
}

// Guards against streams without event ids that are begun again at another
// server: the caller would get their first events twice.
BOOST_AUTO_TEST_CASE(AStreamWithoutEventIdsIsNotTakenOver) {
  RoutePlan Plan = BusyFleet::plan(6, 100);
  Plan.WorkerOptions["no_ids"] = true;
  RouteFleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  std::vector<httplib::Response> Answers(4);
  std::vector<std::jthread> Callers;
  Callers.reserve(Answers.size());
  for (httplib::Response &Into : Answers)
    Callers.emplace_back([&] { Into = All.ask(0, writeAsk()); });
  std::this_thread::sleep_for(350ms); // Some events have come.
  All.process("model-0").pause();
  std::this_thread::sleep_for(Silence);
  All.process("model-0").signal(SIGCONT);
  Callers.clear();
  for (const httplib::Response &Answer : Answers) {
    BOOST_TEST(Answer.status == 200);
    const size_t First = Answer.body.find("token 1\n");
    BOOST_TEST(First != std::string::npos);
    BOOST_TEST(Answer.body.find("token 1\n", First + 1) == std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()
