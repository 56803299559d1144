/** @file retry_after_test.cpp Back ends that ask for a pause. */
// Labels: routes platform

#include "arrivals.h"

#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

/** Pause that back ends ask for, and as they send it. */
constexpr auto Pause = 3s;
constexpr const char *PauseText = "3";
/** Requests under way when a pause begins arrive within this time. */
constexpr auto Transit = 500ms;
/** Requests that may reach a back end in the rest of its pause. */
constexpr size_t MostInPause = 2;
/** Refusals of a back end that sheds all its load. */
constexpr int ShedAll = 1000000;

struct Pausing : MarkedFleet {
  /** Lets a back end refuse everything and ask for pauses. */
  void shed(const std::string &Worker, const Json &RetryAfter) const {
    All.control(Worker, {{"refuse", ShedAll}, {"retry_after", RetryAfter}});
  }

  /** Most requests that an entry sent to a back end within a pause. */
  size_t mostInPause(const std::string &Worker, size_t Entry) const {
    const std::vector<Arrival> Came = arrivals(Worker, Entry);
    size_t Most = 0;
    for (const Arrival &Asked : Came)
      if (Asked.Pause)
        Most = std::max<size_t>(
            Most, std::ranges::count_if(Came, [&](const Arrival &One) {
              return One.Id == Asked.Id && One.At > Asked.At + Transit &&
                     One.At < Asked.At + Pause;
            }));
    return Most;
  }

  /** Requests that an entry has sent to a back end so far. */
  size_t count(const std::string &Worker, size_t Entry) const {
    return arrivals(Worker, Entry).size();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetryAfter, Pausing)

// Guards against requests to a plain service while it has asked for a pause.
BOOST_AUTO_TEST_CASE(APlainServiceGetsNothingDuringItsPause) {
  const auto Calling = callers("read");
  shed("plain-0", PauseText);
  std::this_thread::sleep_for(7s);
  for (size_t n = 0; n < Entries; ++n) {
    BOOST_TEST(count("plain-0", n) > 0U);
    BOOST_TEST(mostInPause("plain-0", n) <= MostInPause);
  }
  // The other back end takes what this one does not.
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against slots that an agent grants while its worker has asked this
// entry for a pause.
BOOST_AUTO_TEST_CASE(AModelWorkerGetsNothingDuringItsPause) {
  const auto Calling = callers("write");
  shed("model-0", PauseText);
  std::this_thread::sleep_for(7s);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(mostInPause("model-0", n) <= MostInPause);
  BOOST_TEST(Calling->Served >= Calling->Asked - 10);
}

// Guards against requests that are sent to a paused back end for want of
// another one, and against callers that are held although none can serve them.
BOOST_AUTO_TEST_CASE(WithAllBackEndsPausedCallersAreRefusedAtOnce) {
  shed("plain-0", PauseText);
  shed("plain-1", PauseText);
  for (int n = 0; n < 4; ++n) // Each refusal shows one more pause.
    All.ask(0, marked("read", 0));
  const size_t Before = count("plain-0", 0) + count("plain-1", 0);
  for (int n = 0; n < 5; ++n) {
    const auto Start = std::chrono::steady_clock::now();
    const httplib::Response Answer = All.ask(0, marked("read", 0));
    BOOST_TEST(Answer.status == 503);
    BOOST_TEST(std::atof(Answer.get_header_value("Retry-After").c_str()) > 0);
    BOOST_CHECK(std::chrono::steady_clock::now() - Start < 300ms);
  }
  BOOST_TEST(count("plain-0", 0) + count("plain-1", 0) == Before);
}

// Guards against a pause that ends early when the list of servers changes.
BOOST_AUTO_TEST_CASE(APauseOutlivesItsRowInTheList) {
  const auto Calling = callers("read");
  shed("plain-0", PauseText);
  std::this_thread::sleep_for(500ms);
  All.store({{"remove", {"servers/plain-0"}}});
  std::this_thread::sleep_for(500ms);
  All.registerServer("plain-0");
  std::this_thread::sleep_for(3s);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(mostInPause("plain-0", n) <= MostInPause);
}

// Guards against a back end that gets nothing any more after its pause.
BOOST_AUTO_TEST_CASE(APausedBackEndIsUsedAgainAfterwards) {
  const auto Calling = callers("read");
  shed("plain-0", "1");
  std::this_thread::sleep_for(1s);
  All.control("plain-0", {{"refuse", 0}});
  std::this_thread::sleep_for(3s);
  const size_t Before = count("plain-0", 0);
  std::this_thread::sleep_for(2s);
  BOOST_TEST(count("plain-0", 0) > Before + 10);
}

// Guards against a new server that is spared for what the former one at its
// address asked for.
BOOST_AUTO_TEST_CASE(ANewServerAtTheAddressHasAskedForNothing) {
  const auto Calling = callers("read");
  shed("plain-0", "30");
  std::this_thread::sleep_for(1s);
  All.store({{"remove", {"servers/plain-0"}}});
  All.control("plain-0", {{"id", "plain-0b"}, {"restart", true}});
  All.enterServer("plain-0", "plain-0b", "ready");
  std::this_thread::sleep_for(2s);
  const size_t Before = count("plain-0", 0);
  std::this_thread::sleep_for(2s);
  BOOST_TEST(count("plain-0", 0) > Before + 10);
}

// Guards against values that are no number of seconds and still stop requests.
BOOST_AUTO_TEST_CASE(AnUnreadableValueAsksForNothing) {
  const auto Calling = callers("read");
  for (const char *Value :
       {"soon", "-3", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9"}) {
    shed("plain-0", Value);
    std::this_thread::sleep_for(500ms);
    All.control("plain-0", {{"refuse", 0}});
    std::this_thread::sleep_for(2s);
    const size_t Before = count("plain-0", 0);
    std::this_thread::sleep_for(1s);
    BOOST_TEST(count("plain-0", 0) > Before + 5, Value);
  }
}

BOOST_AUTO_TEST_SUITE_END()
