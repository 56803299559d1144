/** @file attempt_recovery_test.cpp Attempts through lost links and agents. */
// Labels: promise-4 promise-5

#include "attempts/ended_attempts_func.h"
#include "base/hash_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

/** What an engine does with the attempt that it got last. */
struct Engine {
  Mesh &All;
  std::string Agent = All.Runs.back().first;
  AttemptId Which = All.Runs.back().second.Attempt;

  void begin() const {
    Effects Out;
    AgentState &At = All.Agents.at(Agent);
    engineBegan(At, Which, At.Weights.Loaded, Out);
    finish(Out);
  }
  void token(const std::string &Text) const {
    Effects Out;
    engineToken(All.Agents.at(Agent), Which, Text, All.Now, Out);
    finish(Out);
  }
  void end(uint64_t Count) const {
    Effects Out;
    AgentState &At = All.Agents.at(Agent);
    engineEnded(At, Which, {EngineEnd{Count, At.Weights.Loaded}, {}}, All.Now,
                Out);
    finish(Out);
  }
  void finish(const Effects &Out) const {
    All.perform(Agent, Out);
    All.pump();
  }
};

} // namespace

// A caller's stream stops in the middle because something between entry and
// agent lost track of their connection. New connections work. The engine goes
// on and finishes. The caller must get the rest, and nothing may run twice.
BOOST_AUTO_TEST_CASE(SilentLinkInMidStreamLosesNothing) {
  for (const int Before : {0, 1, 2, 3}) {
    Mesh All(1, 2, 0);
    const uint64_t Call = All.ask("e0", "reports");
    const Engine Host{All};
    auto &Wire = All.wire("e0", Host.Agent);
    for (int n = 0; n < 4; ++n) {
      Wire.Held = n >= Before;
      n == 0 ? Host.begin() : Host.token(std::to_string(n));
    }
    Wire.Held = true;
    Host.end(3);
    All.pass(milliseconds(4500));
    BOOST_TEST(All.Finals[Call].Whole);
    BOOST_TEST(All.Finals[Call].Text == "123");
    BOOST_TEST(All.Runs.size() == 1U);
    BOOST_TEST(All.Entries["e0"].Counters.Recovered == 1U);
  }
}

// A start is lost with its link. The agent is asked, says that it never saw
// it, and the entry tries elsewhere. Then the start arrives after all: it must
// not run, for the entry was told that it never will.
BOOST_AUTO_TEST_CASE(StartThatComesAfterItWasAskedForDoesNotRun) {
  Mesh All(1, 2, 0);
  All.wire("e0", "m0").Held = All.wire("e0", "m1").Held = true;
  const uint64_t Call = All.ask("e0", "reports");
  BOOST_TEST(All.Runs.empty());
  const HostName Worker =
      All.Entries["e0"].Calls.begin()->second.Attempt.Worker;
  All.wire("e0", Worker.Value == "m0" ? "m1" : "m0").Held = false;
  AttemptStart Late;
  for (auto &Wire : All.Wires)
    for (const auto &[Forward, m] : Wire.Queue)
      if (const auto *Start = std::get_if<AttemptStart>(&m))
        Late = *Start;
  All.pass(milliseconds(4500));
  BOOST_REQUIRE(All.Runs.size() == 1U);
  BOOST_TEST(All.Runs[0].second.Attempt.Value != Late.Attempt.Value);
  All.deliver(Worker.Value, All.wire("e0", Worker.Value).ToEnd, Late);
  All.pass(milliseconds(200));
  BOOST_TEST(All.Runs.size() == 1U);
  BOOST_TEST(All.Agents[Worker.Value].Counters.RepeatedStarts == 1U);
  Engine{All}.begin();
  Engine{All}.token("a");
  Engine{All}.end(1);
  BOOST_TEST(All.Finals[Call].Text == "a");
}

// A network device repeats a start. The first one is waiting, running, ended
// or refused when the second one comes: one run, one answer.
BOOST_AUTO_TEST_CASE(RepeatedStartRunsOnce) {
  for (const bool AfterEnd : {false, true}) {
    Mesh All(1, 0, 1);
    AttemptStart Seen;
    All.OnDelivery = [&](auto &, bool, const Message &m) {
      if (const auto *Start = std::get_if<AttemptStart>(&m))
        Seen = *Start;
    };
    if (!AfterEnd)
      All.SlowServices.insert("s0");
    All.ask("e0", "status");
    All.deliver("s0", All.wire("e0", "s0").ToEnd, Seen);
    BOOST_TEST(All.Records.size() == 1U);
    BOOST_TEST(All.Agents["s0"].Counters.RepeatedStarts == 1U);
  }
}

