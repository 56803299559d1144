/** @file overload_test.cpp Three times the capacity is offered. */
// Labels: overload

#include "fleet/open_load.h"
#include "fleet/overload_plan.h"
#include "fleet/steady_callers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Whole answers a second while work is always waiting, by count. */
double measureCapacity(const Fleet &All) {
  SteadyCallers Load(
      All, 24, [](size_t n, size_t i) { return overloadAsk(n * 37 + i); });
  const auto Done = [&](size_t Count) {
    return waitFor(30s, [&] { return Load.Good >= Count; });
  };
  BOOST_REQUIRE(Done(60)); // The workers are warm by then.
  const size_t Before = Load.Good;
  const auto Start = std::chrono::steady_clock::now();
  BOOST_REQUIRE(Done(Before + 160));
  const std::chrono::duration<double> Took =
      std::chrono::steady_clock::now() - Start;
  const double Measured =
      static_cast<double>(Load.Good - Before) / Took.count();
  // Answers come in batches, so that a short look may show too much.
  return std::min(Measured, OverloadCapacity);
}

} // namespace

// Before dawn everybody wants a report at once: three times what the workers
// bear, most of it from one large workspace. Waiting without bound would make
// every answer late; a queue by arrival would leave nothing to small ones.
BOOST_AUTO_TEST_CASE(GoodputAndSharesHoldAtThreeTimesCapacity) {
  Fleet All(overloadPlan());
  BOOST_REQUIRE(All.waitServing(30s));
  const double Capacity = measureCapacity(All);
  const Offer What{3 * Capacity, 6, 256, overloadAsk};
  const auto Offered = offerLoad(All, What);
  BOOST_TEST_MESSAGE("capacity "
                     << Capacity << ", goodput " << goodput(Offered, 1, 6)
                     << ", small "
                     << answeredShare(Offered, LargeWorkspace, false));
  BOOST_TEST(goodput(Offered, 1, 6) >= 0.9 * Capacity);
  BOOST_TEST(answeredShare(Offered, LargeWorkspace, false) >= 0.9);
  for (const auto &One : Offered) {
    if (One.Status == 200)
      continue;
    BOOST_TEST(One.Status == 503);
    BOOST_TEST(One.RetryAfter > 0);
  }
  // "At once": what is refused on arrival. Work that a smaller tenant pushed
  // out of the queue had waited before; so only the median is held to it.
  std::vector<double> Waits;
  for (const auto &One : Offered)
    if (One.Status != 200)
      Waits.push_back(One.End - One.Begin);
  BOOST_REQUIRE(!Waits.empty());
  const auto Median = Waits.begin() + static_cast<ptrdiff_t>(Waits.size() / 2);
  std::ranges::nth_element(Waits, Median);
  BOOST_TEST(*Median < 0.25);
}
