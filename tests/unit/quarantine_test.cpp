/** @file quarantine_test.cpp What deaths say of the requests at them. */
// Labels: quarantine

#include "admission/quarantine_func.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;

namespace {

struct Fixture {
  bool tell(const std::string &Death, bool Alone = false,
            uint64_t AgeMillis = 0) {
    return noteSuspect(State, {Print, Death, AgeMillis, Alone, false}, Now);
  }
  int now() const { return static_cast<int>(suspicionOf(State, Print, Now)); }
  const Digest Print =
      fingerprintOf(TenantName{"huts"}, ClassName{"reports"}, "body");
  const int None = static_cast<int>(Suspicion::None);
  const int RunAlone = static_cast<int>(Suspicion::RunAlone);
  const int Refuse = static_cast<int>(Suspicion::Refuse);
  TimePoint Now{Millis{1000000}};
  Quarantine State;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Deaths, Fixture)

BOOST_AUTO_TEST_CASE(TheSecondDeathRefusesForATime) {
  BOOST_TEST(now() == None);
  BOOST_TEST(tell("w1/7"));
  BOOST_TEST(!tell("w1/7")); // The same death by another way.
  BOOST_TEST(now() == RunAlone);
  BOOST_TEST(tell("w2/9"));
  BOOST_TEST(now() == Refuse);
  BOOST_TEST(refusedFor(State, Print, Now).count() > 0);
  Now += Millis{61000};
  BOOST_TEST(now() == None);
  forgetSuspects(State, Now);
  BOOST_TEST(State.Suspects.empty());
}

BOOST_AUTO_TEST_CASE(DyingAloneIsProofEnough) {
  BOOST_TEST(tell("w1/7", true));
  BOOST_TEST(now() == Refuse);
}

BOOST_AUTO_TEST_CASE(RunningWholeClearsEverywhere) {
  tell("w1/7");
  Quarantine Other = State;
  Membership Fleet;
  Fleet.Links[LinkId{4}].State = LinkState::Ready;
  Effects Out;
  clearSuspect(State, Print, Fleet, Now, Out);
  BOOST_TEST(now() == None);
  BOOST_REQUIRE(Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(Out.front());
  const auto Notice = std::get<SuspectNotice>(Sent.Content);
  BOOST_TEST(noteSuspect(Other, Notice, Now));
  BOOST_TEST(!noteSuspect(Other, Notice, Now)); // No news: not passed on.
  // The old news, passed on late, is not taken again.
  BOOST_TEST(!noteSuspect(Other, {Print, "w1/7", 0, false, false}, Now));
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Print, Now)) == None);
  // A later death of another cause counts as the first.
  noteSuspect(Other, {Print, "w2/9", 0, false, false}, Now);
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Print, Now)) == RunAlone);
}

BOOST_AUTO_TEST_CASE(ANewPeerLearnsAllWithItsAge) {
  tell("w1/7");
  Now += Millis{40000};
  Effects Out;
  tellSuspects(State, LinkId{1}, Now, Out);
  BOOST_REQUIRE(Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(Out.front());
  const auto Notice = std::get<SuspectNotice>(Sent.Content);
  BOOST_TEST(Notice.AgeMillis == 40000U);
  Quarantine Other;
  BOOST_TEST(noteSuspect(Other, Notice, Now));
  Now += Millis{21000};
  BOOST_TEST(static_cast<int>(suspicionOf(Other, Print, Now)) == None);
  BOOST_TEST(!tell("w3/1", false, 61000)); // Too old to be told.
}

BOOST_AUTO_TEST_CASE(FieldsAreKeptApart) {
  const ClassName Class{"reports"};
  BOOST_TEST(fingerprintOf(TenantName{"ab"}, Class, "c").Value !=
             fingerprintOf(TenantName{"a"}, Class, "bc").Value);
}

BOOST_AUTO_TEST_SUITE_END()
