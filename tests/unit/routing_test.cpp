/** @file routing_test.cpp Choice of a worker, and load reported in answers. */
// Labels: promise-2

#include "routing/load_view_func.h"
#include "routing/routing_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

using namespace jacinthpond;

namespace {

/** Idle candidates m0, m1 and so on. */
std::vector<Candidate> workers(size_t Count, uint32_t Limit = 16) {
  std::vector<Candidate> All(Count);
  for (size_t n = 0; n < Count; ++n) {
    All[n].Name.Value = "m" + std::to_string(n);
    All[n].Load.Limit = Limit;
  }
  return All;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesWithTheSameStaleViewSpreadTheirRequests) {
  // Eight entries see worker 0 idle and the others half busy, and get no new
  // load reports.
  size_t SentToIdle = 0;
  for (uint64_t Entry = 0; Entry < 8; ++Entry) {
    auto View = workers(6);
    std::ranges::for_each(View, [](Candidate &One) { One.Load.Running = 8; });
    View[0].Load.Running = 0;
    for (uint64_t n = 0; n < 10; ++n) {
      const size_t To = chooseWorker(View, "", Entry * 1000003 + n);
      ++View[To].SentSince;
      SentToIdle += To == 0 ? 1 : 0;
    }
  }
  // Two random choices send about a third of the 80 requests to worker 0. The
  // limit of one worker is 16.
  BOOST_TEST(SentToIdle <= 40U);
  BOOST_TEST(SentToIdle >= 14U);
}

BOOST_AUTO_TEST_CASE(ColdWorkersGetFewRequests) {
  auto View = workers(4);
  View[0].Load.Limit = 2;
  std::array<int, 4> Got{};
  for (uint64_t n = 0; n < 50; ++n) {
    const size_t To = chooseWorker(View, "", n);
    ++View[To].SentSince;
    ++Got.at(To);
  }
  BOOST_TEST(Got[0] <= 3);
}

BOOST_AUTO_TEST_CASE(WarmWorkerIsKeptUntilItIsOverloaded) {
  auto View = workers(6);
  const size_t Warm = chooseWorker(View, "huts/prompt", 1);
  View[Warm].Load.Running = 7;
  BOOST_TEST(chooseWorker(View, "huts/prompt", 2) == Warm);
  View[Warm].Load.Running = 12;
  BOOST_TEST(chooseWorker(View, "huts/prompt", 3) != Warm);
  for (Candidate &One : View)
    One.Load.Running = 11;
  BOOST_TEST(chooseWorker(View, "huts/prompt", 4) == Warm);
}

BOOST_AUTO_TEST_CASE(PrefersOwnDomainAtEqualLoad) {
  auto View = workers(6);
  View[3].InOwnDomain = true;
  for (uint64_t n = 0; n < 20; ++n)
    BOOST_TEST(chooseWorker(View, "", n) == 3U);
  View[3].Load.Running = 16;
  for (uint64_t n = 0; n < 20; ++n)
    BOOST_TEST(chooseWorker(View, "", n) != 3U);
}

BOOST_AUTO_TEST_CASE(AnswersUpdateLoadAndRefusalsDivertRequests) {
  const TimePoint Now{Millis{5000}};
  Effects Out{SendMessage{LinkId{1}, AttemptFailed{}}};
  WorkerLoad Load;
  Load.Running = 3;
  Load.Waiting = 2;
  Load.Limit = 4;
  attachLoad(Load, Out);
  auto Failed =
      std::get<AttemptFailed>(std::get<SendMessage>(Out.front()).Content);
  Failed.Kind = ErrorKind::Overloaded;
  Failed.RetryAfterMillis = 400;
  Membership Fleet;
  PeerLink &Peer = Fleet.Links[LinkId{1}];
  countSentAttempt(Fleet, LinkId{1});
  BOOST_TEST(Peer.AttemptsSinceLoad == 1U);
  recordReportedLoad(Fleet, LinkId{1}, Failed, Now);
  BOOST_TEST(Peer.AttemptsSinceLoad == 0U);
  BOOST_TEST(Peer.Load.Running == 5U);
  BOOST_TEST(Peer.Load.Limit == 4U);
  BOOST_TEST((Peer.AvoidUntil == Now + Millis{400}));
  auto View = workers(2);
  View[0].RefusedRecently = true;
  View[1].Load.Running = 40;
  BOOST_TEST(chooseWorker(View, "", 1) == 1U);
}
