/** @file attempt_recovery_test.cpp Tests of attempts when links, agents or back
 * ends fail. */
// Labels: promise-4 promise-5

#include "attempts/ended_attempts_func.h"
#include "base/hash_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

/** Drives the engine's side of the attempt that was sent to an engine last. */
struct RunDriver {
  Mesh &All;
  std::string Agent = All.EngineRequests.back().first;
  AttemptId Which = All.EngineRequests.back().second.Attempt;

  /** Reports that the engine has begun the attempt. */
  void begin() const {
    Effects Out;
    AgentState &At = All.Agents.at(Agent);
    handleEngineStart(At, Which, At.Weights.Loaded, Out);
    deliverEffects(Out);
  }
  /** Delivers a token of the answer to the agent. */
  void token(const std::string &Text) const {
    Effects Out;
    handleEngineToken(All.Agents.at(Agent), Which, Text, All.Now, Out);
    deliverEffects(Out);
  }
  /** Ends the answer; Count is the number of tokens that the engine reports. */
  void end(uint64_t Count) const {
    Effects Out;
    AgentState &At = All.Agents.at(Agent);
    handleEngineEnd(At, Which, {EngineEnd{Count, At.Weights.Loaded}, {}},
                    All.Now, Out);
    deliverEffects(Out);
  }
  /** Performs the agent's effects and delivers the resulting messages. */
  void deliverEffects(const Effects &Out) const {
    All.perform(Agent, Out);
    All.deliverAll();
  }
};

} // namespace

// A network device between entry and agent drops the state of their connection
// in the middle of a stream; new connections work. The engine finishes the
// answer. The caller must get the rest, and nothing may run twice.
BOOST_AUTO_TEST_CASE(SilentLinkInMidStreamLosesNoFrames) {
  for (const int Before : {0, 1, 2, 3}) {
    Mesh All(1, 2, 0);
    const uint64_t Call = All.sendRequest("e0", "reports");
    const RunDriver Driver{All};
    auto &Wire = All.findWire("e0", Driver.Agent);
    for (int n = 0; n < 4; ++n) {
      Wire.Held = n >= Before;
      n == 0 ? Driver.begin() : Driver.token(std::to_string(n));
    }
    Wire.Held = true;
    Driver.end(3);
    All.advanceTime(milliseconds(4500));
    BOOST_TEST(All.Finals[Call].Whole);
    BOOST_TEST(All.Finals[Call].Text == "123");
    BOOST_TEST(All.EngineRequests.size() == 1U);
    BOOST_TEST(All.Entries["e0"].Counters.Recovered == 1U);
  }
}

// An AttemptStart is lost with its link. The agent answers a query that it has
// never seen the attempt, and the entry retries elsewhere. If the AttemptStart
// arrives after all, it must not run, as the entry relies on that answer.
BOOST_AUTO_TEST_CASE(StartThatArrivesAfterAQueryDoesNotRun) {
  Mesh All(1, 2, 0);
  All.findWire("e0", "m0").Held = All.findWire("e0", "m1").Held = true;
  const uint64_t Call = All.sendRequest("e0", "reports");
  BOOST_TEST(All.EngineRequests.empty());
  const HostName Worker =
      All.Entries["e0"].Calls.begin()->second.Attempt.Worker;
  All.findWire("e0", Worker.Value == "m0" ? "m1" : "m0").Held = false;
  AttemptStart Late;
  for (auto &Wire : All.Wires)
    for (const auto &[Forward, m] : Wire.Queue)
      if (const auto *Start = std::get_if<AttemptStart>(&m))
        Late = *Start;
  All.advanceTime(milliseconds(4500));
  BOOST_REQUIRE(All.EngineRequests.size() == 1U);
  BOOST_TEST(All.EngineRequests[0].second.Attempt.Value != Late.Attempt.Value);
  All.deliver(Worker.Value, All.findWire("e0", Worker.Value).ToEnd, Late);
  All.advanceTime(milliseconds(200));
  BOOST_TEST(All.EngineRequests.size() == 1U);
  BOOST_TEST(All.Agents[Worker.Value].Counters.RepeatedStarts == 1U);
  RunDriver{All}.begin();
  RunDriver{All}.token("a");
  RunDriver{All}.end(1);
  BOOST_TEST(All.Finals[Call].Text == "a");
}

// A network device repeats an AttemptStart while the first one is running or
// has ended. There must be one run and one answer.
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
    All.sendRequest("e0", "status");
    All.deliver("s0", All.findWire("e0", "s0").ToEnd, Seen);
    BOOST_TEST(All.ServiceCalls.size() == 1U);
    BOOST_TEST(All.Agents["s0"].Counters.RepeatedStarts == 1U);
  }
}

