/** @file quarantine_test.cpp Requests suspected after deaths of back ends. */
// Labels: quarantine

#include "admission/quarantine_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

struct Fixture {
  /** Applies a notice of a death; true when it is news. */
  bool reportDeath(const std::string &Death, bool Alone = false,
                   uint64_t AgeMillis = 0) {
    return applySuspectNotice(
        State, {Fingerprint, Death, AgeMillis, Alone, false}, Now);
  }
  /** Gives how the request is to be treated now. */
  int suspicion() const {
    return static_cast<int>(suspicionOf(State, Fingerprint, Now));
  }
  const Digest Fingerprint =
      fingerprintOf(WorkspaceName{"huts"}, ClassName{"reports"}, "body");
  const int None = static_cast<int>(Suspicion::None);
  const int RunAlone = static_cast<int>(Suspicion::RunAlone);
  const int Refuse = static_cast<int>(Suspicion::Refuse);
  TimePoint Now{Millis{1000000}};
  Quarantine State;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Deaths, Fixture)

BOOST_AUTO_TEST_CASE(ASecondDeathRefusesForAWhile) {
  BOOST_TEST(suspicion() == None);
  BOOST_TEST(reportDeath("w1/7"));
  BOOST_TEST(!reportDeath("w1/7")); // The same death, over another link.
  BOOST_TEST(suspicion() == RunAlone);
  BOOST_TEST(reportDeath("w2/9"));
  BOOST_TEST(suspicion() == Refuse);
  BOOST_TEST(refusalTimeLeft(State, Fingerprint, Now).count() > 0);
  Now += Millis{61000};
  BOOST_TEST(suspicion() == None);
  dropExpiredSuspects(State, Now);
  BOOST_TEST(State.Suspects.empty());
}

BOOST_AUTO_TEST_CASE(ADeathWhileRunningAloneRefusesAtOnce) {
  BOOST_TEST(reportDeath("w1/7", true));
  BOOST_TEST(suspicion() == Refuse);
}

BOOST_AUTO_TEST_CASE(ACompletedRunClearsOnAllHosts) {
  reportDeath("w1/7");
  Quarantine Other = State;
  Membership Fleet;
  Fleet.Links[LinkId{4}].State = LinkState::Ready;
  Effects Out;
  clearSuspect(State, Fingerprint, Fleet, Now, Out);
  BOOST_TEST(suspicion() == None);
  BOOST_REQUIRE(Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(Out.front());
  const auto Notice = std::get<SuspectNotice>(Sent.Content);
  BOOST_TEST(applySuspectNotice(Other, Notice, Now));
  BOOST_TEST(
      !applySuspectNotice(Other, Notice, Now)); // No news: not forwarded.
  // The old notice, forwarded late, is not applied again.
  BOOST_TEST(
      !applySuspectNotice(Other, {Fingerprint, "w1/7", 0, false, false}, Now));
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Fingerprint, Now)) == None);
  // A later death counts as the first one.
  applySuspectNotice(Other, {Fingerprint, "w2/9", 0, false, false}, Now);
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Fingerprint, Now)) ==
             RunAlone);
}

BOOST_AUTO_TEST_CASE(ANewPeerLearnsSuspectsWithTheirAge) {
  reportDeath("w1/7");
  Now += Millis{40000};
  Effects Out;
  sendSuspects(State, LinkId{1}, Now, Out);
  BOOST_REQUIRE(Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(Out.front());
  const auto Notice = std::get<SuspectNotice>(Sent.Content);
  BOOST_TEST(Notice.AgeMillis == 40000U);
  Quarantine Other;
  BOOST_TEST(applySuspectNotice(Other, Notice, Now));
  Now += Millis{21000};
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Fingerprint, Now)) == None);
  BOOST_TEST(!reportDeath("w3/1", false, 61000)); // Already expired.
}

// Workspace and body must not concatenate to the same fingerprint.
BOOST_AUTO_TEST_CASE(FingerprintsSeparateFields) {
  const ClassName Class{"reports"};
  BOOST_TEST(fingerprintOf(WorkspaceName{"ab"}, Class, "c").Value !=
             fingerprintOf(WorkspaceName{"a"}, Class, "bc").Value);
}

BOOST_AUTO_TEST_SUITE_END()