// Frames of an answer come late, crossed, twice or not at all. The caller gets
// the whole answer or an error; a short one never looks whole.
BOOST_AUTO_TEST_CASE(DisturbedFramesNeverMakeAShortAnswer) {
  // Frames 0..3, "b" begin and "e" end, in the order in which they arrive.
  const std::vector<std::pair<std::string, bool>> Orders = {
      {"b0123e", true},   {"b00112233e", true}, {"bb0123ee", true},
      {"b0123e3", true},  {"b1023e", false},    {"b023e", false},
      {"b012e", false},   {"be0123", false},    {"b0123x", false},
      {"b01x23e", false}, {"b3210e", false},    {"e", false},
      {"b0101123e", true}};
  for (const auto &[Order, Whole] : Orders) {
    BOOST_TEST_CONTEXT(Order) {
      Mesh All(1, 1, 0);
      const uint64_t Call = All.ask("e0", "reports");
      const AttemptId Which = All.Runs.back().second.Attempt;
      const LinkId End = All.wire("e0", "m0").FromEnd;
      const std::string Text = "wxyz";
      for (const char c : Order) {
        Message m = AttemptBegun{Which, All.Agents["m0"].Weights.Loaded};
        if (c == 'e')
          m = AnswerEnd{Which, 4, sha256(Text), 200};
        else if (c == 'x')
          m = AnswerEnd{Which, 4, sha256("other"), 200};
        else if (c != 'b')
          m = AnswerFrame{Which, uint64_t(c - '0'),
                          std::string(1, Text.at(size_t(c - '0')))};
        All.deliver("e0", End, m);
      }
      BOOST_TEST(All.Finals[Call].Whole == Whole);
      if (Whole)
        BOOST_TEST(All.Finals[Call].Text == Text);
    }
  }
}

// Frames of another attempt arrive at a call: they are dropped.
BOOST_AUTO_TEST_CASE(CrossedAnswersStayApart) {
  Mesh All(1, 1, 0);
  const uint64_t First = All.ask("e0", "reports", "", "", "1");
  const Engine A{All};
  const uint64_t Second = All.ask("e0", "reports", "", "", "2");
  const Engine B{All};
  A.begin();
  B.begin();
  B.token("b");
  A.token("a");
  B.end(1);
  A.end(1);
  BOOST_TEST(All.Finals[First].Text == "a");
  BOOST_TEST(All.Finals[Second].Text == "b");
}

// The agent that runs a request dies. A repeatable one runs elsewhere; when
// that worker refuses it as not run, the caller must not be told "not run",
// since the first one may have run it.
BOOST_AUTO_TEST_CASE(RefusalAfterALostAttemptIsNotNotRun) {
  Mesh All(1, 0, 2);
  All.SlowServices = {"s0", "s1"};
  const uint64_t Call = All.ask("e0", "status");
  BOOST_REQUIRE(All.Records.size() == 1U);
  const std::string First = All.Records[0].first;
  const std::string Other = First == "s0" ? "s1" : "s0";
  Effects Out;
  agentStop(All.Agents[Other], All.Now, Out);
  All.kill(First);
  All.pass(milliseconds(3000));
  BOOST_REQUIRE(All.Finals.contains(Call));
  BOOST_TEST((All.Finals[Call].Executed == Ran::Unknown));
}

// More attempts end than an agent remembers. It must not say "never seen" of
// one that it forgot, for the entry would tell the caller "not run".
BOOST_AUTO_TEST_CASE(ForgottenAttemptsAreNotVouchedFor) {
  EndedAttempts Ended;
  const TimePoint Now{std::chrono::hours(1)};
  for (size_t n = 0; n <= MaxEndedAttempts; ++n) {
    EndedAttempt One;
    One.Frames.emplace_back(size_t{2048}, 'x');
    One.ForgetAt = Now + EndedRetention + milliseconds(n);
    rememberEnded(Ended, AttemptId{std::to_string(n)}, std::move(One), Now);
  }
  BOOST_TEST(Ended.ById.size() == MaxEndedAttempts);
  BOOST_TEST(Ended.FrameBytes <= MaxEndedBytes);
  BOOST_TEST(!isEndedComplete(Ended, Now));
  BOOST_TEST(isEndedComplete(Ended, Now + EndedRetention));
  expireEnded(Ended, Now + 2 * EndedRetention);
  BOOST_TEST(Ended.ById.empty());
  BOOST_TEST(Ended.FrameBytes == 0U);
}

// An engine turns cold in the middle of its work. The agent gets little
// processor time, so that the tick which would notice it comes late; meanwhile
// each answer that ends lets another request begin, and keeps the engine cold.
BOOST_AUTO_TEST_CASE(NothingBeginsWhileMostAnswersStall) {
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits.Warm = Agent.Gate.Limit = 8;
  Agent.Gate.Pace.Warm = milliseconds(10);
  for (int n = 0; n < 2; ++n) {
    All.ask("e0", "reports");
    const Engine Host{All};
    Host.begin();
    Host.token("a");
  }
  BOOST_TEST(All.Runs.size() == 2U);
  All.Now += milliseconds(60);
  All.ask("e0", "reports");
  BOOST_TEST(All.Runs.size() == 2U);
  const Engine Last{All};
  Last.token("b");
  Last.end(2);
  All.pass(milliseconds(300));
  BOOST_TEST(All.Runs.size() == 3U);
}

