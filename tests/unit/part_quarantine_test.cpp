/** @file part_quarantine_test.cpp Parts of prompts suspected after crashes. */
// Labels: quarantine

#include "admission/part_history_func.h"
#include "admission/quarantine_func.h"
#include "forwarding/crash_watch_func.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace jacinthpond;

namespace {

struct Fixture {
  /** Reports a crash at which a request with some parts was under way. */
  void crash(const std::string &Run, const RequestDigests &Request) {
    applySuspectNotice(State, {Request.Content, Run, 0, false, false}, Now);
    for (const Digest &Part : Request.Parts)
      applySuspectNotice(State, {Part, Run, 0, false, false, Request.Content},
                         Now);
  }
  bool isRefused(const Digest &One) const {
    return suspicionOf(State, One, Now) == Suspicion::Refuse;
  }
  /** A request of its own content. */
  RequestDigests newRequest(std::vector<Digest> Parts) {
    return {Digest{"content-" + std::to_string(++Requests)}, std::move(Parts)};
  }
  void beginHot() {
    for (int n = 0; n < 200; ++n) {
      Now += Millis(50);
      recordBegun(State.Seen, Hot, Now - AnswerBegunAfter, Now);
    }
  }
  const Digest Hot{"hot"};
  const Digest Guilty{"guilty"};
  const Digest Beside{"beside"};
  int Requests = 0;
  TimePoint Now{Millis{1000000}};
  Quarantine State;
  CrashWatch Watch;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PartSuspects, Fixture)

// Guards against requests, no two alike, of which each is a new suspect.
BOOST_AUTO_TEST_CASE(APartOfDifferentRequestsIsRefusedAfterThreeDeaths) {
  crash("w1/1", newRequest({Guilty}));
  crash("w2/1", newRequest({Guilty}));
  BOOST_TEST(!isRefused(Guilty));
  crash("w3/1", newRequest({Guilty}));
  BOOST_TEST(isRefused(Guilty));
}

// Guards against a part that is never refused since its requests are few, and
// each is sent on after a crash.
BOOST_AUTO_TEST_CASE(FourDeathsOfTwoRequestsAreEnough) {
  const RequestDigests First = newRequest({Guilty});
  const RequestDigests Second = newRequest({Guilty});
  crash("w1/1", First);
  crash("w2/1", First);
  crash("w3/1", Second);
  BOOST_TEST(!isRefused(Guilty));
  crash("w4/1", Second);
  BOOST_TEST(isRefused(Guilty));
}

// Guards against parts that are refused for a request that crashes back ends by
// all its content.
BOOST_AUTO_TEST_CASE(ThePartsOfOneRequestAreNot) {
  const RequestDigests Copy = newRequest({Beside});
  for (const char *Run : {"w1/1", "w2/1", "w3/1", "w4/1"})
    crash(Run, Copy);
  BOOST_TEST(isRefused(Copy.Content));
  BOOST_TEST(!isRefused(Beside));
}

// Guards against a request that was lost at two crashes of a part, and is
// refused.
BOOST_AUTO_TEST_CASE(APartExplainsTheDeathsOfRequestsBesideIt) {
  const RequestDigests Sound = newRequest({Beside});
  for (const char *Run : {"w1/1", "w2/1", "w3/1"}) {
    crash(Run, newRequest({Guilty}));
    if (std::string(Run) != "w3/1")
      crash(Run, Sound);
  }
  BOOST_TEST(isRefused(Guilty));
  BOOST_TEST(!isRefused(Sound.Content));
  BOOST_TEST(!isRefused(Beside));
}

// Guards against a part of many requests that is suspected with the one that
// crashes back ends, or excuses it.
BOOST_AUTO_TEST_CASE(AHotPartIsNoSuspectAndNoExcuse) {
  beginHot();
  for (const char *Run : {"w1/1", "w2/1", "w3/1", "w4/1"}) {
    crash(Run, newRequest({Hot, Guilty}));
    BOOST_TEST(static_cast<int>(suspicionOf(State, Hot, Now)) ==
               static_cast<int>(Suspicion::None));
    Now += Millis(60);
  }
  BOOST_TEST(isRefused(Guilty));
  BOOST_TEST(!isRefused(Hot));
}

// Guards against a sound part that turns deadly and is excused for ever by what
// was begun before.
BOOST_AUTO_TEST_CASE(APartThatTurnsDeadlyIsRefused) {
  beginHot();
  crash("w1/1", newRequest({Hot}));
  crash("w2/1", newRequest({Hot}));
  crash("w3/1", newRequest({Hot}));
  BOOST_TEST(!isRefused(Hot));
  Now += Millis(800);
  BOOST_TEST(isRefused(Hot));
}

// Guards against a sound part that is refused by mistake, for hours, and
// against trials of one that is not sound any more.
BOOST_AUTO_TEST_CASE(APartThatWasSoundIsTriedSoonAndThenRarely) {
  const auto Found = [&] { return suspicionOf(State, Hot, Now); };
  beginHot();
  for (const char *Run : {"w1/1", "w2/1", "w3/1"})
    crash(Run, newRequest({Hot}));
  Now += std::chrono::seconds(9);
  BOOST_TEST((Found() == Suspicion::Refuse));
  Now += std::chrono::seconds(1);
  BOOST_TEST((Found() == Suspicion::Trial));
  crash("w4/1", newRequest({Hot}));
  Now += std::chrono::minutes(9);
  BOOST_TEST((Found() == Suspicion::Refuse));
  Now += std::chrono::minutes(1);
  BOOST_TEST((Found() == Suspicion::Trial));
  crash("w5/1", newRequest({Hot}));
  Now += std::chrono::hours(23);
  BOOST_TEST((Found() == Suspicion::Refuse));
}

// Guards against copies of a request that crash back ends and are sent on,
// since a part that all requests share ran at the same crashes.
BOOST_AUTO_TEST_CASE(AHotPartDoesNotExplainTheDeathsOfARequest) {
  beginHot();
  const RequestDigests Copy = newRequest({});
  for (const char *Run : {"w1/1", "w2/1"}) {
    crash(Run, Copy);
    crash(Run, newRequest({Hot}));
  }
  Now += Millis(5000);
  BOOST_TEST(isRefused(Copy.Content));
}

// Guards against a part that was sound before, ran beside one that crashes back
// ends at all crashes, and is refused with it.
BOOST_AUTO_TEST_CASE(APartThatWasSoundIsExplainedByOneThatNeverWas) {
  beginHot();
  crash("w1/1", newRequest({Hot, Guilty}));
  crash("w2/1", newRequest({Hot}));
  crash("w3/1", newRequest({Hot, Guilty}));
  crash("w4/1", newRequest({Hot, Guilty}));
  Now += Millis(3000);
  BOOST_TEST(isRefused(Guilty));
  BOOST_TEST(!isRefused(Hot));
}

// Guards against an answer that was begun before a crash and clears the part of
// it, and against one that was begun after it and does not.
BOOST_AUTO_TEST_CASE(ABeginClearsTheDeathsBeforeIt) {
  crash("w1/1", newRequest({Beside}));
  Now += Millis(100);
  const TimePoint BegunAt = Now;
  Now += Millis(100);
  crash("w2/1", newRequest({Beside}));
  const auto Notices = clearPart(State, Beside, BegunAt, Now);
  BOOST_REQUIRE(Notices.size() == 1U);
  BOOST_TEST(Notices.front().DeathId == "w1/1");
  BOOST_TEST(Notices.front().Cleared);
  BOOST_TEST(State.Suspects.at(Beside).Deaths.contains("w2/1"));
}

// Guards against an entry that starts and does not know which parts are
// refused.
BOOST_AUTO_TEST_CASE(ANewPeerLearnsRefusedParts) {
  for (const char *Run : {"w1/1", "w2/1", "w3/1"})
    crash(Run, newRequest({Guilty}));
  Effects Out;
  sendSuspects(State, LinkId{1}, Now, Out);
  Quarantine Other;
  for (const Effect &One : Out)
    applySuspectNotice(
        Other, std::get<SuspectNotice>(std::get<SendMessage>(One).Content),
        Now);
  BOOST_TEST((suspicionOf(Other, Guilty, Now) == Suspicion::Refuse));
}

// Guards against parts that are accused of a crash in the middle of an answer.
BOOST_AUTO_TEST_CASE(OnlyPartsWithoutABegunAnswerAreAccused) {
  const RequestDigests Begun = newRequest({Beside});
  const RequestDigests Unbegun = newRequest({Guilty});
  recordBrokenAnswer(Watch, "w1/1", Begun.Content, Now);
  recordBrokenAnswer(Watch, "w1/1", Unbegun.Content, Now);
  recordUnbegunParts(Watch, "w1/1", Unbegun);
  recordAddressCheck(Watch, "w1/1", AddressCheck::Refused);
  const auto Notices = takeCrashNotices(Watch, Now);
  BOOST_TEST(Notices.size() == 3U);
  for (const SuspectNotice &One : Notices) {
    BOOST_TEST((One.Fingerprint != Beside));
    BOOST_TEST((One.Fingerprint == Guilty) == !One.Request.Value.empty());
  }
}

// Guards against a hot part that peers are told of, and one that turned deadly
// of which they never are.
BOOST_AUTO_TEST_CASE(AHotPartIsAnnouncedOnceItsSilenceIsNotUsual) {
  beginHot();
  const RequestDigests One = newRequest({Hot});
  recordBrokenAnswer(Watch, "w1/1", One.Content, Now);
  recordUnbegunParts(Watch, "w1/1", One);
  recordAddressCheck(Watch, "w1/1", AddressCheck::Refused);
  BOOST_TEST(takeCrashNotices(Watch, Now, State.Seen).size() == 1U);
  BOOST_TEST((verdictOn(State, Watch, One, Now).How == Suspicion::None));
  Now += Millis(800);
  BOOST_TEST(takeCrashNotices(Watch, Now, State.Seen).size() == 1U);
}

// Guards against a part that is judged by the more lenient of its requests'
// suspicions.
BOOST_AUTO_TEST_CASE(TheStrictestSuspicionCounts) {
  for (const char *Run : {"w1/1", "w2/1", "w3/1"})
    crash(Run, newRequest({Guilty}));
  crash("w4/1", newRequest({Beside}));
  const Verdict Found =
      verdictOn(State, Watch, newRequest({Beside, Guilty}), Now);
  BOOST_TEST((Found.How == Suspicion::Refuse));
  BOOST_TEST(Found.Suspect.Value == Guilty.Value);
  const Verdict Other = verdictOn(State, Watch, newRequest({Beside}), Now);
  BOOST_TEST((Other.How == Suspicion::RunAlone));
}

BOOST_AUTO_TEST_SUITE_END()
