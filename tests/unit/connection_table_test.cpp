/** @file connection_table_test.cpp Which connection gives way. */
// Labels: routes

#include "admission/connection_table_func.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace jacinthpond;

namespace {

constexpr size_t Large = 100 << 10;

/** Connections under a limit of ten large requests. */
struct Connections {
  Connections() {
    Table.Limits.Bytes = 10 * Large;
    Table.Limits.Connections = 32;
  }

  ConnectionId add() { return addConnection(Table, Now); }
  void record(ConnectionId Id, ConnectionPhase Phase, size_t Bytes) {
    recordConnection(Table, Id, Phase, Bytes, Now);
  }
  /** Adds a connection on which a request arrives. */
  ConnectionId addReceiving(size_t Bytes, const char *Owner = "huts") {
    const ConnectionId Id = add();
    record(Id, ConnectionPhase::Receiving, Bytes);
    if (Owner != nullptr)
      recordOwner(Table, Id, WorkspaceName{Owner});
    return Id;
  }
  /** Adds a connection that has served a request and has the given phase. */
  ConnectionId addServed(ConnectionPhase Phase, size_t Bytes = 0) {
    const ConnectionId Id = add();
    record(Id, ConnectionPhase::Working, Bytes);
    record(Id, Phase, Bytes);
    return Id;
  }
  std::optional<ConnectionId> overMemory(ConnectionId Grown) const {
    return connectionOverMemory(Table, Grown, Now);
  }

