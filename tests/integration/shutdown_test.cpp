/** @file shutdown_test.cpp A planned stop cuts off no request. */
// Labels: promise-8

#include "contract_caller.h"
#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

struct Small {
  explicit Small(const FleetPlan &Plan = {}) : All(Plan) {
    BOOST_REQUIRE(All.waitServing(30s));
    for (size_t n = 0; n < All.Plan.Entries; ++n)
      Known.push_back(All.address("entry-" + std::to_string(n), "callers"));
  }

  /** A stream of about 1.5 s through an entry. */
  std::jthread stream(size_t Entry, Answer &Into) {
    return std::jthread([this, Entry, &Into] {
      Ask Long;
      Long.Body["max_tokens"] = 300;
      Long.Stream = true;
      Into = All.ask(Entry, Long);
    });
  }

  bool streamRuns(size_t Entry) {
    return waitFor(10s, [&] {
      return All.health(Entry).value("open_calls", size_t{0}) > 0;
    });
  }

  /** Whether so many answers are being written by engines. */
  bool enginesRun(int Count) {
    return waitFor(10s, [&] {
      int Running = 0;
      for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
        Running += All.look("engine-" + std::to_string(n)).value("running", 0);
      return Running >= Count;
    });
  }

  int exitOf(const std::string &Name) {
    return All.process(Name).waitExit(20s).value_or(-1);
  }

  Fleet All;
  std::vector<std::string> Known;
};

/** Callers that keep to the contract, until they are stopped. */
struct Callers {
  Callers(const std::vector<std::string> &Known, size_t Count) {
    for (size_t n = 0; n < Count; ++n)
      Threads.emplace_back([this, Known, n] {
        ContractCaller Caller(Known);
        for (size_t i = 0; !Stop; ++i) {
          const bool Good =
              Caller.ask(std::to_string(n) + "-" + std::to_string(i)).Status ==
              200;
          ++(Good ? Whole : Failed);
        }
      });
  }
  ~Callers() { stop(); }
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  void stop() {
    Stop = true;
    for (std::thread &One : Threads)
      if (One.joinable())
        One.join();
  }

  bool waitWhole(int More) const {
    const int Before = Whole;
    return waitFor(10s, [&] { return Whole >= Before + More; });
  }

  std::atomic<bool> Stop{false};
  std::atomic<int> Whole{0};
  std::atomic<int> Failed{0};
  std::vector<std::thread> Threads;
};

bool isWhole(const Answer &Got) {
  return Got.Status == 200 && Got.Body.find("event: end") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Shutdown, Small)

// An entry is replaced while an answer streams; the caller's stream is cut, or
// its next request on the kept connection hangs. Cause: the process ended, or
// closed its listener, before the answer was in the caller's socket.
BOOST_AUTO_TEST_CASE(AnEntryFinishesItsStreamsAndSendsCallersElsewhere) {
  httplib::Client Kept("http://" + Known[0]);
  Kept.set_keep_alive(true);
  BOOST_REQUIRE(Kept.Get("/v1/entries"));
  Answer Stream;
  std::jthread Caller = stream(0, Stream);
  BOOST_REQUIRE(streamRuns(0));
  All.process("entry-0").signal(SIGTERM);
  BOOST_REQUIRE(
      waitFor(5s, [&] { return All.health(0).value("leaving", false); }));
  All.process("entry-0").signal(SIGTERM); // A second one changes nothing.
  const auto Refused =
      Kept.Post("/v1/classes/reports/requests", {{"X-Tenant", "huts"}},
                "{\"prompt\":\"x\"}", "application/json");
  BOOST_REQUIRE(Refused);
  const Json Said = Json::parse(Refused->body);
  BOOST_TEST(Said["error"]["kind"] == "leaving");
  BOOST_TEST(Said["error"]["ran"] == "no");
  BOOST_TEST(Said["entries"].size() == 2U);
  BOOST_TEST(Refused->get_header_value("Connection") == "close");
  Caller.join();
  BOOST_TEST(isWhole(Stream));
  BOOST_TEST(exitOf("entry-0") == 0);
}

