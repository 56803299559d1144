/** @file place_search_test.cpp Looking for an idle back end before a busy one
 * is taken. */
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
constexpr uint32_t PromptTokens = 1000; // 31 ms of reading.
/** Requests a second that make each back end read for a third of its time. */
constexpr double PerSecond = 0.33 * BackEnds * TokensPerSecond / PromptTokens;

const InstanceId A{"a"};
const InstanceId B{"b"};

double randomPart(uint64_t &Random) {
  return static_cast<double>(nextRandom(Random) >> 11U) /
         static_cast<double>(uint64_t{1} << 53U);
}

/** Back ends that entries choose by chance, since their news are too old. */
struct Fleet {
  Fleet() : Debts(BackEnds) {
    for (ReadingDebt &One : Debts)
      One.TokensPerSecond = TokensPerSecond;
  }

  /** Reading that a new request finds at the back end that takes it. */
  Duration place(bool Search) {
    PlaceSearch State;
    std::set<size_t> Asked;
    for (;;) {
      size_t n = nextRandom(Random) % BackEnds;
      while (Asked.contains(n))
        n = nextRandom(Random) % BackEnds;
      Asked.insert(n);
      const Duration Left = readingLeft(Debts[n], Now);
      const Millis Most = Search ? mostReading(State) : Millis{0};
      placeAsked(State);
      if (Most.count() > 0 && Left > Most)
        continue;
      addReading(Debts[n], PromptTokens, Now);
      return Left;
    }
  }

  /** 95th percentile of the reading found by requests of a minute. */
  Duration slowest(bool Search) {
    std::vector<Duration> Found;
    const TimePoint End = Now + std::chrono::minutes(1);
    while (Now < End) {
      Found.push_back(place(Search));
      const std::chrono::duration<double> Pause(
          -std::log(1 - randomPart(Random)) / PerSecond);
      Now += std::chrono::duration_cast<Duration>(Pause);
    }
    std::ranges::sort(Found);
    return Found[Found.size() * 95 / 100];
  }

  std::vector<ReadingDebt> Debts;
  TimePoint Now{std::chrono::hours(1)};
  uint64_t Random = 42;
};

} // namespace

// Callers wait longer than they need to for the first token while
// most back ends read nothing: nine entries send to 27 back ends by news that
// are older than a prompt takes to be read, so prompts meet at some of them.
BOOST_AUTO_TEST_CASE(PromptsDoNotMeetWhileOthersAreIdle) {
  const Duration Blind = Fleet().slowest(false);
  const Duration Searching = Fleet().slowest(true);
  BOOST_TEST(toMillis(Blind).count() > 30);
  BOOST_TEST(toMillis(Searching).count() <= 15);
}

BOOST_AUTO_TEST_CASE(BusyOnesCountAgainWhenNobodyIsIdle) {
  PlaceSearch Search;
  ServerNeeds Needs;
  while (mostReading(Search).count() > 0) {
    BOOST_TEST(mayAskMore(Search));
    placeAsked(Search);
    placeRefused(Search, Needs, A, true);
  }
  BOOST_TEST(!Needs.Full.contains(A));
  BOOST_TEST(mayAskMore(Search));
  placeAsked(Search);
  placeRefused(Search, Needs, A, true);
  BOOST_TEST(Needs.Full.contains(A));
}

// One that loads weights or does not answer has no place later either.
BOOST_AUTO_TEST_CASE(OneThatCannotServeIsNotAskedAgain) {
  PlaceSearch Search;
  ServerNeeds Needs;
  placeAsked(Search);
  placeRefused(Search, Needs, A, false);
  placeAsked(Search);
  placeRefused(Search, Needs, B, true);
  BOOST_TEST(takeBusyOnes(Search, Needs));
  BOOST_TEST(Needs.Full.contains(A));
  BOOST_TEST(!Needs.Full.contains(B));
  BOOST_TEST(mostReading(Search).count() == 0);
}

BOOST_AUTO_TEST_CASE(TheSearchEnds) {
  PlaceSearch Search;
  size_t Asks = 0;
  while (mayAskMore(Search)) {
    placeAsked(Search);
    ++Asks;
  }
  BOOST_TEST(Asks >= 4);
  BOOST_TEST(Asks <= 8);
}
