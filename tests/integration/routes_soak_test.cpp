/** @file routes_soak_test.cpp Routes under random failures, by seeds. */
// Labels: routes platform chaos

#include "chaos/route_soak.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace jacinthpond::chaos;
using namespace std::chrono_literals;

namespace {

/** The first has all kinds of failures, the other a few and one entry that is
 * never disturbed. Longer runs are started by hand: scripts/chaos --routes. */
const std::vector<uint64_t> ShortSeeds = {4, 1};

} // namespace

BOOST_AUTO_TEST_SUITE(RoutesSoak)

BOOST_DATA_TEST_CASE(PromisesHold, boost::unit_test::data::make(ShortSeeds),
                     Seed) {
  SoakPlan Plan;
  Plan.Seed = Seed;
  Plan.Length = 15s;
  const jacinthpond::fleet::Json Result = soakRoutes(Plan);
  BOOST_TEST_MESSAGE(Result.dump(1));
  BOOST_TEST(Result["violations"].empty(), Result.dump(1));
}

BOOST_AUTO_TEST_SUITE_END()
