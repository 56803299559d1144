/** @file admission_test.cpp Admission limits, queue order, retry times. */
// Labels: promise-2 overload

#include "admission/admission_func.h"
#include "admission/fair_queue_func.h"
#include "admission/token_pace_func.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace jacinthpond;

namespace {

/** Builds a request for admission with 30 s left. */
AdmissionRequest makeRequest(int n, const std::string &Workspace = "huts",
                             uint32_t Priority = 1, uint32_t Weight = 1) {
  AdmissionRequest One;
  One.Who = {AttemptId{std::to_string(n)}, WorkspaceName{Workspace}, Weight,
             Priority};
  One.Remaining = Millis{30000};
  return One;
}

struct Fixture {
  Fixture() {
    Gate.Limits = {16, 2, 4, 6};
    applyColdLimit(Gate);
  }
  /** Runs attempts to completion, one after the other. */
  void complete(int Runs, Millis Took = Millis{100}) {
    for (int n = 0; n < Runs; ++n) {
      requestAdmission(Gate, makeRequest(1000 + n));
      recordRunEnd(Gate, AttemptId{"any"}, RunEnd::Complete, Took);
    }
  }
  Admission Gate;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Limits, Fixture)

BOOST_AUTO_TEST_CASE(TheLimitGrowsWithCompletedWorkOnly) {
  complete(5);
  BOOST_TEST(Gate.Limit == 2U);
  requestAdmission(Gate, makeRequest(1));
  recordRunEnd(Gate, AttemptId{"1"}, RunEnd::Abandoned, Millis{100});
  BOOST_TEST(Gate.Limit == 2U);
  applyBackEndReport(Gate, 0, false, false);
  complete(1);
  BOOST_TEST(Gate.Limit == 4U);
  complete(4 + 8);
  BOOST_TEST(Gate.Limit == 16U);
}

BOOST_AUTO_TEST_CASE(AColdReportHoldsAndLowersTheLimit) {
  applyBackEndReport(Gate, 0, true, true);
  complete(50);
  BOOST_TEST(Gate.Limit == 2U);
  applyBackEndReport(Gate, 0, false, false);
  complete(1);
  BOOST_TEST(Gate.Limit == 4U);
  applyBackEndReport(Gate, 0, true, false);
  BOOST_TEST(Gate.Limit == 2U);
}

BOOST_AUTO_TEST_CASE(RunsOfAFormerAgentAreCounted) {
  applyBackEndReport(Gate, 3, false, true);
  BOOST_TEST((requestAdmission(Gate, makeRequest(1)).Decision ==
              AdmissionDecision::Wait));
  applyBackEndReport(Gate, 2, false, false);
  BOOST_TEST(!admitNext(Gate));
  applyBackEndReport(Gate, 1, false, false);
  BOOST_TEST(admitNext(Gate)->Value == "1");
  // Reports lag: they must not count attempts of this process twice.
  applyBackEndReport(Gate, 2, false, false);
  BOOST_TEST(Gate.Lingering <= 1U);
  applyBackEndReport(Gate, 1, false, false);
  BOOST_TEST(Gate.Lingering == 0U);
}

BOOST_AUTO_TEST_CASE(SlowTokensLowerTheLimit) {
  Gate.Limit = 16;
  for (int n = 0; n < 64; ++n)
    BOOST_TEST(!recordTokenGap(Gate, Millis{10}));
  // One stalled answer is not enough; most gaps have to be long.
  for (int n = 0; n < 32; ++n)
    BOOST_TEST(!recordTokenGap(Gate, Millis{n % 3 == 0 ? 500 : 10}));
  bool Lowered = false;
  for (int n = 0; n < 32; ++n)
    Lowered = recordTokenGap(Gate, Millis{100}) || Lowered;
  BOOST_TEST(Lowered);
  BOOST_TEST(Gate.Limit == 2U);
}

BOOST_AUTO_TEST_CASE(NothingStartsWhileMoreThanALoweredLimitRuns) {
  Gate.Limit = 16;
  for (int n = 0; n < 16; ++n)
    requestAdmission(Gate, makeRequest(n));
  requestAdmission(Gate, makeRequest(99));
  applyColdLimit(Gate);
  for (int n = 0; n < 14; ++n) {
    recordRunEnd(Gate, AttemptId{std::to_string(n)}, RunEnd::Complete,
                 Millis{100});
    BOOST_TEST(!admitNext(Gate));
  }
  recordRunEnd(Gate, AttemptId{"14"}, RunEnd::Complete, Millis{100});
  BOOST_TEST(admitNext(Gate)->Value == "99");
  BOOST_TEST(Gate.Limit == 2U);
}

BOOST_AUTO_TEST_CASE(RefusalsComeAtOnceWithARetryTime) {
  complete(2, Millis{1000});
  for (int n = 0; n < 2; ++n)
    requestAdmission(Gate, makeRequest(n));
  AdmissionRequest Hurried = makeRequest(2);
  Hurried.Remaining = Millis{900};
  BOOST_TEST(
      (requestAdmission(Gate, Hurried).Decision == AdmissionDecision::Refuse));
  for (int n = 3; n < 7; ++n)
    BOOST_TEST((requestAdmission(Gate, makeRequest(n)).Decision ==
                AdmissionDecision::Wait));
  const AdmissionResult Full = requestAdmission(Gate, makeRequest(7));
  BOOST_TEST((Full.Decision == AdmissionDecision::Refuse));
  // Five attempts to start, two at a time, one second each.
  BOOST_TEST(Full.RetryAfter.count() == 2500);
}

// A suspect waits until nothing else runs, and blocks later attempts meanwhile.
BOOST_AUTO_TEST_CASE(ASuspectRunsAlone) {
  requestAdmission(Gate, makeRequest(1));
  AdmissionRequest Suspect = makeRequest(2);
  Suspect.Alone = true;
  BOOST_TEST(
      (requestAdmission(Gate, Suspect).Decision == AdmissionDecision::Wait));
  BOOST_TEST((requestAdmission(Gate, makeRequest(3)).Decision ==
              AdmissionDecision::Wait));
  BOOST_TEST(!admitNext(Gate));
  recordRunEnd(Gate, AttemptId{"1"}, RunEnd::Complete, Millis{1});
  BOOST_TEST(admitNext(Gate)->Value == "2");
  BOOST_TEST(!admitNext(Gate));
  recordRunEnd(Gate, AttemptId{"2"}, RunEnd::Complete, Millis{1});
  BOOST_TEST(admitNext(Gate)->Value == "3");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Order)

BOOST_AUTO_TEST_CASE(WorkspacesShareByWeight) {
  FairQueue Queue;
  for (int n = 0; n < 60; ++n)
    enqueueWaiter(Queue, makeRequest(n, "large").Who);
  for (int n = 100; n < 140; ++n)
    enqueueWaiter(Queue, makeRequest(n, "heavy", 1, 2).Who);
  for (int n = 200; n < 202; ++n)
    enqueueWaiter(Queue, makeRequest(n, "small").Who);
  std::map<size_t, int> Taken; // By workspace: 1 large, 2 heavy, 3 small.
  int Small = 0;
  for (int n = 0; n < 24; ++n) {
    const int Id = std::stoi(dequeueWaiter(Queue)->Value);
    ++Taken[Id < 100 ? 1 : Id < 200 ? 2 : 3];
    Small += Id >= 200 && n < 8 ? 1 : 0;
  }
  BOOST_TEST(Small == 2);
  BOOST_TEST(std::abs(Taken[2] - 2 * Taken[1]) <= 2);
}

BOOST_AUTO_TEST_CASE(HigherClassesFirstButLowerOnesNeverStarve) {
  FairQueue Queue;
  enqueueWaiter(Queue, makeRequest(1, "a", 1).Who);
  for (int n = 10; n < 40; ++n)
    enqueueWaiter(Queue, makeRequest(n, "a", 5).Who);
  int Place = 0;
  while (dequeueWaiter(Queue)->Value != "1")
    ++Place;
  BOOST_TEST(Place == 8);
}

BOOST_AUTO_TEST_CASE(AFullQueueMakesRoomForTheSmallWorkspace) {
  FairQueue Queue;
  for (int n = 0; n < 4; ++n)
    enqueueWaiter(Queue, makeRequest(n, "large").Who);
  BOOST_TEST(evictForNewcomer(Queue, makeRequest(9, "small").Who)->Value ==
             "3");
  enqueueWaiter(Queue, makeRequest(9, "small").Who);
  BOOST_TEST(!evictForNewcomer(Queue, makeRequest(5, "large").Who));
  BOOST_TEST(evictForNewcomer(Queue, makeRequest(6, "large", 2).Who)->Value ==
             "2");
  BOOST_TEST(countAhead(Queue, makeRequest(7, "new").Who) == 2U);
  BOOST_TEST(removeWaiter(Queue, AttemptId{"9"}));
  BOOST_TEST(allWaiters(Queue).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