BOOST_AUTO_TEST_CASE(AnAgentFinishesItsStreams) {
  std::vector<Answer> Streams(6);
  std::vector<std::jthread> Asking;
  for (size_t n = 0; n < Streams.size(); ++n)
    Asking.push_back(stream(n % 3, Streams[n]));
  for (size_t n = 0; n < 3; ++n)
    BOOST_TEST(streamRuns(n));
  BOOST_TEST(enginesRun(3));
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
    All.process("agent-m" + std::to_string(n)).signal(SIGTERM);
  for (std::jthread &One : Asking)
    One.join();
  for (const Answer &One : Streams)
    BOOST_TEST((isWhole(One) || One.json()["error"]["ran"] == "no"),
               One.Body.substr(0, 200));
  const auto Whole = std::count_if(Streams.begin(), Streams.end(), isWhole);
  BOOST_TEST(Whole >= 3); // Those that were seen running.
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
    BOOST_TEST(exitOf("agent-m" + std::to_string(n)) == 0);
}

BOOST_AUTO_TEST_CASE(AThirdOfAllProcessesAtOnce) {
  Callers Load(Known, 6);
  BOOST_REQUIRE(Load.waitWhole(50));
  const std::vector<std::string> Third = {"entry-0", "agent-m0", "agent-m3",
                                          "agent-s0"};
  for (const std::string &Name : Third)
    All.process(Name).signal(SIGTERM);
  for (const std::string &Name : Third)
    BOOST_TEST(exitOf(Name) == 0);
  BOOST_TEST(Load.waitWhole(50));
  Load.stop();
  BOOST_TEST(Load.Failed == 0);
}

BOOST_AUTO_TEST_CASE(ARollingReplacementOfAllEntries) {
  Callers Load(Known, 6);
  BOOST_REQUIRE(Load.waitWhole(50));
  for (size_t n = 0; n < All.Plan.Entries; ++n) {
    const std::string Name = "entry-" + std::to_string(n);
    All.process(Name).signal(SIGTERM);
    BOOST_TEST(exitOf(Name) == 0);
    All.restart(Name);
    BOOST_REQUIRE(
        waitFor(10s, [&] { return All.health(n).value("fresh", false); }));
  }
  BOOST_TEST(Load.waitWhole(50));
  Load.stop();
  BOOST_TEST(Load.Failed == 0);
  BOOST_TEST(Load.Whole > 150);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(TheTimeLimitCutsOffAndSaysSo) {
  FleetPlan Plan;
  Plan.EntrySettings = {{"shutdown_ms", 300}, {"leave_notice_ms", 0}};
  Small Fleet(Plan);
  Answer Stream;
  std::jthread Caller = Fleet.stream(0, Stream);
  BOOST_REQUIRE(Fleet.streamRuns(0));
  Fleet.All.process("entry-0").signal(SIGTERM);
  BOOST_TEST(Fleet.exitOf("entry-0") == 4);
  Caller.join();
  BOOST_TEST(Stream.Body.find("event: error") != std::string::npos);
}

// An agent is stopped while an answer streams that takes longer than the host
// leaves it. The host killed it then, in the middle of its work: no peer was
// told and no log line says what was cut off. Its settings tell it the time.
BOOST_AUTO_TEST_CASE(AnAgentEndsBeforeItsHostKillsIt) {
  FleetPlan Plan;
  Plan.ModelWorkers = 1;
  Plan.AgentSettings = {{"stop_grace_s", 3}};
  Small Fleet(Plan);
  Answer Stream;
  std::jthread Caller([&] {
    Ask Long;
    Long.Body["max_tokens"] = 2000;
    Long.Stream = true;
    Stream = Fleet.All.ask(0, Long);
  });
  BOOST_REQUIRE(Fleet.streamRuns(0));
  BOOST_REQUIRE(
      waitFor(5s, [&] { return Fleet.All.look("engine-0")["running"] == 1; }));
  Fleet.All.process("agent-m0").signal(SIGTERM);
  const auto Code = Fleet.All.process("agent-m0").waitExit(3s);
  BOOST_TEST(Code.value_or(-1) == 4);
  BOOST_TEST(Fleet.All.logOf("agent-m0").find("Shutdown cut off 1 attempts.") !=
             std::string::npos);
  Caller.join();
  BOOST_TEST(Stream.Body.find("event: error") != std::string::npos);
}