  ConnectionTable Table;
  TimePoint Now;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Memory, Connections)

BOOST_AUTO_TEST_CASE(NothingGivesWayBelowTheLimit) {
  ConnectionId Last;
  for (int n = 0; n < 9; ++n)
    Last = addReceiving(Large);
  BOOST_TEST(!overMemory(Last).has_value());
}

// Guards against clients that stop: they hold more and more byte seconds.
BOOST_AUTO_TEST_CASE(TheOneThatHeldMostForLongestGivesWay) {
  addReceiving(Large);
  const ConnectionId Stopped = addReceiving(5 * Large);
  Now += Millis(100);
  addReceiving(Large);
  const ConnectionId Last = addReceiving(4 * Large);
  BOOST_TEST((overMemory(Last) == Stopped));
}

// Guards against a first client that would have to pay for its own body.
BOOST_AUTO_TEST_CASE(TheOnlyLargeOneNeverGivesWay) {
  const ConnectionId Only = addReceiving(20 * Large);
  BOOST_TEST(!overMemory(Only).has_value());
  const ConnectionId Small = addReceiving(SmallRequestBytes);
  BOOST_TEST((overMemory(Small) == Only));
}

// Guards against refusals of requests that were run.
BOOST_AUTO_TEST_CASE(CompleteRequestsNeverGiveWay) {
  addServed(ConnectionPhase::Working, 10 * Large);
  const ConnectionId Late = addReceiving(Large);
  BOOST_TEST((overMemory(Late) == Late));
  const ConnectionId Answer = addServed(ConnectionPhase::Working, Large);
  record(Late, ConnectionPhase::Closing, 0);
  BOOST_TEST(!overMemory(Answer).has_value());
}

BOOST_AUTO_TEST_CASE(UnknownKeysGiveWayBeforeKnownOnes) {
  addReceiving(8 * Large, "huts");
  const ConnectionId Unknown = addReceiving(Large, nullptr);
  Now += Millis(100);
  const ConnectionId Last = addReceiving(2 * Large, "clubs");
  BOOST_TEST((overMemory(Last) == Unknown));
}

// Guards against one workspace whose clients fill the memory of all others.
BOOST_AUTO_TEST_CASE(TheWorkspaceThatHoldsMostGivesWay) {
  addReceiving(3 * Large, "clubs");
  Now += Millis(100);
  const ConnectionId Oldest = addReceiving(4 * Large, "huts");
  const ConnectionId Last = addReceiving(4 * Large, "huts");
  BOOST_TEST((overMemory(Last) == Oldest));
}

BOOST_AUTO_TEST_CASE(UnreadAnswersGiveWayWhereNoRequestArrives) {
  addServed(ConnectionPhase::Working, 6 * Large);
  const ConnectionId Unread = addServed(ConnectionPhase::Sending, 3 * Large);
  Now += Millis(100);
  const ConnectionId Last = addServed(ConnectionPhase::Sending, 2 * Large);
  BOOST_TEST((overMemory(Last) == Unread));
}

// Guards against small requests that are refused for large ones at work.
BOOST_AUTO_TEST_CASE(SmallRequestsHaveAReserve) {
  addServed(ConnectionPhase::Working, 10 * Large - 2 * SmallRequestBytes);
  BOOST_TEST(!overMemory(addReceiving(SmallRequestBytes)).has_value());
  const ConnectionId Second = addReceiving(SmallRequestBytes + 1);
  BOOST_TEST((overMemory(Second) == Second));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Count, Connections)

// Guards against connections without a request that take all descriptors.
BOOST_AUTO_TEST_CASE(TheOldestWithoutARequestIsClosed) {
  std::vector<ConnectionId> Silent;
  const ConnectionId Kept = addServed(ConnectionPhase::Idle);
  for (int n = 0; n < 31; ++n) {
    Now += Millis(1);
    Silent.push_back(add());
  }
  BOOST_TEST(connectionsOverLimit(Table).empty());
  const ConnectionId Newest = add();
  const auto Closed = connectionsOverLimit(Table);
  BOOST_REQUIRE(Closed.size() == 3U);
  BOOST_TEST((Closed[0] == Silent[0]));
  BOOST_TEST((Closed[1] == Silent[1]));
  BOOST_TEST((std::ranges::count(Closed, Newest) == 0));
  BOOST_TEST((std::ranges::count(Closed, Kept) == 0));
}

// Guards against newcomers that are turned away while others are idle, and
// against answers that are cut off.
BOOST_AUTO_TEST_CASE(IdleOnesAreClosedBeforeTheNewestAndNoOther) {
  for (int n = 0; n < 30; ++n)
    addServed(ConnectionPhase::Working);
  const ConnectionId First = addServed(ConnectionPhase::Idle);
  Now += Millis(1);
  addServed(ConnectionPhase::Idle);
  add();
  const auto Closed = connectionsOverLimit(Table);
  BOOST_REQUIRE(Closed.size() == 1U);
  BOOST_TEST((Closed[0] == First));
}

BOOST_AUTO_TEST_CASE(TheNewestIsClosedWhereAllOthersWork) {
  for (int n = 0; n < 32; ++n)
    addServed(ConnectionPhase::Working);
  const ConnectionId Newest = add();
  const auto Closed = connectionsOverLimit(Table);
  BOOST_REQUIRE(Closed.size() == 1U);
  BOOST_TEST((Closed[0] == Newest));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an account that drifts, limits that are exceeded, and refusals
// that no rule allows, in any order of arrivals, ends and refusals.
BOOST_AUTO_TEST_CASE(AnyOrderOfEventsKeepsTheBounds) {
  constexpr std::array Phases = {
      ConnectionPhase::Idle, ConnectionPhase::Receiving,
      ConnectionPhase::Working, ConnectionPhase::Sending,
      ConnectionPhase::Closing};
  for (uint32_t Seed = 1; Seed <= 200; ++Seed) {
    std::mt19937 Random(Seed);
    const auto Below = [&](size_t n) {
      return std::uniform_int_distribution<size_t>(0, n - 1)(Random);
    };
    Connections All;
    ConnectionTable &Table = All.Table;
    const auto Any = [&] {
      return std::next(Table.Rows.begin(),
                       static_cast<std::ptrdiff_t>(Below(Table.Rows.size())));
    };
    for (int Step = 0; Step < 400; ++Step) {
      All.Now += Millis(Below(50));
      if (Table.Rows.empty() || Below(4) == 0) {
        All.add();
        for (const ConnectionId Id : connectionsOverLimit(Table)) {
          BOOST_TEST_REQUIRE(
              (Table.Rows.at(Id).Phase != ConnectionPhase::Working));
          removeConnection(Table, Id);
        }
        BOOST_TEST_REQUIRE(Table.Rows.size() <= Table.Limits.Connections);
      } else if (Below(8) == 0) {
        removeConnection(Table, Any()->first);
      } else {
        const ConnectionId Id = Any()->first;
        const ConnectionPhase Phase = Phases.at(Below(Phases.size()));
        All.record(Id, Phase, Below(4 * Large));
        if (Phase == ConnectionPhase::Receiving && Below(2) == 0)
          recordOwner(Table, Id, WorkspaceName{Below(2) == 0 ? "a" : "b"});
        while (const auto Refused = All.overMemory(Id)) {
          const ConnectionLoad &One = Table.Rows.at(*Refused);
          BOOST_TEST_REQUIRE((One.Phase == ConnectionPhase::Receiving ||
                              One.Phase == ConnectionPhase::Sending));
          BOOST_TEST_REQUIRE(One.Bytes > 0U);
          All.record(*Refused, ConnectionPhase::Closing, 0);
        }
      }
      size_t Sum = 0;
      for (const auto &[Id, One] : Table.Rows)
        Sum += One.Bytes;
      BOOST_TEST_REQUIRE(Table.Bytes == Sum, "seed " << Seed);
    }
  }
}
