/** @file routes_test.cpp Requests on routes, over the users' platform. */
// Labels: routes platform path

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

RouteAsk book() {
  RouteAsk What;
  What.Method = "POST";
  What.Path = "/book/slot";
  What.Body = "slot 7";
  return What;
}

std::string events(int From, int To) {
  std::string All;
  for (int n = From; n <= To; ++n)
    All += "id: " + std::to_string(n) + "\ndata: token " + std::to_string(n) +
           "\n\n";
  return All;
}

struct Serving {
  Serving() : All(RoutePlan{}) { BOOST_REQUIRE(All.waitServing(30s)); }

  /** All runs of all plain back ends. */
  std::vector<Json> plainRuns() const {
    std::vector<Json> Runs;
    for (const char *Name : {"plain-0", "plain-1"}) {
      const Json Look = All.look(Name);
      for (const Json &Run : Look["runs"])
        Runs.push_back(Run);
    }
    return Runs;
  }

  /** Runs of a kind of path at all plain back ends. */
  size_t runsOf(const std::string &Path) const {
    size_t Runs = 0;
    for (const Json &Run : plainRuns())
      Runs += Run["path"] == Path ? 1 : 0;
    return Runs;
  }

  RouteFleet All;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Routes, Serving)

BOOST_AUTO_TEST_CASE(RequestsArePassedOnUnchanged) {
  RouteAsk What = book();
  What.Headers = {{"X-Jacinthpond-Tenant", "somebody-else"},
                  {"X-Other", "kept"}};
  const httplib::Response Answer = All.ask(0, What);
  BOOST_TEST(Answer.status == 200);
  BOOST_TEST(Answer.body == "answer to /book/slot");
  BOOST_TEST(Answer.get_header_value("X-Jacinthpond-Response-Signature") ==
             "sig");
  Json Found;
  for (const Json &Run : plainRuns())
    if (Run["path"] == "/book/slot")
      Found = Run;
  BOOST_REQUIRE(Found.is_object());
  BOOST_TEST(Found["body"] == "slot 7");
  const Json &Headers = Found["headers"];
  BOOST_TEST(Headers["X-Jacinthpond-Tenant"] == "huts");
  BOOST_TEST(Headers["X-Other"] == "kept");
  BOOST_TEST(!Headers.contains("Authorization"));
  BOOST_TEST(Headers.contains("X-Jacinthpond-Expected-Instance"));
}

BOOST_AUTO_TEST_CASE(AStreamComesWhole) {
  const httplib::Response Answer = All.ask(1, writeAsk());
  BOOST_TEST(Answer.status == 200);
  BOOST_TEST(Answer.body == events(1, 5));
}

BOOST_AUTO_TEST_CASE(ABrokenStreamGoesOnElsewhere) {
  // A worker died in the middle of an event. The caller had two events and a
  // half; it must get the third one once, and all others in order.
  All.control("model-0", {{"break_at", 3}});
  for (int n = 0; n < 12; ++n) {
    const httplib::Response Answer = All.ask(0, writeAsk());
    BOOST_TEST(Answer.status == 200);
    BOOST_TEST(Answer.body == events(1, 5));
  }
}

// Guards against streams that are held until their callers have left.
BOOST_AUTO_TEST_CASE(AStreamThatDoesNotBeginIsEndedBeforeItsCallerLeaves) {
  for (const char *Name : {"model-0", "model-1"})
    All.control(Name, {{"hang", 1}});
  const auto Begin = std::chrono::steady_clock::now();
  const httplib::Response Answer = All.ask(0, writeAsk());
  BOOST_TEST(Answer.status == 504);
  BOOST_TEST((std::chrono::steady_clock::now() - Begin < 2400ms));
}

// Guards against streams that wait at a host that stands still until their
// callers leave; they go on at another one within two wanted gaps or so.
BOOST_AUTO_TEST_CASE(StreamsLeaveAHostThatStandsStill) {
  for (const char *Name : {"model-0", "model-1"})
    All.control(Name, {{"gap_ms", 150}});
  std::vector<httplib::Response> Answers(4);
  std::vector<std::jthread> Callers;
  Callers.reserve(Answers.size());
  for (httplib::Response &Into : Answers)
    Callers.emplace_back([&] { Into = All.ask(0, writeAsk()); });
  BOOST_REQUIRE(waitFor(5s, [&] {
    return !All.look("model-0")["runs"].empty() &&
           !All.look("model-1")["runs"].empty();
  }));
  for (const char *Name : {"model-0", "agent-0"})
    All.process(Name).pause();
  const auto Begin = std::chrono::steady_clock::now();
  Callers.clear();
  const auto Took = std::chrono::steady_clock::now() - Begin;
  for (const char *Name : {"model-0", "agent-0"})
    All.process(Name).signal(SIGCONT);
  for (const httplib::Response &Answer : Answers)
    BOOST_TEST(Answer.body == events(1, 5));
  BOOST_TEST((Took < 1700ms));
}

