/** @file quarantine_test.cpp Requests suspected after deaths of back ends. */
// Labels: quarantine

#include "admission/quarantine_func.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace jacinthpond;
using namespace std::chrono_literals;

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
  const int Trial = static_cast<int>(Suspicion::Trial);
  TimePoint Now{Millis{1000000}};
  Quarantine State;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Deaths, Fixture)

// Guards against requests that are sent to back ends again soon after they were
// refused: each death makes the next trial rarer.
BOOST_AUTO_TEST_CASE(ASecondDeathRefusesForAWhile) {
  BOOST_TEST(suspicion() == None);
  BOOST_TEST(reportDeath("w1/7"));
  BOOST_TEST(!reportDeath("w1/7")); // The same death, over another link.
  BOOST_TEST(suspicion() == RunAlone);
  BOOST_TEST(reportDeath("w2/9"));
  BOOST_TEST(suspicion() == Refuse);
  BOOST_TEST(refusalTimeLeft(State, Fingerprint, Now).count() > 0);
  Now += 10min - 1ms;
  BOOST_TEST(suspicion() == Refuse);
  Now += 1ms;
  BOOST_TEST(suspicion() == Trial);
  BOOST_TEST(reportDeath("w3/1"));
  BOOST_TEST(suspicion() == Refuse);
  Now += 2h - 1ms;
  BOOST_TEST(suspicion() == Refuse);
  Now += 1ms;
  BOOST_TEST(suspicion() == Trial);
  BOOST_TEST(reportDeath("w4/1"));
  Now += 24h - 1ms;
  BOOST_TEST(suspicion() == Refuse);
  Now += 1ms;
  BOOST_TEST(suspicion() == None);
  dropExpiredSuspects(State, Now);
  BOOST_TEST(State.Suspects.empty());
}

// Guards against requests that are refused since they ran beside the one that
// crashes back ends.
BOOST_AUTO_TEST_CASE(WhoMerelyRanBesideItIsNotRefused) {
  const Digest Beside =
      fingerprintOf(WorkspaceName{"huts"}, ClassName{"reports"}, "beside");
  const auto SuspicionOfOther = [&] {
    return static_cast<int>(suspicionOf(State, Beside, Now));
  };
  const auto ReportBoth = [&](const std::string &Death) {
    applySuspectNotice(State, {Beside, Death, 0, false, false}, Now);
    reportDeath(Death);
  };
  ReportBoth("w1/1");
  ReportBoth("w2/1");
  // Either of them may have caused both deaths.
  BOOST_TEST(suspicion() == RunAlone);
  BOOST_TEST(SuspicionOfOther() == RunAlone);
  reportDeath("w3/1");
  BOOST_TEST(suspicion() == Refuse);
  BOOST_TEST(SuspicionOfOther() == RunAlone);
}

// Guards against two requests that crash back ends and excuse each other.
BOOST_AUTO_TEST_CASE(TwoThatAlwaysRunTogetherAreRefusedAfterThreeDeaths) {
  const Digest Other =
      fingerprintOf(WorkspaceName{"huts"}, ClassName{"reports"}, "other");
  for (const char *Death : {"w1/1", "w2/1", "w3/1"}) {
    applySuspectNotice(State, {Other, Death, 0, false, false}, Now);
    reportDeath(Death);
  }
  BOOST_TEST(suspicion() == Refuse);
  BOOST_TEST(static_cast<int>(suspicionOf(State, Other, Now)) == Refuse);
}

// Guards against a lost domain whose requests push out one that is refused.
BOOST_AUTO_TEST_CASE(ManySuspectsPushOutNoneThatIsRefused) {
  reportDeath("w1/1");
  reportDeath("w2/1");
  for (int n = 0; n < 10000; ++n) {
    Now += 1ms;
    applySuspectNotice(State,
                       {fingerprintOf({"huts"}, {"reports"}, std::to_string(n)),
                        "w" + std::to_string(n % 100) + "/3", 0, false, false},
                       Now);
  }
  BOOST_TEST(State.Suspects.size() <= 4096U);
  BOOST_TEST(suspicion() == Refuse);
}

// Guards against refused callers that make the refusal longer.
BOOST_AUTO_TEST_CASE(RefusalsDoNotProlongTheRefusal) {
  reportDeath("w1/1");
  reportDeath("w2/1");
  const Millis Before = refusalTimeLeft(State, Fingerprint, Now);
  Now += 1min;
  for (int n = 0; n < 100; ++n)
    BOOST_TEST(suspicion() == Refuse);
  BOOST_TEST(refusalTimeLeft(State, Fingerprint, Now).count() ==
             (Before - 1min).count());
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
  Now += 24h - 40s - 1ms;
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Fingerprint, Now)) ==
             RunAlone);
  Now += 1ms;
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Fingerprint, Now)) == None);
  BOOST_TEST(!reportDeath("w3/1", false, 86400000)); // Already expired.
}

// Workspace and body must not concatenate to the same fingerprint.
BOOST_AUTO_TEST_CASE(FingerprintsSeparateFields) {
  const ClassName Class{"reports"};
  BOOST_TEST(fingerprintOf(WorkspaceName{"ab"}, Class, "c").Value !=
             fingerprintOf(WorkspaceName{"a"}, Class, "bc").Value);
}

BOOST_AUTO_TEST_SUITE_END()
