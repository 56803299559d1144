/** @file routes_soak_test.cpp Routes under random failures, by seeds. */
// Labels: routes platform chaos

#include "chaos/route_soak.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <vector>

using namespace jacinthpond::chaos;
using namespace std::chrono_literals;

namespace {

/** A run that is played again, with the cause where it ever failed. */
struct Case {
  uint64_t Seed;               ///< Of all choices.
  const char *Only;            ///< Kinds of failures; empty: by the seed.
  std::chrono::seconds Length; ///< Time with failures.
  const char *Cause;           ///< Why it failed; empty: it never did.
  bool Busy = false;           ///< Streams take all slots.
};

std::ostream &operator<<(std::ostream &Out, const Case &One) {
  return Out << "seed " << One.Seed << ' ' << One.Only << ' ' << One.Cause;
}

constexpr const char *GivenUp =
    "requests were given up on a moment of silence of a sound server before "
    "there was a slot for them elsewhere";

/** A short run with all kinds of failures, and runs that failed. Longer ones
 * are started by hand: scripts/chaos --routes. */
const std::vector<Case> Cases = {
    {4, "", 12s, ""},
    {312, "unseen", 15s,
     "an entry that stood still while a version was published counted the time "
     "for which the former one may begin from when it woke"},
    {5, "", 20s, "pauses that back ends asked for were not kept"},
    {21, "drain,shed", 20s,
     "neither pauses nor the word of back ends that leave was kept"},
    {14, "", 15s,
     "agents ended when they heard of a suspect while requests waited for a "
     "slot"},
    {767, "silence", 12s, GivenUp, true},
    {767, "silence,version,key,route", 12s, GivenUp, true},
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutesSoak)

BOOST_DATA_TEST_CASE(PromisesHold, boost::unit_test::data::make(Cases), One) {
  SoakPlan Plan;
  Plan.Seed = One.Seed;
  Plan.Only = One.Only;
  Plan.Length = One.Length;
  Plan.Busy = One.Busy;
  const jacinthpond::fleet::Json Result = soakRoutes(Plan);
  BOOST_TEST(Result["violations"].empty(), Result.dump(1));
}

BOOST_AUTO_TEST_SUITE_END()
