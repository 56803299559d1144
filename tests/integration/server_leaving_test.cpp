/** @file server_leaving_test.cpp Back ends that say that they are leaving. */
// Labels: routes platform

#include "arrivals.h"

#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Requests that were sent before the first answer arrive within this time. */
constexpr auto Transit = 300ms;

struct Leaving : MarkedFleet {
  /** Requests that an entry sent to a back end after it had said so. */
  size_t countAfterNotice(const std::string &Worker, size_t Entry) const {
    const std::vector<Arrival> Came = arrivals(Worker, Entry);
    const auto First = std::ranges::find_if(Came, &Arrival::Leaving);
    if (First == Came.end())
      return 0;
    return std::ranges::count_if(Came, [&](const Arrival &One) {
      return One.Id == First->Id && One.At > First->At + Transit;
    });
  }

  /** Says whether an entry has had an answer that says so. */
  bool wasTold(const std::string &Worker, size_t Entry) const {
    return std::ranges::any_of(arrivals(Worker, Entry), &Arrival::Leaving);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerLeaving, Leaving)

// Guards against requests to a plain service after it said that it is leaving,
// while the list of servers still calls it ready.
BOOST_AUTO_TEST_CASE(APlainServiceThatLeavesGetsNothingMore) {
  const auto Calling = callers("read");
  All.control("plain-0", {{"leaving", "1"}});
  std::this_thread::sleep_for(2s);
  All.registerServer("plain-0");
  std::this_thread::sleep_for(2s);
  bool Told = false;
  for (size_t n = 0; n < Entries; ++n) {
    Told = Told || wasTold("plain-0", n);
    BOOST_TEST(countAfterNotice("plain-0", n) == 0U);
  }
  BOOST_TEST(Told);
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against slots at a model worker after it said that it is leaving.
BOOST_AUTO_TEST_CASE(AModelWorkerThatLeavesGetsNothingMore) {
  const auto Calling = callers("write");
  All.control("model-0", {{"leaving", "1"}});
  std::this_thread::sleep_for(4s);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(countAfterNotice("model-0", n) == 0U);
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against a refusal whose headers are not read.
BOOST_AUTO_TEST_CASE(ARefusalSaysItToo) {
  const auto Calling = callers("read");
  All.control("plain-0", {{"refuse", 1000000}, {"leaving", "1"}});
  std::this_thread::sleep_for(3s);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(countAfterNotice("plain-0", n) == 0U);
}

// Guards against a notice that is forgotten when its row leaves the list of
// servers and comes back.
BOOST_AUTO_TEST_CASE(ANoticeOutlivesItsRowInTheList) {
  const auto Calling = callers("read");
  All.control("plain-0", {{"leaving", "1"}});
  std::this_thread::sleep_for(1s);
  All.store({{"remove", {"servers/plain-0"}}});
  std::this_thread::sleep_for(3s); // Beyond the grace for lapsed servers.
  All.registerServer("plain-0");
  std::this_thread::sleep_for(2s);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(countAfterNotice("plain-0", n) == 0U);
}

// Guards against a worker that is never used again after it has started anew
// under its former id.
BOOST_AUTO_TEST_CASE(AWorkerThatStartsAnewIsUsedAgain) {
  const auto Calling = callers("read");
  All.enterServer("plain-0", "plain-0", "ready", 1000);
  All.control("plain-0", {{"leaving", "1"}});
  std::this_thread::sleep_for(1s);
  All.control("plain-0", {{"restart", true}});
  All.enterServer("plain-0", "plain-0", "ready", 2000);
  std::this_thread::sleep_for(2s);
  const size_t Before = arrivals("plain-0", 0).size();
  std::this_thread::sleep_for(2s);
  BOOST_TEST(arrivals("plain-0", 0).size() > Before + 10);
}

BOOST_AUTO_TEST_SUITE_END()
