/** @file path_test.cpp The whole path: caller, entry, agent, back end. */
// Labels: path

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

struct SmallFleet {
  SmallFleet() : All(FleetPlan{}) { BOOST_REQUIRE(All.waitServing(30s)); }
  Fleet All;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Path, SmallFleet)

BOOST_AUTO_TEST_CASE(ModelAnswerIsWholeAndStreamed) {
  Ask What;
  const Answer Whole = All.ask(0, What);
  BOOST_TEST(Whole.Status == 200);
  BOOST_TEST(Whole.json()["count"] == 4);
  What.Stream = true;
  const Answer Stream = All.ask(1, What);
  BOOST_TEST(Stream.Status == 200);
  BOOST_TEST(Stream.Body.find("event: end") != std::string::npos);
  BOOST_TEST(Stream.Body.find(Whole.json()["sha256"].get<std::string>()) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(BookingRunsOnceThroughTwoEntries) {
  Ask Booking;
  Booking.Class = "bookings";
  Booking.Key = "slot-1";
  const Answer First = All.ask(0, Booking);
  const Answer Again = All.ask(2, Booking);
  BOOST_TEST(First.Status == 200);
  BOOST_TEST(First.Body == Again.Body);
  size_t Runs = 0;
  for (size_t n = 0; n < All.Plan.ServiceWorkers; ++n)
    Runs += All.look("service-" + std::to_string(n))["records"].size();
  BOOST_TEST(Runs == 1U);
}

BOOST_AUTO_TEST_CASE(BadInputGetsAClearError) {
  Ask What;
  What.Class = "nothing";
  BOOST_TEST(All.ask(0, What).json()["error"]["kind"] == "not_found");
  What.Class = "bookings";
  const Answer NoKey = All.ask(0, What);
  BOOST_TEST(NoKey.Status == 400);
  BOOST_TEST(NoKey.json()["error"]["ran"] == "no");
}

BOOST_AUTO_TEST_SUITE_END()
