/** @file memory_budget_test.cpp Memory that several owners share. */

#include "base/memory_budget.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <utility>

using namespace jacinthpond;

// Guards against one owner that takes all, small ones that are refused for it,
// and memory that is not given back.
BOOST_AUTO_TEST_CASE(OwnersShareABudget) {
  constexpr size_t Free = MemoryShare::FreeBytes;
  MemoryBudget Budget{100};
  std::optional<MemoryShare> Large(Budget);
  MemoryShare Small(Budget);
  BOOST_TEST(Large->resize(Free + 90));
  BOOST_TEST(!Large->resize(Free + 101));
  BOOST_TEST(Budget.Used == 90U);
  BOOST_TEST(Small.resize(Free));
  BOOST_TEST(!Small.resize(Free + 11));
  MemoryShare Moved = std::move(*Large);
  Large.reset();
  BOOST_TEST(Budget.Used == 90U);
  BOOST_TEST(Moved.resize(Free + 50));
  BOOST_TEST(Small.resize(Free + 50));
  BOOST_TEST(Budget.Used == 100U);
  Small = MemoryShare(Budget);
  BOOST_TEST(Budget.Used == 50U);
  BOOST_TEST(Moved.resize(0));
  BOOST_TEST(Budget.Used == 0U);
}

// Guards against a limit that was lowered below what is held: holding less must
// always be allowed.
BOOST_AUTO_TEST_CASE(AShareMayShrinkAboveTheLimit) {
  MemoryBudget Budget{100};
  MemoryShare One(Budget);
  BOOST_TEST(One.resize(MemoryShare::FreeBytes + 80));
  Budget.Limit = 10;
  BOOST_TEST(One.resize(MemoryShare::FreeBytes + 60));
  BOOST_TEST(!One.resize(MemoryShare::FreeBytes + 61));
}
