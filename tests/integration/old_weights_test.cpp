/** @file old_weights_test.cpp Until when requests begin on replaced weights. */
// Labels: routes platform weights

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto WeightsChange = 4000ms;
/** Longer than the gap that shows a pause, and well below WeightsChange. */
constexpr auto Pause = 2800ms;

/** Workers that keep their version, since the origin is gone. Their agents
 * allow it for long, so that only the entries' bound counts. */
struct Stuck {
  Stuck() : All(plan()) {
    BOOST_REQUIRE(All.waitServing(30s));
    All.process("origin").kill();
  }

  static RoutePlan plan() {
    RoutePlan Plan;
    Plan.WeightsChangeMillis = WeightsChange.count();
    Plan.AgentWeightsMillis = 60000;
    return Plan;
  }

  int write(size_t Entry) const { return All.ask(Entry, writeAsk()).status; }

  size_t runs() const {
    return All.look("model-0")["runs"].size() +
           All.look("model-1")["runs"].size();
  }

  void publishVersion(int Version) {
    Published = std::chrono::steady_clock::now();
    const Json Item = {{"model", "trail"}, {"version", Version}};
    All.store({{"put", {{"op/version/trail", Item.dump()}}}});
  }

  RouteFleet All;
  std::chrono::steady_clock::time_point Published;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OldWeights, Stuck)

BOOST_AUTO_TEST_CASE(TheyBeginForAWhileOnly) {
  publishVersion(2);
  std::this_thread::sleep_until(Published + WeightsChange / 4);
  BOOST_TEST(write(0) == 200);
  std::this_thread::sleep_until(Published + WeightsChange);
  const size_t Before = runs();
  BOOST_TEST(write(0) == 503);
  BOOST_TEST(write(1) == 503);
  BOOST_TEST(runs() == Before);
}

BOOST_AUTO_TEST_CASE(APauseOfTheEntryDoesNotLengthenIt) {
  // Callers got answers from weights that had been replaced for longer than
  // is allowed. The entry had stood still while the new version was published;
  // it heard of it on waking, and allowed the old one the whole time from then.
  // Agents had lost their heartbeats of that entry just before the publication,
  // and gave it, and no other entry, places on the old version until that time
  // after its waking was over.
  All.process("entry-0").pause();
  publishVersion(2);
  std::this_thread::sleep_until(Published + Pause);
  All.process("entry-0").signal(SIGCONT);
  std::this_thread::sleep_until(Published + WeightsChange);
  const size_t Before = runs();
  for (int n = 0; n < 5; ++n)
    BOOST_TEST(write(0) == 503);
  BOOST_TEST(runs() == Before);
}

BOOST_AUTO_TEST_CASE(AWorkerThatStandsStillIsNotWaitedFor) {
  // The hosts of workers stood still. A request that had been sent to one in
  // time lay in its sockets, and the entry went on waiting for it, since no
  // other worker was free. It began on waking, on weights that had been
  // replaced for longer than is allowed.
  publishVersion(2);
  std::this_thread::sleep_until(Published + WeightsChange / 2);
  for (const char *Name : {"model-0", "model-1"})
    All.process(Name).pause();
  BOOST_TEST(write(0) != 200);
  BOOST_TEST((std::chrono::steady_clock::now() < Published + WeightsChange));
  for (const char *Name : {"model-0", "model-1"})
    All.process(Name).signal(SIGCONT);
}

BOOST_AUTO_TEST_SUITE_END()
