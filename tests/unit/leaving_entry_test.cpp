/** @file leaving_entry_test.cpp Bookings that come to an entry that leaves. */
// Labels: promise-5 promise-6 promise-8

#include "attempts/keyed_call_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using jacinthpond::mesh::Final;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

/** Two entries and one service, e0 about to leave. */
struct Leaving {
  std::string token() {
    return makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  }
  void leave(milliseconds Asking = milliseconds(2000)) {
    Effects Out;
    entryStop(All.Entries.at("e0"), All.Now, Asking, Out);
    All.perform("e0", Out);
    All.pump();
  }
  Final book(const std::string &Entry, const std::string &With) {
    return All.Finals[All.ask(Entry, "bookings", "k", With)];
  }

  Mesh All{2, 0, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Entry, Leaving)

// An entry is stopped as planned while callers book through it on connections
// that they keep. It refuses their bookings, and tells each of them that it may
// have run, though it could ask the home of the key. Whoever does not repeat
// the booking has to look it up at the service.
BOOST_AUTO_TEST_CASE(ABookingThatItRefusesIsKnownNotToHaveRun) {
  const std::string Token = token();
  leave();
  const Final Refused = book("e0", Token);
  BOOST_TEST((Refused.Kind == ErrorKind::Leaving));
  BOOST_TEST((Refused.Executed == Ran::No));
  BOOST_TEST(All.Records.empty());
  // "Not run" holds: the old token has become void, whoever comes with it.
  const Final Old = book("e1", Token);
  BOOST_TEST((Old.Executed == Ran::No));
  BOOST_TEST(All.Records.empty());
  BOOST_TEST(Refused.Token != Token);
  BOOST_TEST(book("e1", Refused.Token).Whole);
  BOOST_TEST(All.Records.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ABookingThatRanGetsItsAnswer) {
  const std::string Token = token();
  const Final First = book("e1", Token);
  BOOST_REQUIRE(First.Whole);
  leave();
  const Final Again = book("e0", Token);
  BOOST_TEST(Again.Whole);
  BOOST_TEST(Again.Text == First.Text);
  BOOST_TEST(All.Records.size() == 1U);
}

// A repeat comes while the first try runs. It gets the answer when that comes
// soon; the entry's end does not wait for it.
BOOST_AUTO_TEST_CASE(ABookingThatRunsIsWaitedForAWhileOnly) {
  All.SlowServices = {"s0"};
  const std::string Token = token();
  All.ask("e1", "bookings", "k", Token);
  BOOST_REQUIRE(All.Records.size() == 1U);
  leave();
  const uint64_t Repeat = All.ask("e0", "bookings", "k", Token);
  BOOST_TEST(!All.Finals.contains(Repeat));
  All.pass(milliseconds(1100));
  BOOST_REQUIRE(All.Finals.contains(Repeat));
  BOOST_TEST((All.Finals[Repeat].Kind == ErrorKind::Leaving));
  BOOST_TEST((All.Finals[Repeat].Executed == Ran::Unknown));
  BOOST_TEST(All.Records.size() == 1U);
}

// The home cannot be asked, or the time for asking is over: then the entry does
// not know, and says so at once.
BOOST_AUTO_TEST_CASE(WithoutItsHomeABookingStaysUnknown) {
  const std::string Token = token();
  leave();
  All.kill("s0");
  const Final Alone = book("e0", Token);
  BOOST_TEST((Alone.Kind == ErrorKind::Leaving));
  BOOST_TEST((Alone.Executed == Ran::Unknown));
}

BOOST_AUTO_TEST_CASE(AfterTheTimeForAskingABookingStaysUnknown) {
  const std::string Token = token();
  leave(milliseconds(300));
  All.pass(milliseconds(300));
  const Final Late = book("e0", Token);
  BOOST_TEST((Late.Kind == ErrorKind::Leaving));
  BOOST_TEST((Late.Executed == Ran::Unknown));
  BOOST_TEST(All.Records.empty());
}

// Without a token the home would bar the key for seconds, and the caller could
// not go on elsewhere at once.
BOOST_AUTO_TEST_CASE(WithoutATokenNoHomeIsAsked) {
  leave();
  const Final Refused = book("e0", "");
  BOOST_TEST((Refused.Kind == ErrorKind::Leaving));
  BOOST_TEST((Refused.Executed == Ran::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
