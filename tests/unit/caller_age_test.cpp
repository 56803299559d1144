/** @file caller_age_test.cpp Distinguishing retrying callers from new ones. */
// Labels: routes admission

#include "forwarding/caller_age_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

/** Makes a route with a timeout of six seconds. */
Route makeRoute() {
  Route Matched;
  Matched.Name = "r";
  Matched.Timeout = Millis(6000);
  return Matched;
}

/** Learns the deadlines of new callers, which differ by a sixth. */
void learnDeadlines(InitialDeadlines &Deadlines, const Route &Matched) {
  for (int n = 0; n < 100; ++n)
    BOOST_TEST(
        callerAge(Deadlines, Matched, Millis(5100 + (n * 37) % 900)).count() ==
        0);
}

} // namespace

BOOST_AUTO_TEST_CASE(ARetryingCallerHasAnAge) {
  InitialDeadlines Deadlines;
  const Route Matched = makeRoute();
  learnDeadlines(Deadlines, Matched);
  const Duration Age = callerAge(Deadlines, Matched, Millis(4000));
  BOOST_TEST(toMillis(Age).count() > 500);
  BOOST_TEST(toMillis(Age).count() <= 2000);
}

// Guards against a single caller with a very long deadline that makes all
// others look like retrying ones: no route keeps a request longer than its
// timeout.
BOOST_AUTO_TEST_CASE(ADeadlineBeyondTheTimeoutHasNoEffect) {
  InitialDeadlines Deadlines;
  const Route Matched = makeRoute();
  callerAge(Deadlines, Matched, std::chrono::hours(1));
  learnDeadlines(Deadlines, Matched);
}

// Guards against new callers that look old after the operator shortened the
// timeout of a route, or after callers changed their deadlines.
BOOST_AUTO_TEST_CASE(FormerDeadlinesAreForgotten) {
  InitialDeadlines Deadlines;
  const Route Matched = makeRoute();
  learnDeadlines(Deadlines, Matched);
  for (int n = 0; n < 500; ++n)
    callerAge(Deadlines, Matched, Millis(2000));
  BOOST_TEST(callerAge(Deadlines, Matched, Millis(2000)).count() == 0);
}

// Guards against a memory leak: routes get new names with each change of the
// configuration.
BOOST_AUTO_TEST_CASE(RemovedRoutesAreForgotten) {
  InitialDeadlines Deadlines;
  Document Doc;
  Doc.Routes.push_back(makeRoute());
  learnDeadlines(Deadlines, Doc.Routes.front());
  forgetRemovedRoutes(Deadlines, Doc);
  BOOST_TEST(Deadlines.LongestDeadline.size() == 1U);
  forgetRemovedRoutes(Deadlines, Document{});
  BOOST_TEST(Deadlines.LongestDeadline.empty());
}

BOOST_AUTO_TEST_CASE(ALateRequestKeepsTimeForARetry) {
  BOOST_TEST(lateRequestWait(Millis(3000)).count() == 1000);
  BOOST_TEST(lateRequestWait(std::chrono::hours(1)).count() <= 2000);
  BOOST_TEST(lateRequestWait(Duration{-1}).count() == 0);
}

BOOST_AUTO_TEST_CASE(ACallerIsRecognizedAfterItsRetryDelay) {
  // Guards against late callers that take the slots of others under overload:
  // refused ones retried after 0.2 s and counted as new, since the deadlines of
  // new callers differ by a sixth. They were late already, and others that
  // could still be on time got no slot.
  InitialDeadlines Deadlines;
  const Route Matched = makeRoute();
  BOOST_TEST((recognizableRetryDelay(Deadlines, Matched) == Duration{0}));
  learnDeadlines(Deadlines, Matched);
  const Duration Delay = recognizableRetryDelay(Deadlines, Matched);
  BOOST_TEST((Delay > Millis(1000) && Delay < Millis(1300)));
  BOOST_TEST(
      (callerAge(Deadlines, Matched, Millis(5900) - Delay) > Duration{0}));
}