BOOST_AUTO_TEST_CASE(AnErrorOfABackEndIsTriedElsewhere) {
  All.control("plain-0", {{"fail", 1}});
  for (int n = 0; n < 12; ++n)
    BOOST_TEST(All.ask(0, {}).status == 200);
}

// Guards against statuses that the HTTP library has no name for, which reached
// callers as 000: of failures at once and after a retry, of whole answers and
// of streams.
BOOST_AUTO_TEST_CASE(UnlistedStatusesArePassedOn) {
  const auto AskWith = [&](const Json &Options, const RouteAsk &What) {
    for (const char *Name : {"plain-0", "plain-1", "model-0", "model-1"})
      All.control(Name, Options);
    return All.ask(0, What);
  };
  for (const int Status : {425, 529, 599, 799}) {
    const Json Failing = {{"fail", 100}, {"fail_status", Status}};
    for (const RouteAsk &What : {book(), RouteAsk{}, writeAsk()}) {
      const httplib::Response Answer = AskWith(Failing, What);
      BOOST_TEST(Answer.status == Status, What.Path);
      BOOST_TEST(Answer.body == "failed");
      BOOST_TEST(Answer.get_header_value("X-Jacinthpond-Response-Signature") ==
                 "sig");
    }
  }
  const Json Working = {{"fail", 0}, {"success_status", 299}};
  BOOST_TEST(AskWith(Working, book()).status == 299);
  const httplib::Response Stream = AskWith(Working, writeAsk());
  BOOST_TEST(Stream.status == 299);
  BOOST_TEST(Stream.body == events(1, 5));
}

BOOST_AUTO_TEST_CASE(ABookingThatMayHaveRunIsNotSentAgain) {
  // A back end took a booking and never answered. Sent again to the other one,
  // it would have booked two crews.
  All.control("plain-0", {{"hang", 1}});
  All.control("plain-1", {{"hang", 1}});
  RouteAsk What = book();
  What.Path = "/book/lost";
  What.DeadlineMillis = 900;
  const httplib::Response Answer = All.ask(0, What);
  BOOST_TEST(Answer.status == 504);
  BOOST_TEST(!Answer.has_header("Retry-After"));
  std::this_thread::sleep_for(300ms);
  BOOST_TEST(runsOf("/book/lost") == 1U);
}

BOOST_AUTO_TEST_CASE(WhatIsNotExecutedIsRefusedWithATime) {
  All.control("plain-0", {{"refuse", 1000}});
  All.control("plain-1", {{"refuse", 1000}});
  const httplib::Response Answer = All.ask(0, book());
  BOOST_TEST(Answer.status == 503);
  BOOST_TEST(Answer.has_header("Retry-After"));
}

BOOST_AUTO_TEST_CASE(AnswersWithoutSignatureAreNoSuccess) {
  All.control("plain-0", {{"no_signature", true}});
  All.control("plain-1", {{"no_signature", true}});
  BOOST_TEST(All.ask(0, book()).status == 502);
}

BOOST_AUTO_TEST_CASE(UnknownKeysAndPathsAreRefused) {
  RouteAsk What;
  What.Key = "nobody's";
  BOOST_TEST(All.ask(0, What).status == 401);
  What.Key = "key-1";
  What.Path = "/elsewhere/1";
  BOOST_TEST(All.ask(0, What).status == 404);
}

BOOST_AUTO_TEST_CASE(AKeyThatIsTakenAwayEndsEverywhere) {
  RouteAsk What;
  What.Key = "key-2";
  BOOST_TEST(All.ask(0, What).status == 200);
  All.Config["tenants"][0]["api_keys"] = {"key-1"};
  All.publish();
  BOOST_TEST(waitFor(2s, [&] {
    return All.ask(0, What).status == 401 && All.ask(1, What).status == 401;
  }));
  BOOST_TEST(All.ask(0, {}).status == 200);
}

BOOST_AUTO_TEST_CASE(AZoneThatIsTakenOutGetsNothing) {
  All.store({{"put", {{"op/evacuate/z0", "{}"}}}});
  std::this_thread::sleep_for(1500ms);
  const size_t Before = All.look("plain-0")["runs"].size();
  for (int n = 0; n < 10; ++n)
    BOOST_TEST(All.ask(0, {}).status == 200);
  BOOST_TEST(All.look("plain-0")["runs"].size() == Before);
}

BOOST_AUTO_TEST_CASE(NewWeightsComeWholeToEveryWorker) {
  // One staged chunk turns bad after it came; the worker loads whatever lies
  // there, and would have answered with damaged weights.
  All.store(
      {{"put", {{"op/version/trail", R"({"model": "trail", "version": 2})"}}}});
  BOOST_TEST(waitFor(20s, [&] {
    return All.look("model-0").value("version", 0) == 2 &&
           All.look("model-1").value("version", 0) == 2;
  }));
  const Json First = All.look("model-0")["loaded_chunks"];
  BOOST_TEST(First.size() == 6U);
  BOOST_TEST(First == All.look("model-1")["loaded_chunks"]);
  BOOST_TEST(waitFor(5s, [&] { return All.ask(0, writeAsk()).status == 200; }));
}