// An engine turns cold and says nothing of it. Answers whose last token was
// already under way end in time, and others take their places: nothing is late
// yet. From the moment on at which most answers are silent for longer than a
// warm engine's tokens take, nothing more begins.
BOOST_AUTO_TEST_CASE(UntilATokenIsLateEndedAnswersAreReplaced) {
  constexpr size_t Running = 16;
  constexpr size_t Waiting = 8;
  constexpr size_t InTime = 6;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits.Warm = Agent.Gate.Limit = Running;
  Agent.Gate.Pace.Warm = milliseconds(10);
  std::vector<Engine> Hosts;
  for (size_t n = 0; n < Running; ++n) {
    All.ask("e0", "reports", "", "", std::to_string(n));
    Hosts.push_back(Engine{All});
    Hosts.back().begin();
    Hosts.back().token("a");
  }
  for (size_t n = 0; n < Waiting; ++n)
    All.ask("e0", "reports", "", "", "w" + std::to_string(n));
  BOOST_REQUIRE(All.Runs.size() == Running);
  All.Now += milliseconds(12);
  for (size_t n = 0; n < InTime; ++n)
    Hosts[n].end(1);
  BOOST_TEST(All.Runs.size() == Running + InTime);
  All.Now += milliseconds(29);
  for (size_t n = InTime; n < InTime + 2; ++n)
    Hosts[n].end(1);
  BOOST_TEST(All.Runs.size() == Running + InTime);
}

// A cold engine completed enough for a try whether it bears twice as much. It
// does not, and each token takes ten times as long. One answer of before is at
// its last token and ends so late that the try shows in nothing else yet;
// another takes its place. From the first late tokens on nothing begins.
BOOST_AUTO_TEST_CASE(ATryOfALargerLimitEndsWithTheFirstLateTokens) {
  constexpr uint32_t Cold = 2;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {16, Cold, 32, 8};
  Agent.Gate.Limit = Cold;
  Agent.Gate.Pace.Warm = milliseconds(10);
  auto Ask = [&, n = 0]() mutable {
    All.ask("e0", "reports", "", "", std::to_string(n++));
  };
  Ask();
  const Engine Older{All};
  Older.begin();
  Older.token("a");
  for (uint32_t n = 0; n < Agent.Gate.Limits.WarmAfter; ++n) {
    Ask();
    const Engine Host{All};
    Host.begin();
    Host.token("a");
    Host.end(1);
  }
  BOOST_REQUIRE(Agent.Gate.Limit == 2 * Cold);
  std::vector<Engine> Tried;
  for (uint32_t n = 1; n < 2 * Cold; ++n) {
    Ask();
    Tried.push_back(Engine{All});
    Tried.back().begin();
  }
  for (uint32_t n = 0; n < Cold; ++n)
    Ask();
  const size_t Before = All.Runs.size();
  All.Now += milliseconds(100);
  Older.token("b");
  Older.end(2);
  BOOST_TEST(All.Runs.size() == Before + 1);
  for (const Engine &One : Tried)
    One.token("a");
  All.Now += milliseconds(41);
  Tried.front().end(1);
  BOOST_TEST(All.Runs.size() == Before + 1);
}

// An engine turns cold between two looks at it, and its first slow tokens come
// just before the second look. By then most answers have a fresh token and look
// well again, and until enough gaps are seen each answer that ends lets another
// request begin.
BOOST_AUTO_TEST_CASE(TheFirstSlowTokenShowsThatTheOthersAreSilent) {
  constexpr size_t Running = 16;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {Running, 2, 32, 8};
  Agent.Gate.Limit = Running;
  Agent.Gate.Pace.Warm = milliseconds(10);
  std::vector<Engine> Hosts;
  for (size_t n = 0; n < Running; ++n) {
    All.ask("e0", "reports", "", "", std::to_string(n));
    Hosts.push_back(Engine{All});
    Hosts.back().begin();
    Hosts.back().token("a");
  }
  All.ask("e0", "reports", "", "", "waits");
  BOOST_REQUIRE(All.Runs.size() == Running);
  All.Now += milliseconds(100);
  for (const Engine &One : Hosts)
    One.token("b");
  Hosts.front().end(2);
  BOOST_TEST(All.Runs.size() == Running);
  BOOST_TEST(Agent.Gate.Limit == 2U);
}

// The agent itself got no time for a while. All tokens come late then, though
// the engine made them in time, and its limit must not fall.
BOOST_AUTO_TEST_CASE(AfterAPauseOfTheAgentSlowTokensShowNothing) {
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {16, 2, 32, 8};
  Agent.Gate.Limit = 16;
  Agent.Gate.Pace.Warm = milliseconds(10);
  std::vector<Engine> Hosts;
  for (size_t n = 0; n < 4; ++n) {
    All.ask("e0", "reports", "", "", std::to_string(n));
    Hosts.push_back(Engine{All});
    Hosts.back().begin();
    Hosts.back().token("a");
  }
  All.Now += milliseconds(400);
  for (const Engine &One : Hosts)
    One.token("b");
  BOOST_TEST(Agent.Gate.Limit == 16U);
}
