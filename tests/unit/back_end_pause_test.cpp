/** @file back_end_pause_test.cpp Pauses that an agent's back end asks for. */
// Labels: promise-6 admission

#include "admission/server_backoff_func.h"
#include "attempts/keyed_call_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

constexpr Millis Pause{2000};

/** Ends the request that an engine got last: it refused, and asked for a pause.
 */
void refuseLastRun(Mesh &All, Millis RetryAfter = Pause) {
  const auto [Agent, Request] = All.EngineRequests.back();
  Effects Out;
  handleEngineEnd(
      All.Agents.at(Agent), Request.Attempt,
      {std::nullopt, {ErrorKind::Unreachable, "engine refused", RetryAfter}},
      All.Now, Out);
  All.perform(Agent, Out);
  All.deliverAll();
}

/** Counts the requests that the engine of an agent got. */
size_t countRuns(const Mesh &All, const std::string &Agent) {
  return static_cast<size_t>(
      std::ranges::count(All.EngineRequests, Agent,
                         &std::pair<std::string, EngineRequest>::first));
}

/** Sends a booking with a home token through an entry. */
uint64_t book(Mesh &All) {
  const std::string Token = makeHomeToken(All.Entries.at("e0"), {"bookings"});
  return All.sendRequest("e0", "bookings", "key", Token);
}

/** Answers the last call to a service with status 503 and a pause. */
void refuseLastCall(Mesh &All) {
  const auto [Agent, Call] = All.ServiceCalls.back();
  Effects Out;
  handleServiceAnswer(All.Agents.at(Agent), Call.Attempt,
                      {ServiceAnswer{503, "later", Pause}, {}}, All.Now, Out);
  All.perform(Agent, Out);
  All.deliverAll();
}

} // namespace

// Guards against requests to an engine that has asked its agent for a pause,
// and against callers that wait for it while another engine could run them.
BOOST_AUTO_TEST_CASE(APausedEngineGetsNothing) {
  Mesh All(1, 2, 0);
  All.sendRequest("e0", "reports");
  const std::string Paused = All.EngineRequests.back().first;
  refuseLastRun(All);
  BOOST_TEST(All.EngineRequests.back().first != Paused);
  for (int n = 0; n < 10; ++n) {
    All.sendRequest("e0", "reports");
    All.advanceTime(milliseconds(100));
  }
  BOOST_TEST(countRuns(All, Paused) == 1U);
  All.advanceTime(Pause);
  for (int n = 0; n < 10; ++n)
    All.sendRequest("e0", "reports");
  BOOST_TEST(countRuns(All, Paused) > 1U);
}

// Guards against attempts that wait in the queue of an agent and are started
// when a slot is released during the pause.
BOOST_AUTO_TEST_CASE(QueuedAttemptsAreNotStartedDuringAPause) {
  Mesh All(1, 1, 0);
  All.Agents.at("m0").Gate.Limits = {1, 1, 32, 8};
  All.Agents.at("m0").Gate.Limit = 1;
  All.sendRequest("e0", "reports");
  const uint64_t Waiting = All.sendRequest("e0", "reports");
  refuseLastRun(All);
  BOOST_TEST(countRuns(All, "m0") == 1U);
  BOOST_REQUIRE(All.Finals.contains(Waiting));
  BOOST_CHECK(All.Finals[Waiting].Executed == Ran::No);
}

// Guards against a keyed call that is sent during the pause, and against one
// that is refused although it can wait for the end: only its home may run it.
BOOST_AUTO_TEST_CASE(AKeyedCallWaitsForTheEndOfAPause) {
  Mesh All(1, 0, 1);
  All.SlowServices.insert("s0");
  All.sendRequest("e0", "status");
  refuseLastCall(All);
  const uint64_t Call = book(All);
  All.advanceTime(Pause - milliseconds(100));
  BOOST_TEST(All.ServiceCalls.size() == 1U);
  BOOST_TEST(!All.Finals.contains(Call));
  All.advanceTime(milliseconds(200));
  BOOST_TEST(All.ServiceCalls.size() == 2U);
  All.answerServiceCall("s0", All.ServiceCalls.back().second.Attempt);
  BOOST_TEST(All.Finals[Call].Whole);
}

// Guards against a keyed call that is held although its deadline comes before
// the end of the pause.
BOOST_AUTO_TEST_CASE(AKeyedCallThatCannotWaitIsRefusedAtOnce) {
  Mesh All(1, 0, 1);
  All.SlowServices.insert("s0");
  All.Doc["classes"][1]["deadline_ms"] = 1000;
  All.Doc["version"] = 2;
  All.publish();
  All.advanceTime(milliseconds(500));
  All.sendRequest("e0", "status");
  refuseLastCall(All);
  const uint64_t Call = book(All);
  BOOST_REQUIRE(All.Finals.contains(Call));
  BOOST_CHECK(All.Finals[Call].Executed == Ran::No);
  BOOST_TEST(All.ServiceCalls.size() == 1U);
}

// Guards against a new run of an engine that is spared for what the former one
// asked for.
BOOST_AUTO_TEST_CASE(ANewRunHasAskedForNothing) {
  Mesh All(1, 1, 0);
  All.sendRequest("e0", "reports");
  refuseLastRun(All, Millis(60000));
  BOOST_TEST(All.Agents.at("m0").Counters.Pauses == 1U);
  All.reportWeightsLoaded("m0"); // The same run as before.
  All.sendRequest("e0", "reports");
  BOOST_TEST(countRuns(All, "m0") == 1U);
  EngineState State;
  State.Run = "another run";
  State.Weights = All.Agents.at("m0").Weights.Wanted.Set;
  AgentState &Agent = All.Agents.at("m0");
  for (int n = 0; n < 2; ++n) { // The first one shows the restart.
    Effects Out;
    handleEngineReport(Agent, {State, {}}, Agent.Weights.OrdersEnded, All.Now,
                       Out);
    All.perform("m0", Out);
    All.advanceTime(milliseconds(200));
  }
  BOOST_TEST(!isPaused(Agent.Backoff, All.Now));
}