BOOST_AUTO_TEST_CASE(AnAddedWorkerIsFilled) {
  All.addWorker();
  BOOST_TEST(waitFor(
      20s, [&] { return All.look("model-2").value("version", 0) == 1; }));
  BOOST_TEST(All.look("model-2")["loaded_chunks"] ==
             All.look("model-0")["loaded_chunks"]);
  // The first two drew every chunk once, and a few twice at most.
  BOOST_TEST(All.look("origin").value("pieces", 0) <= 12);
}

BOOST_AUTO_TEST_CASE(TheStoreMayBeAway) {
  All.store({{"status", 503}});
  const auto Until = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < Until) {
    BOOST_TEST(All.ask(0, {}).status == 200);
    BOOST_TEST(All.ask(1, writeAsk()).status == 200);
    std::this_thread::sleep_for(200ms);
  }
  All.Config["tenants"][0]["api_keys"] = {"key-1"};
  All.store({{"status", 0}});
  All.publish();
  RouteAsk What;
  What.Key = "key-2";
  BOOST_TEST(waitFor(6s, [&] { return All.ask(0, What).status == 401; }));
}

BOOST_AUTO_TEST_CASE(AStoreThatForgetsIsReadAnew) {
  All.store({{"forget", true}});
  All.Config["tenants"][0]["api_keys"] = {"key-1"};
  All.publish();
  RouteAsk What;
  What.Key = "key-2";
  BOOST_TEST(waitFor(5s, [&] { return All.ask(1, What).status == 401; }));
}

BOOST_AUTO_TEST_CASE(AWorkerWithoutItsAgentIsUsed) {
  All.process("agent-0").kill();
  All.process("agent-1").kill();
  std::this_thread::sleep_for(500ms);
  for (int n = 0; n < 6; ++n)
    BOOST_TEST(All.ask(0, writeAsk()).status == 200);
}

BOOST_AUTO_TEST_CASE(TheDirectoryNamesLivingEntries) {
  const auto Named = [&](size_t Entry) {
    httplib::Client Client("http://" + All.addressOf(Entry, "directory"));
    const auto Answer = Client.Get("/resolve?name=h.example&region=r9&zone=z9");
    return Answer ? Json::parse(Answer->body).value("addresses", Json::array())
                  : Json::array();
  };
  BOOST_TEST(waitFor(5s, [&] { return Named(0).size() == 2; }));
  All.process("entry-1").kill();
  BOOST_TEST(waitFor(5s, [&] { return Named(0).size() == 1; }));
  BOOST_TEST(Named(0)[0] == All.addressOf(0, "route"));
}

BOOST_AUTO_TEST_CASE(MetricsCountRoutes) {
  BOOST_TEST(All.ask(0, {}).status == 200);
  httplib::Client Admin("http://" + All.addressOf(0, "admin"));
  const auto Page = Admin.Get("/metrics");
  BOOST_REQUIRE(Page);
  BOOST_TEST(Page->body.find("jacinthpond_route_answered_total") !=
             std::string::npos);
  BOOST_TEST(Page->body.find("jacinthpond_whole_answer_seconds_count{class="
                             "\"plain\"}") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AStopFinishesWhatIsUnderWay) {
  for (const char *Name : {"model-0", "model-1"})
    All.control(Name, {{"gap_ms", 150}});
  httplib::Response Answer;
  std::thread Caller([&] { Answer = All.ask(0, writeAsk()); });
  std::this_thread::sleep_for(200ms);
  All.process("entry-0").signal(SIGTERM);
  std::this_thread::sleep_for(100ms);
  httplib::Client Ready("http://" + All.addressOf(0, "ready"));
  const auto Told = Ready.Get("/ready");
  BOOST_TEST((Told && Told->status == 503));
  Caller.join();
  BOOST_TEST(Answer.status == 200);
  BOOST_TEST(Answer.body == events(1, 5));
  const auto Code = All.process("entry-0").waitExit(5s);
  BOOST_TEST((Code && *Code == 0));
}

BOOST_AUTO_TEST_CASE(CallersThatComeWhileAnEntryJoinsAreHeld) {
  // An entry was killed and started again. Its callers came back as soon as it
  // listened, before it had a view of the fleet; refused, they had no try left.
  All.process("entry-0").kill();
  All.restart("entry-0");
  httplib::Response First;
  BOOST_TEST(waitFor(10s, [&] {
    First = All.ask(0, writeAsk());
    return First.status != -1;
  }));
  BOOST_TEST(First.status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
