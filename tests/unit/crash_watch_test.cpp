/** @file crash_watch_test.cpp Telling crashes of back ends from lost answers.
 */
// Labels: quarantine routes

#include "forwarding/crash_watch_func.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace jacinthpond;

namespace {

struct Fixture {
  /** Lets an answer break off, and the check of the address end. */
  std::vector<SuspectNotice>
  breakOff(const std::string &Run, const Digest &Request, AddressCheck Result) {
    recordBrokenAnswer(Watch, Run, Request, Now);
    recordAddressCheck(Watch, Run, Result);
    return takeCrashNotices(Watch, Now);
  }

  const Digest Fatal{"fatal"};
  const Digest Beside{"beside"};
  TimePoint Now{Millis{1000000}};
  CrashWatch Watch;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Crashes, Fixture)

// Guards against crashes that accuse nobody, or somebody twice.
BOOST_AUTO_TEST_CASE(ARefusedConnectionMakesSuspects) {
  BOOST_TEST(recordBrokenAnswer(Watch, "w1/1", Fatal, Now));
  BOOST_TEST(!recordBrokenAnswer(Watch, "w1/1", Beside, Now));
  BOOST_TEST(isUnderWatch(Watch, Fatal));
  BOOST_TEST(takeCrashNotices(Watch, Now).empty()); // Not checked yet.
  Now += AddressCheckDelay;
  recordAddressCheck(Watch, "w1/1", AddressCheck::Refused);
  const auto Notices = takeCrashNotices(Watch, Now);
  BOOST_REQUIRE(Notices.size() == 2U);
  BOOST_TEST(Notices.front().DeathId == "w1/1");
  BOOST_TEST(Notices.front().AgeMillis == 100U);
  BOOST_TEST(takeCrashNotices(Watch, Now).empty());
  BOOST_TEST(!isUnderWatch(Watch, Fatal));
  // An answer whose end is seen late belongs to the same crash.
  const Digest Late{"late"};
  BOOST_TEST(!recordBrokenAnswer(Watch, "w1/1", Late, Now));
  BOOST_TEST(takeCrashNotices(Watch, Now).size() == 1U);
}

// Guards against lost answers, resets and lost hosts that count as crashes.
BOOST_AUTO_TEST_CASE(WithoutARefusedConnectionNobodyIsSuspect) {
  BOOST_TEST(breakOff("w1/1", Fatal, AddressCheck::Accepted).empty());
  BOOST_TEST(breakOff("w2/1", Fatal, AddressCheck::NoAnswer).empty());
  BOOST_TEST(!isUnderWatch(Watch, Fatal));
  BOOST_TEST(Watch.Runs.empty());
}

// Guards against a suspicion that outlives its reason: the run still answers.
BOOST_AUTO_TEST_CASE(ASignOfLifeWithdrawsTheSuspicion) {
  breakOff("w1/1", Fatal, AddressCheck::Refused);
  const TimePoint Broke = Now;
  Now += Millis(300);
  BOOST_TEST(recordSignOfLife(Watch, "w1/1", Broke, Now).empty());
  const auto Withdrawn =
      recordSignOfLife(Watch, "w1/1", Broke + Millis(1), Now);
  BOOST_REQUIRE(Withdrawn.size() == 1U);
  BOOST_TEST(Withdrawn.front().Cleared);
}

// Guards against a back end that started again under its id and clears the
// request that crashed it.
BOOST_AUTO_TEST_CASE(ANewRunUnderTheSameIdWithdrawsNothing) {
  breakOff("w1/0", Fatal, AddressCheck::Refused);
  Now += Millis(1500);
  BOOST_TEST(recordSignOfLife(Watch, "w1/0", Now, Now).empty());
}

// Guards against a request that completed elsewhere before the check ended, and
// is suspect for ever.
BOOST_AUTO_TEST_CASE(ACompletedRequestIsNotAnnounced) {
  recordBrokenAnswer(Watch, "w1/1", Beside, Now);
  forgetCompleted(Watch, Beside);
  recordAddressCheck(Watch, "w1/1", AddressCheck::Refused);
  BOOST_TEST(takeCrashNotices(Watch, Now).empty());
}

// Guards against a storm of notices when a domain is lost, and against a
// request that hides behind many crashes.
BOOST_AUTO_TEST_CASE(OfManyCrashesTogetherOnlyCommonRequestsAreSuspect) {
  for (int n = 0; n < 40; ++n) {
    const std::string Run = "w" + std::to_string(n) + "/1";
    recordBrokenAnswer(Watch, Run, Digest{std::to_string(n)}, Now);
  }
  recordBrokenAnswer(Watch, "w3/1", Fatal, Now);
  recordBrokenAnswer(Watch, "w7/1", Fatal, Now);
  for (int n = 0; n < 40; ++n)
    recordAddressCheck(Watch, "w" + std::to_string(n) + "/1",
                       AddressCheck::Refused);
  const auto Notices = takeCrashNotices(Watch, Now);
  BOOST_REQUIRE(Notices.size() == 2U);
  BOOST_TEST(Notices.front().Fingerprint.Value == Fatal.Value);
  BOOST_TEST(Notices.back().Fingerprint.Value == Fatal.Value);
  // One more crash some time later is a single one again.
  Now += Millis(1000);
  BOOST_TEST(breakOff("w99/1", Beside, AddressCheck::Refused).size() == 1U);
}

// Guards against a record that grows with every broken answer.
BOOST_AUTO_TEST_CASE(OldRunsAreForgotten) {
  for (int n = 0; n < 1000; ++n)
    recordBrokenAnswer(Watch, "w" + std::to_string(n) + "/1", Beside, Now);
  BOOST_TEST(Watch.Runs.size() <= 256U);
  Now += std::chrono::seconds(10);
  dropOldRuns(Watch, Now);
  BOOST_TEST(Watch.Runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()
