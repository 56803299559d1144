/** @file hardening_test.cpp Slow, broken and vanishing callers. */
// Labels: product

#include "fleet/fleet.h"
#include "raw_caller.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

std::string post(const std::string &Path, const std::string &Headers,
                 const std::string &Body) {
  return "POST " + Path + " HTTP/1.1\r\nHost: entry\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

const std::string Reports = "/v1/classes/reports/requests";
const std::string Huts = "X-Tenant: huts\r\n";

/** One entry with few threads before two engines. */
struct SmallEntry {
  SmallEntry() {
    static Fleet Shared(plan());
    static const bool Up = Shared.waitServing(30s) && waitFor(30s, [&] {
                             return Shared.ask(0, Ask{}).Status == 200;
                           });
    BOOST_REQUIRE(Up);
    All = &Shared;
    At = All->address("entry-0", "callers");
  }

  static FleetPlan plan() {
    FleetPlan Plan;
    Plan.Entries = 1;
    Plan.ModelWorkers = 2;
    Plan.ServiceWorkers = 0;
    Plan.EntrySettings = {{"caller_threads", 4},
                          {"caller_read_ms", 1500},
                          {"max_body_bytes", 4096}};
    Plan.AgentSettings = {{"cold_limit", 8}};
    return Plan;
  }

  Fleet *All;
  std::string At;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Hardening, SmallEntry)

// Story: 200 callers open a connection each and send one byte of a request, or
// a body that never ends, on an entry with 4 threads. A thread for each
// connection would be held by them, and every other caller would wait. Others
// must be answered all the while, and the slow ones told that they were.
BOOST_AUTO_TEST_CASE(SlowConnectionsCostNobodyElse) {
  std::vector<std::unique_ptr<RawCaller>> Slow;
  for (size_t n = 0; n < 200; ++n) {
    Slow.push_back(std::make_unique<RawCaller>(At));
    const std::string Whole = post(Reports, Huts, "{\"prompt\": \"snow\"}");
    Slow.back()->send(n % 2 == 0 ? "P" : Whole.substr(0, Whole.size() - 1));
  }
  const auto Begin = std::chrono::steady_clock::now();
  for (size_t n = 0; n < 20; ++n)
    BOOST_TEST(All->ask(0, Ask{}).Status == 200);
  const auto Took = std::chrono::steady_clock::now() - Begin;
  BOOST_TEST((Took < 5s));
  for (const auto &One : Slow)
    BOOST_TEST(One->read().find("slow_caller") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(BrokenInputGetsAClearError) {
  struct Case {
    std::string Text;
    const char *Kind;
  };
  const std::string Big(5000, ' ');
  const std::vector<Case> Cases = {
      {"nonsense\r\n\r\n", "bad_request"},
      {std::string("\0\1\2\r\n\r\n", 7), "bad_request"},
      {"GET /nothing HTTP/1.1\r\nConnection: close\r\n\r\n", "not_found"},
      {"DELETE /v1/entries HTTP/1.1\r\nConnection: close\r\n\r\n", "not_found"},
      {"GET / HTTP/1.1\r\nX: " + std::string(20000, 'x'), "too_large"},
      {post(Reports, Huts, Big), "too_large"},
      {"POST " + Reports + " HTTP/1.1\r\nContent-Length: nine\r\n\r\n",
       "bad_request"},
      {"POST " + Reports + " HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
       "bad_request"},
      {post(Reports, "Connection: close\r\n" + Huts, "{\"prompt"),
       "bad_request"},
      {post(Reports, "Connection: close\r\n", "{}"), "bad_request"},
      {post(Reports,
            "Connection: close\r\nX-Tenant: " + std::string(200, 'x') + "\r\n",
            "{}"),
       "too_large"},
      {post("/v1/classes/a%0ab/requests", "Connection: close\r\n" + Huts, "{}"),
       "bad_request"},
      {post(Reports, "Connection: close\r\nX-Deadline-Ms: -5\r\n" + Huts, "{}"),
       "bad_request"},
  };
  for (const Case &One : Cases) {
    const RawCaller Caller(At);
    Caller.send(One.Text);
    const std::string Got = Caller.read();
    BOOST_TEST(Got.find("\"kind\":\"" + std::string(One.Kind) + "\"") !=
                   std::string::npos,
               One.Text.substr(0, 60) + " got " + Got);
    BOOST_TEST(Got.find("\"ran\":\"no\"") != std::string::npos);
  }
  const RawCaller CutOff(At);
  CutOff.send(post(Reports, Huts, "{}").substr(0, 40));
  CutOff.endInput();
  BOOST_TEST(CutOff.read().find("cut off") != std::string::npos);
  BOOST_TEST(All->ask(0, Ask{}).Status == 200);
}

// Story: a caller closes its connection in the middle of a long answer, once
// streamed and once whole. Nobody would read the rest; without a look at the
// connection the engine would go on for minutes.
BOOST_AUTO_TEST_CASE(AVanishedCallerEndsItsAttempt) {
  for (const std::string Accept : {"Accept: text/event-stream\r\n", ""}) {
    {
      const RawCaller Caller(At);
      Caller.send(post(Reports, Huts + Accept,
                       "{\"prompt\": \"long\", \"max_tokens\": 5000}"));
      if (!Accept.empty())
        BOOST_TEST(Caller.read("event: token").find("event: token") !=
                   std::string::npos);
      else
        BOOST_TEST(waitFor(
            5s, [&] { return All->health(0).value("open_calls", 0) == 1; }));
    }
    BOOST_TEST(waitFor(
        10s, [&] { return All->health(0).value("open_calls", 1) == 0; }));
    BOOST_TEST(waitFor(10s, [&] {
      return All->look("engine-0").value("running", 1) == 0 &&
             All->look("engine-1").value("running", 1) == 0;
    }));
  }
}

// Story: more callers ask for long answers than the entry has threads. The
// next one must not wait without a word until a thread is free: it is told at
// once that it was not run and when to come back.
BOOST_AUTO_TEST_CASE(WithoutAThreadTheAnswerComesAtOnce) {
  std::vector<std::unique_ptr<RawCaller>> Long;
  for (size_t n = 0; n < 4; ++n) {
    Long.push_back(std::make_unique<RawCaller>(At));
    Long.back()->send(post(Reports, Huts + "Accept: text/event-stream\r\n",
                           "{\"prompt\": \"l\", \"max_tokens\": 5000}"));
  }
  for (const auto &One : Long)
    BOOST_TEST(One->read("event: token").find("event: token") !=
               std::string::npos);
  const auto Begin = std::chrono::steady_clock::now();
  const Answer Next = All->ask(0, Ask{});
  BOOST_TEST(Next.Status == 503);
  BOOST_TEST(Next.json()["error"]["retry_after_ms"] == 500);
  BOOST_TEST((std::chrono::steady_clock::now() - Begin < 2s));
}

BOOST_AUTO_TEST_SUITE_END()

// Story: an entry is told to stop while a caller gets an answer that takes
// longer than the time limit of the shutdown. Its threads wait for that answer;
// ending them in order would keep the process alive far beyond the limit.
BOOST_AUTO_TEST_CASE(AShutdownEndsAtItsLimit) {
  FleetPlan Plan = SmallEntry::plan();
  Plan.EntrySettings["shutdown_ms"] = 300;
  Fleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  BOOST_REQUIRE(waitFor(30s, [&] { return All.ask(0, Ask{}).Status == 200; }));
  const RawCaller Caller(All.address("entry-0", "callers"));
  Caller.send(post(Reports, Huts + "Accept: text/event-stream\r\n",
                   "{\"prompt\": \"l\", \"max_tokens\": 5000}"));
  BOOST_TEST(Caller.read("event: token").find("event: token") !=
             std::string::npos);
  All.process("entry-0").signal(SIGTERM);
  BOOST_TEST(All.process("entry-0").waitExit(5s).value_or(-1) == 4);
  BOOST_TEST(
      All.logOf("entry-0").find("level=ERROR event=note text=\"Shutdown cut "
                                "off 1 requests.\"") != std::string::npos);
}
