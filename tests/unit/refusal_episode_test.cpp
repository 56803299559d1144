/** @file refusal_episode_test.cpp Refusals that are logged as one. */
// Labels: routes

#include "admission/refusal_episode_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

// Guards against a log line for each of thousands of refusals.
BOOST_AUTO_TEST_CASE(ASeriesHasOneBeginAndOneEnd) {
  RefusalEpisodes All;
  TimePoint Now;
  BOOST_TEST(recordRefusal(All, CallerRefusal::Memory, Now));
  for (int n = 0; n < 1000; ++n) {
    Now += EpisodePause - Millis(1);
    BOOST_TEST_REQUIRE(!recordRefusal(All, CallerRefusal::Memory, Now));
    BOOST_TEST_REQUIRE(endEpisodes(All, Now).empty());
  }
  BOOST_TEST(recordRefusal(All, CallerRefusal::Slow, Now));
  Now += EpisodePause;
  const auto Ended = endEpisodes(All, Now);
  BOOST_REQUIRE(Ended.size() == 2U);
  BOOST_TEST((Ended[0].first == CallerRefusal::Slow));
  BOOST_TEST(Ended[0].second == 1U);
  BOOST_TEST((Ended[1].first == CallerRefusal::Memory));
  BOOST_TEST(Ended[1].second == 1001U);
  BOOST_TEST(endEpisodes(All, Now).empty());
  BOOST_TEST(recordRefusal(All, CallerRefusal::Memory, Now));
}