// Frames of an answer arrive late, reordered, twice or not at all. The caller
// must get the complete answer or an error, never a truncated answer.
BOOST_AUTO_TEST_CASE(DisturbedFramesNeverTruncateAnAnswer) {
  // Order of arrival: frames 0 to 3, "b" AttemptStarted, "e" AnswerEnd, "x" an
  // AnswerEnd with a wrong digest.
  const std::vector<std::pair<std::string, bool>> Orders = {
      {"b0123e", true},   {"b00112233e", true}, {"bb0123ee", true},
      {"b0123e3", true},  {"b1023e", false},    {"b023e", false},
      {"b012e", false},   {"be0123", false},    {"b0123x", false},
      {"b01x23e", false}, {"b3210e", false},    {"e", false},
      {"b0101123e", true}};
  for (const auto &[Order, Whole] : Orders) {
    BOOST_TEST_CONTEXT(Order) {
      Mesh All(1, 1, 0);
      const uint64_t Call = All.sendRequest("e0", "reports");
      const AttemptId Which = All.EngineRequests.back().second.Attempt;
      const LinkId End = All.findWire("e0", "m0").FromEnd;
      const std::string Text = "wxyz";
      for (const char c : Order) {
        Message m = AttemptStarted{Which, All.Agents["m0"].Weights.Loaded};
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

// Frames of two attempts arrive interleaved over one link. Each call must get
// its own answer.
BOOST_AUTO_TEST_CASE(InterleavedAnswersStayApart) {
  Mesh All(1, 1, 0);
  const uint64_t First = All.sendRequest("e0", "reports", "", "", "1");
  const RunDriver A{All};
  const uint64_t Second = All.sendRequest("e0", "reports", "", "", "2");
  const RunDriver B{All};
  A.begin();
  B.begin();
  B.token("b");
  A.token("a");
  B.end(1);
  A.end(1);
  BOOST_TEST(All.Finals[First].Text == "a");
  BOOST_TEST(All.Finals[Second].Text == "b");
}

// The agent that runs a repeatable request dies, and the retry at another
// worker is refused as not run. The caller must not be told "not run", since
// the first worker may have run the request.
BOOST_AUTO_TEST_CASE(RefusalAfterALostAttemptDoesNotMeanNotRun) {
  Mesh All(1, 0, 2);
  All.SlowServices = {"s0", "s1"};
  const uint64_t Call = All.sendRequest("e0", "status");
  BOOST_REQUIRE(All.ServiceCalls.size() == 1U);
  const std::string First = All.ServiceCalls[0].first;
  const std::string Other = First == "s0" ? "s1" : "s0";
  Effects Out;
  beginAgentShutdown(All.Agents[Other], All.Now, Out);
  All.kill(First);
  All.advanceTime(milliseconds(3000));
  BOOST_REQUIRE(All.Finals.contains(Call));
  BOOST_TEST((All.Finals[Call].Executed == Ran::Unknown));
}

// More attempts end than an agent keeps a record of. It must not report one
// that it removed as never seen, since the entry would tell the caller "not
// run".
BOOST_AUTO_TEST_CASE(ForgottenAttemptsAreNotReportedAsNeverSeen) {
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
  BOOST_TEST(!hasAllEndedAttempts(Ended, Now));
  BOOST_TEST(hasAllEndedAttempts(Ended, Now + EndedRetention));
  expireEnded(Ended, Now + 2 * EndedRetention);
  BOOST_TEST(Ended.ById.empty());
  BOOST_TEST(Ended.FrameBytes == 0U);
}

// An engine turns cold while it runs requests. The agent gets little processor
// time, so that the tick that would detect it comes late. In the meantime each
// ended answer let another request start, which kept the engine cold.
BOOST_AUTO_TEST_CASE(NoRequestStartsWhileMostAnswersStall) {
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits.Warm = Agent.Gate.Limit = 8;
  Agent.Gate.Pace.WarmGap = milliseconds(10);
  for (int n = 0; n < 2; ++n) {
    All.sendRequest("e0", "reports");
    const RunDriver Driver{All};
    Driver.begin();
    Driver.token("a");
  }
  BOOST_TEST(All.EngineRequests.size() == 2U);
  All.Now += milliseconds(60);
  All.sendRequest("e0", "reports");
  BOOST_TEST(All.EngineRequests.size() == 2U);
  const RunDriver Last{All};
  Last.token("b");
  Last.end(2);
  All.advanceTime(milliseconds(300));
  BOOST_TEST(All.EngineRequests.size() == 3U);
}

// An engine turns cold without reporting it. Answers whose last token was
// already under way end on time, and queued requests may start, since no token
// is late yet. Once most answers are without a token for longer than the usual
// gaps of a warm engine, no request may start.
BOOST_AUTO_TEST_CASE(RequestsStartUntilTokensAreLate) {
  constexpr size_t Running = 16;
  constexpr size_t Waiting = 8;
  constexpr size_t OnTime = 6;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits.Warm = Agent.Gate.Limit = Running;
  Agent.Gate.Pace.WarmGap = milliseconds(10);
  std::vector<RunDriver> Drivers;
  for (size_t n = 0; n < Running; ++n) {
    All.sendRequest("e0", "reports", "", "", std::to_string(n));
    Drivers.push_back(RunDriver{All});
    Drivers.back().begin();
    Drivers.back().token("a");
  }
  for (size_t n = 0; n < Waiting; ++n)
    All.sendRequest("e0", "reports", "", "", "w" + std::to_string(n));
  BOOST_REQUIRE(All.EngineRequests.size() == Running);
  All.Now += milliseconds(12);
  for (size_t n = 0; n < OnTime; ++n)
    Drivers[n].end(1);
  BOOST_TEST(All.EngineRequests.size() == Running + OnTime);
  All.Now += milliseconds(29);
  for (size_t n = OnTime; n < OnTime + 2; ++n)
    Drivers[n].end(1);
  BOOST_TEST(All.EngineRequests.size() == Running + OnTime);
}

// A cold engine has completed enough requests for a trial of twice the limit,
// but then each token takes ten times as long. An older answer ends before any
// other token is late, so that one more request starts. After the first late
// tokens no request may start.
BOOST_AUTO_TEST_CASE(LateTokensEndTheTrialOfALargerLimit) {
  constexpr uint32_t Cold = 2;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {16, Cold, 32, 8};
  Agent.Gate.Limit = Cold;
  Agent.Gate.Pace.WarmGap = milliseconds(10);
  auto Ask = [&, n = 0]() mutable {
    All.sendRequest("e0", "reports", "", "", std::to_string(n++));
  };
  Ask();
  const RunDriver Older{All};
  Older.begin();
  Older.token("a");
  for (uint32_t n = 0; n < Agent.Gate.Limits.WarmAfter; ++n) {
    Ask();
    const RunDriver Driver{All};
    Driver.begin();
    Driver.token("a");
    Driver.end(1);
  }
  BOOST_REQUIRE(Agent.Gate.Limit == 2 * Cold);
  std::vector<RunDriver> Trial;
  for (uint32_t n = 1; n < 2 * Cold; ++n) {
    Ask();
    Trial.push_back(RunDriver{All});
    Trial.back().begin();
  }
  for (uint32_t n = 0; n < Cold; ++n)
    Ask();
  const size_t Before = All.EngineRequests.size();
  All.Now += milliseconds(100);
  Older.token("b");
  Older.end(2);
  BOOST_TEST(All.EngineRequests.size() == Before + 1);
  for (const RunDriver &One : Trial)
    One.token("a");
  All.Now += milliseconds(41);
  Trial.front().end(1);
  BOOST_TEST(All.EngineRequests.size() == Before + 1);
}

// An engine turns cold between two ticks, and its first slow tokens arrive just
// before the second one. At that tick most answers have a recent token and are
// not stalled. Until enough gaps were seen, each ended answer let another
// request start.
BOOST_AUTO_TEST_CASE(FirstSlowTokenLowersTheLimitAtOnce) {
  constexpr size_t Running = 16;
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {Running, 2, 32, 8};
  Agent.Gate.Limit = Running;
  Agent.Gate.Pace.WarmGap = milliseconds(10);
  std::vector<RunDriver> Drivers;
  for (size_t n = 0; n < Running; ++n) {
    All.sendRequest("e0", "reports", "", "", std::to_string(n));
    Drivers.push_back(RunDriver{All});
    Drivers.back().begin();
    Drivers.back().token("a");
  }
  All.sendRequest("e0", "reports", "", "", "waits");
  BOOST_REQUIRE(All.EngineRequests.size() == Running);
  All.Now += milliseconds(100);
  for (const RunDriver &One : Drivers)
    One.token("b");
  Drivers.front().end(2);
  BOOST_TEST(All.EngineRequests.size() == Running);
  BOOST_TEST(Agent.Gate.Limit == 2U);
}

// The agent itself got no processor time for a while. All tokens then arrive
// late although the engine produced them on time, and the limit must not fall.
BOOST_AUTO_TEST_CASE(SlowTokensAfterAPauseOfTheAgentAreIgnored) {
  Mesh All(1, 1, 0);
  AgentState &Agent = All.Agents.begin()->second;
  Agent.Gate.Limits = {16, 2, 32, 8};
  Agent.Gate.Limit = 16;
  Agent.Gate.Pace.WarmGap = milliseconds(10);
  std::vector<RunDriver> Drivers;
  for (size_t n = 0; n < 4; ++n) {
    All.sendRequest("e0", "reports", "", "", std::to_string(n));
    Drivers.push_back(RunDriver{All});
    Drivers.back().begin();
    Drivers.back().token("a");
  }
  All.Now += milliseconds(400);
  for (const RunDriver &One : Drivers)
    One.token("b");
  BOOST_TEST(Agent.Gate.Limit == 16U);
}
