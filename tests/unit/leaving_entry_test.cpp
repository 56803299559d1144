/** @file leaving_entry_test.cpp Keyed calls to an entry that shuts down. */
// Labels: promise-5 promise-6 promise-8

#include "attempts/keyed_call_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::FinalAnswer;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

/** Two entries and one service; the test shuts down e0. */
struct LeavingEntry {
  /** A home token from e0. */
  std::string token() {
    return makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  }
  /** Begins the shutdown of e0. */
  void stopEntry(milliseconds HomeQueryTime = milliseconds(2000)) {
    Effects Out;
    beginEntryShutdown(All.Entries.at("e0"), All.Now, HomeQueryTime, Out);
    All.perform("e0", Out);
    All.deliverAll();
  }
  /** Sends a keyed call and gives its final result. */
  FinalAnswer book(const std::string &Entry, const std::string &With) {
    return All.Finals[All.sendRequest(Entry, "bookings", "k", With)];
  }

  Mesh All{2, 0, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Entry, LeavingEntry)

// An entry that shuts down refuses bookings that come on open connections. It
// must ask the home of the key first: an answer of "unknown" would force
// callers to look the booking up at the service.
BOOST_AUTO_TEST_CASE(ARefusedBookingIsReportedAsNotRun) {
  const std::string Token = token();
  stopEntry();
  const FinalAnswer Refused = book("e0", Token);
  BOOST_TEST((Refused.Kind == ErrorKind::Leaving));
  BOOST_TEST((Refused.Executed == Ran::No));
  BOOST_TEST(All.ServiceCalls.empty());
  // It stays not run: the home refuses the key with the old token at any entry.
  const FinalAnswer Old = book("e1", Token);
  BOOST_TEST((Old.Executed == Ran::No));
  BOOST_TEST(All.ServiceCalls.empty());
  BOOST_TEST(Refused.Token != Token);
  BOOST_TEST(book("e1", Refused.Token).Whole);
  BOOST_TEST(All.ServiceCalls.size() == 1U);
}

// A repeat of a completed booking gets the stored answer from the home, also
// through an entry that shuts down.
BOOST_AUTO_TEST_CASE(ABookingThatRanGetsItsAnswer) {
  const std::string Token = token();
  const FinalAnswer First = book("e1", Token);
  BOOST_REQUIRE(First.Whole);
  stopEntry();
  const FinalAnswer Again = book("e0", Token);
  BOOST_TEST(Again.Whole);
  BOOST_TEST(Again.Text == First.Text);
  BOOST_TEST(All.ServiceCalls.size() == 1U);
}

// A repeat comes while the first call runs. The entry waits a limited time for
// the answer, so that its shutdown is not held up.
BOOST_AUTO_TEST_CASE(WaitingForARunningBookingIsBounded) {
  All.SlowServices = {"s0"};
  const std::string Token = token();
  All.sendRequest("e1", "bookings", "k", Token);
  BOOST_REQUIRE(All.ServiceCalls.size() == 1U);
  stopEntry();
  const uint64_t Repeat = All.sendRequest("e0", "bookings", "k", Token);
  BOOST_TEST(!All.Finals.contains(Repeat));
  All.advanceTime(milliseconds(1100));
  BOOST_REQUIRE(All.Finals.contains(Repeat));
  BOOST_TEST((All.Finals[Repeat].Kind == ErrorKind::Leaving));
  BOOST_TEST((All.Finals[Repeat].Executed == Ran::Unknown));
  BOOST_TEST(All.ServiceCalls.size() == 1U);
}

// When the home cannot be asked, or the time for asking is over, the entry
// reports "unknown" at once.
BOOST_AUTO_TEST_CASE(WithoutItsHomeTheOutcomeIsUnknown) {
  const std::string Token = token();
  stopEntry();
  All.kill("s0");
  const FinalAnswer Alone = book("e0", Token);
  BOOST_TEST((Alone.Kind == ErrorKind::Leaving));
  BOOST_TEST((Alone.Executed == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(AfterTheHomeQueryTimeTheOutcomeIsUnknown) {
  const std::string Token = token();
  stopEntry(milliseconds(300));
  All.advanceTime(milliseconds(300));
  const FinalAnswer Late = book("e0", Token);
  BOOST_TEST((Late.Kind == ErrorKind::Leaving));
  BOOST_TEST((Late.Executed == Ran::Unknown));
  BOOST_TEST(All.ServiceCalls.empty());
}

// Without a token the home would refuse the key for seconds, and the caller
// could not continue elsewhere at once.
BOOST_AUTO_TEST_CASE(WithoutATokenTheHomeIsNotQueried) {
  stopEntry();
  const FinalAnswer Refused = book("e0", "");
  BOOST_TEST((Refused.Kind == ErrorKind::Leaving));
  BOOST_TEST((Refused.Executed == Ran::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
