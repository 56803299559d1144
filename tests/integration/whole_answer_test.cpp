/** @file whole_answer_test.cpp Every caller gets its own whole answer. */
// Labels: promise-4

#include "fleet/fleet.h"

#include "base/hash_func.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr size_t Callers = 125;
constexpr size_t RequestsEach = 8;
constexpr size_t Tokens = 24;
constexpr size_t Workers = 4;

/** The answer that the engine stand-in gives to a body on a set of weights. */
std::string rightAnswer(const std::string &Body, const std::string &Weights) {
  std::string Text;
  for (size_t n = 0; n < Tokens; ++n)
    Text += jacinthpond::sha256(Body + "|" + Weights + "|" + std::to_string(n))
                .Value.substr(0, 8) +
            " ";
  return Text;
}

/** What came of all requests. */
struct Outcome {
  std::atomic<size_t> Whole{0};  ///< Answered.
  std::atomic<size_t> Wrong{0};  ///< Answered, but not as the engine does.
  std::atomic<size_t> Errors{0}; ///< Refused or broken off, and said so.
};

void check(const Ask &What, const Answer &Got, Outcome &Into) {
  if (Got.Status != 200) {
    ++Into.Errors;
    return;
  }
  if (!What.Stream) {
    const Json Body = Got.json();
    const std::string Right =
        rightAnswer(What.Body.dump(), Body.value("weights", ""));
    ++(Body.value("text", "") == Right ? Into.Whole : Into.Wrong);
    return;
  }
  std::string Text;
  std::string Weights;
  for (size_t At = 0;
       (At = Got.Body.find("data: ", At)) != std::string::npos;) {
    At += 6;
    const Json Event = Json::parse(
        Got.Body.substr(At, Got.Body.find('\n', At) - At), nullptr, false);
    Text += Event.value("text", "");
    Weights = Event.value("weights", Weights);
  }
  if (Got.Body.find("event: end") == std::string::npos)
    ++Into.Errors;
  else
    ++(Text == rightAnswer(What.Body.dump(), Weights) ? Into.Whole
                                                      : Into.Wrong);
}

} // namespace

// A thousand requests with answers of their own are under way, 125 at a time,
// while connections between entries and agents are cut or go silent for good,
// and one engine dies in the middle of its streams. Each answer is compared
// with what the engine must say: it is whole and the caller's own, or an error.
BOOST_AUTO_TEST_CASE(AnswersAreWholeThroughKilledConnections) {
  FleetPlan Plan;
  Plan.ModelWorkers = Workers;
  Plan.ServiceWorkers = 0;
  Plan.ProxyAgents = true;
  Plan.EngineOptions = {{"token_ms", 8}, {"bears", 64}};
  Plan.AgentSettings = {
      {"warm_limit", 64}, {"cold_limit", 64}, {"queue_limit", 256}};
  Fleet All(Plan);
  BOOST_REQUIRE(All.waitServing(30s));
  std::vector<std::string> At;
  for (size_t n = 0; n < Plan.Entries; ++n)
    At.push_back(All.address("entry-" + std::to_string(n), "callers"));
  Outcome Sum;
  std::atomic<size_t> Ended{0};
  std::vector<std::thread> Threads;
  for (size_t n = 0; n < Callers; ++n)
    Threads.emplace_back([&, n] {
      for (size_t i = 0; i < RequestsEach; ++i) {
        Ask What;
        What.Body = {{"prompt", std::to_string(n) + "/" + std::to_string(i)},
                     {"max_tokens", Tokens}};
        What.Stream = (n + i) % 2 == 0;
        check(What, askAt(At[(n + i) % At.size()], What), Sum);
      }
      ++Ended;
    });
  for (size_t n = 0; Ended < Callers; ++n) {
    std::this_thread::sleep_for(200ms);
    const std::string Proxy = "proxy-m" + std::to_string(n % Workers);
    All.control(Proxy, {{n % 3 == 0 ? "lose" : "cut", true}});
    if (n == 3)
      All.process("engine-3").kill();
  }
  for (std::thread &One : Threads)
    One.join();
  BOOST_TEST_MESSAGE("whole " << Sum.Whole << ", errors " << Sum.Errors
                              << ", wrong " << Sum.Wrong);
  BOOST_TEST(Sum.Wrong == 0U);
  BOOST_TEST(Sum.Whole + Sum.Errors == Callers * RequestsEach);
  BOOST_TEST(Sum.Whole * 2 > Callers * RequestsEach);
}
