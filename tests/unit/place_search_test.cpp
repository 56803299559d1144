/** @file place_search_test.cpp Searching for an idle back end before a busy one
 * is accepted. */
// Labels: routes admission

#include "admission/reading_func.h"
#include "base/random_func.h"
#include "forwarding/place_search_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

using namespace jacinthpond;

namespace {

constexpr size_t BackEnds = 27;
constexpr double TokensPerSecond = 31900;
constexpr uint32_t PromptTokens = 1000; // 31 ms of prefill.
/** Requests per second that keep each back end busy with prefill for a third of
 * its time. */
constexpr double RequestsPerSecond =
    0.33 * BackEnds * TokensPerSecond / PromptTokens;

const InstanceId A{"a"};
const InstanceId B{"b"};

/** Gives a random number from 0 to 1, without 1. */
double randomFraction(uint64_t &Random) {
  return static_cast<double>(nextRandom(Random) >> 11U) /
         static_cast<double>(uint64_t{1} << 53U);
}

/** Back ends that entries choose at random, as reported loads are too old. */
struct FleetModel {
  FleetModel() : Debts(BackEnds) {
    for (PrefillQueue &One : Debts)
      One.TokensPerSecond = TokensPerSecond;
  }

  /** Sends a request, and gives the prefill backlog at the back end that
   * accepts it. */
  Duration sendRequest(bool Search) {
    SlotSearch State;
    std::set<size_t> Asked;
    for (;;) {
      size_t n = nextRandom(Random) % BackEnds;
      while (Asked.contains(n))
        n = nextRandom(Random) % BackEnds;
      Asked.insert(n);
      const Duration Left = prefillTimeLeft(Debts[n], Now);
      const Millis Most = Search ? maxPrefillBacklog(State) : Millis{0};
      recordSlotRequest(State);
      if (Most.count() > 0 && Left > Most)
        continue;
      addPrompt(Debts[n], PromptTokens, Now);
      return Left;
    }
  }

  /** Gives the 95th percentile of the backlog that the requests of one minute
   * find. */
  Duration backlogPercentile(bool Search) {
    std::vector<Duration> Found;
    const TimePoint End = Now + std::chrono::minutes(1);
    while (Now < End) {
      Found.push_back(sendRequest(Search));
      const std::chrono::duration<double> Pause(
          -std::log(1 - randomFraction(Random)) / RequestsPerSecond);
      Now += std::chrono::duration_cast<Duration>(Pause);
    }
    std::ranges::sort(Found);
    return Found[Found.size() * 95 / 100];
  }

  std::vector<PrefillQueue> Debts;
  TimePoint Now{std::chrono::hours(1)};
  uint64_t Random = 42;
};

} // namespace

// Guards against prompts that queue at some back ends while most are idle,
// which delays first tokens: nine entries choose among 27 back ends by load
// reports that are older than the prefill of a prompt takes.
BOOST_AUTO_TEST_CASE(PromptsDoNotQueueWhileBackEndsAreIdle) {
  const Duration WithoutSearch = FleetModel().backlogPercentile(false);
  const Duration WithSearch = FleetModel().backlogPercentile(true);
  BOOST_TEST(toMillis(WithoutSearch).count() > 30);
  BOOST_TEST(toMillis(WithSearch).count() <= 15);
}

BOOST_AUTO_TEST_CASE(BusyBackEndsAreAskedAgainIfNoneIsIdle) {
  SlotSearch Search;
  ServerNeeds Needs;
  while (maxPrefillBacklog(Search).count() > 0) {
    BOOST_TEST(mayRequestMoreSlots(Search));
    recordSlotRequest(Search);
    recordSlotRefusal(Search, Needs, A, true);
  }
  BOOST_TEST(!Needs.Full.contains(A));
  BOOST_TEST(mayRequestMoreSlots(Search));
  recordSlotRequest(Search);
  recordSlotRefusal(Search, Needs, A, true);
  BOOST_TEST(Needs.Full.contains(A));
}

// A back end that loads weights, or whose agent does not reply, has no slot
// later either.
BOOST_AUTO_TEST_CASE(ABackEndThatCannotServeIsNotAskedAgain) {
  SlotSearch Search;
  ServerNeeds Needs;
  recordSlotRequest(Search);
  recordSlotRefusal(Search, Needs, A, false);
  recordSlotRequest(Search);
  recordSlotRefusal(Search, Needs, B, true);
  BOOST_TEST(reconsiderBusyServers(Search, Needs));
  BOOST_TEST(Needs.Full.contains(A));
  BOOST_TEST(!Needs.Full.contains(B));
  BOOST_TEST(maxPrefillBacklog(Search).count() == 0);
}

BOOST_AUTO_TEST_CASE(SlotRequestsAreLimited) {
  SlotSearch Search;
  size_t Asks = 0;
  while (mayRequestMoreSlots(Search)) {
    recordSlotRequest(Search);
    ++Asks;
  }
  BOOST_TEST(Asks >= 4);
  BOOST_TEST(Asks <= 8);
}

// Guards against requests that are refused by what agents said once, though
// slots became free since.
BOOST_AUTO_TEST_CASE(ANewSearchAsksEveryoneAgain) {
  SlotSearch Search;
  ServerNeeds Needs;
  Needs.Tried.insert(A);
  while (mayRequestMoreSlots(Search)) {
    recordSlotRequest(Search);
    recordSlotRefusal(Search, Needs, B, false);
  }
  restartSearch(Search, Needs, false);
  BOOST_TEST(mayRequestMoreSlots(Search));
  BOOST_TEST(Needs.Full.empty());
  BOOST_TEST(Needs.Tried.size() == 1U);
}

// Guards against requests that wait in the queues of other back ends while
// their own answer may still go on.
BOOST_AUTO_TEST_CASE(ASearchForSpareSlotsDoesNotQueue) {
  SlotSearch Search;
  ServerNeeds Needs;
  restartSearch(Search, Needs, true);
  while (mayRequestMoreSlots(Search)) {
    BOOST_TEST(maxPrefillBacklog(Search).count() > 0);
    recordSlotRequest(Search);
    recordSlotRefusal(Search, Needs, B, true);
    BOOST_TEST(!reconsiderBusyServers(Search, Needs));
  }
  BOOST_TEST(Needs.Full.size() == 1U);
}

// Guards against storms of slot requests from answers that fell silent
// together.
BOOST_AUTO_TEST_CASE(SearchesThatFailBecomeRareAndSpreadOut) {
  const TimePoint Now{std::chrono::hours(1)};
  std::set<Duration> First;
  for (uint64_t Seed = 1; Seed <= 20; ++Seed) {
    SlotSearch Search;
    uint64_t Random = Seed * 88172645463325252ULL;
    Duration Last{0};
    for (int n = 0; n < 6; ++n) {
      recordFailedSearch(Search, Now, Random);
      Last = Search.NextAt - Now;
      if (n == 0)
        First.insert(Last);
      BOOST_TEST((Last >= Millis(50)));
      BOOST_TEST((Last <= Millis(400)));
    }
    BOOST_TEST((Last >= Millis(200)));
  }
  BOOST_TEST(First.size() > 10U);
}
