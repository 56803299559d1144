/** @file server_notice_test.cpp What back ends announce in their answers. */
// Labels: routes admission

#include "base/retry_after_func.h"
#include "forwarding/server_notice_func.h"
#include "pool_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>

using namespace jacinthpond;

namespace {

constexpr Millis Pause{3000};
/** Longest random extension of a pause. */
constexpr Millis Extension{250};

struct Noticed : PoolFixture {
  /** Lets a back end ask for a pause. */
  void pause(const char *Id, Duration Length = Pause) {
    recordPause(State, {Id}, Length, Now);
  }

  void pauseAllPlain() {
    for (const char *Id : {"p0", "p1", "p2"})
      pause(Id);
  }

  /** Sends requests to p0 as long as it may get one. Returns their number. */
  int sendAll() {
    int Sent = 0;
    ServerNeeds Needs = needs("plain");
    Needs.Tried = {{"p1"}, {"p2"}};
    while (chooseInstance(Needs) == "p0") {
      recordAttemptStart(State, {"p0"});
      ++Sent;
    }
    return Sent;
  }

  void accept(int Count) {
    for (int n = 0; n < Count; ++n)
      recordAcceptedRequest(State, {"p0"}, Now);
  }

  void end(int Count, AttemptEnd How) {
    for (int n = 0; n < Count; ++n)
      recordAttemptEnd(State, {"p0"}, How, Millis(20), Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerNotices, Noticed)

BOOST_AUTO_TEST_CASE(RetryAfterIsReadAsSeconds) {
  BOOST_CHECK(parseRetryAfter("3") == Millis(3000));
  BOOST_CHECK(parseRetryAfter("0.25") == Millis(250));
  BOOST_CHECK(parseRetryAfter("0") == Millis(0));
  BOOST_CHECK(parseRetryAfter("007") == Millis(7000));
  for (const char *Text :
       {"", " ", "-1", "-0", "+3", "3 s", "3s", "soon", "1e3", "nan", "inf",
        "0x10", "3,5", "Wed, 21 Oct 2026 07:28:00 GMT"})
    BOOST_TEST(!parseRetryAfter(Text).has_value(), Text);
}

// Guards against a value that takes a back end out for good.
BOOST_AUTO_TEST_CASE(ALongPauseIsBounded) {
  BOOST_CHECK(parseRetryAfter("86400") == MaxRetryAfter);
  BOOST_CHECK(parseRetryAfter(std::string(400, '9')) == MaxRetryAfter);
}

// Guards against requests to a back end that has asked for a pause.
BOOST_AUTO_TEST_CASE(APausedBackEndIsNotChosen) {
  pause("p0");
  Now += Pause - Millis(1);
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  Now += Millis(1) + Extension;
  BOOST_TEST(countChoices("plain")["p0"] > 0);
}

// Guards against a request that was chosen, or got its slot, before the pause
// began and is sent during it.
BOOST_AUTO_TEST_CASE(ARequestChosenBeforeThePauseIsNotSent) {
  const ServerNeeds Needs = needs("plain");
  BOOST_TEST(mayStillUse(State, {"p0"}, Needs, Now));
  pause("p0");
  BOOST_TEST(!mayStillUse(State, {"p0"}, Needs, Now));
}

// Guards against a shorter pause in a later answer that ends the first one.
BOOST_AUTO_TEST_CASE(ASecondAnswerNeverShortensAPause) {
  pause("p0");
  Now += Millis(100);
  pause("p0", Millis(500));
  pause("p0", Millis(0));
  Now += Pause - Millis(101);
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  pause("p0", Millis(2000));
  Now += Millis(1999);
  BOOST_TEST(countChoices("plain")["p0"] == 0);
}

// Guards against requests that are sent to paused back ends for want of others,
// and against a retry time before any of them takes one.
BOOST_AUTO_TEST_CASE(WithAllBackEndsPausedTheFirstEndIsTold) {
  pauseAllPlain();
  pause("p1", 2 * Pause);
  ServerNeeds Needs = needs("plain");
  Needs.Tried.insert({"p0"}); // Its pause still says when to return.
  const ServerChoice Choice = chooseServer(State, Needs, Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::AllPaused);
  BOOST_TEST(Choice.Paused == 3U);
  BOOST_TEST(Choice.RetryAfter.count() >= Pause.count());
  BOOST_TEST(Choice.RetryAfter.count() <= (Pause + Extension).count());
}

// Guards against requests to unresponsive hosts when all others are paused: the
// answers that asked for the pauses show that this entry is not cut off.
BOOST_AUTO_TEST_CASE(UnresponsiveHostsAreNoWayOutOfAPause) {
  State.Servers.at({"p0"}).ProbePendingSince = Now - Millis(1000);
  pause("p1");
  pause("p2");
  BOOST_TEST(choose("plain").empty());
}

// Guards against a pause that ends when the list of servers is read again, or
// loses the row of the server for a while.
BOOST_AUTO_TEST_CASE(APauseOutlivesItsRowInTheList) {
  pause("p0");
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  const auto Servers = Doc.Servers;
  std::erase_if(Doc.Servers,
                [](const BackEndServer &One) { return One.Id.Value == "p0"; });
  Now += Millis(500);
  publishDocument();
  BOOST_TEST(!State.Servers.contains({"p0"}));
  Doc.Servers = Servers;
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
}

// Guards against a run of a back end that is spared for what a former run under
// the same id asked for.
BOOST_AUTO_TEST_CASE(ANewRunHasAskedForNothing) {
  Doc.Servers[1].Born = 1000; // p0
  publishDocument();
  pause("p0");
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  Doc.Servers[1].Born = 0; // A row that lacks it says nothing.
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  Doc.Servers[1].Born = 2000;
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] > 0);
}

// Guards against a server that is spared for what its predecessor at the same
// address asked for.
BOOST_AUTO_TEST_CASE(AnotherServerAtTheAddressHasAskedForNothing) {
  pause("p0");
  Doc.Servers[1].Id.Value = "p9";
  publishDocument();
  BOOST_TEST(countChoices("plain")["p9"] > 0);
}

// Guards against a pause that makes a back end look full or faulty afterwards.
BOOST_AUTO_TEST_CASE(APauseIsNeitherLoadNorFailure) {
  const ServerView Before = State.Servers.at({"p0"});
  recordAttemptStart(State, {"p0"});
  pause("p0");
  recordAttemptEnd(State, {"p0"}, AttemptEnd::Refused, Millis(5), Now);
  const ServerView &After = State.Servers.at({"p0"});
  BOOST_TEST(After.OtherRequests == Before.OtherRequests);
  BOOST_TEST(After.Failures == 0U);
  BOOST_TEST(After.ErrorShare == 0);
  BOOST_CHECK(After.AvoidUntil == Before.AvoidUntil);
}

// Guards against all held-off requests that go to a back end at the moment in
// which its pause ends.
BOOST_AUTO_TEST_CASE(RequestsReturnStepByStep) {
  pause("p0");
  Now += Pause + Extension;
  BOOST_TEST(sendAll() == 1);
  accept(1);
  BOOST_TEST(sendAll() == 2);
  accept(1);
  BOOST_TEST(sendAll() >= 2);
}

// Guards against a slow start that stays after the back end serves again.
BOOST_AUTO_TEST_CASE(TheSlowStartEnds) {
  const int Usual = sendAll();
  end(Usual, AttemptEnd::Dropped);
  pause("p0");
  Now += Pause + Extension;
  int Sent = sendAll();
  for (int n = 0; n < 3; ++n) {
    accept(1);
    Sent += sendAll();
  }
  BOOST_TEST(Sent == Usual);
}

// Guards against refusals, and against the ends of requests from before the
// pause, that pass for signs of recovery.
BOOST_AUTO_TEST_CASE(OnlyNewAnswersEndTheSlowStart) {
  for (int n = 0; n < 3; ++n)
    recordAttemptStart(State, {"p0"});
  pause("p0");
  accept(2);
  end(2, AttemptEnd::Dropped);
  Now += Pause + Extension;
  BOOST_TEST(sendAll() == 1);
  end(1, AttemptEnd::Refused);
  Now += Millis(10000); // The load that the refusal showed is forgotten.
  BOOST_TEST(sendAll() == 1);
}

// Guards against requests to a back end that told this entry that it is
// leaving, while the list calls it ready, or has lost its row and got it back.
BOOST_AUTO_TEST_CASE(ALeavingBackEndIsNeverChosenAgain) {
  const ServerNeeds Needs = needs("plain");
  BOOST_TEST(recordLeaving(State, {"p0"}, Now).has_value());
  BOOST_TEST(!mayStillUse(State, {"p0"}, Needs, Now));
  Now += std::chrono::minutes(20);
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  const auto Servers = Doc.Servers;
  Doc.Servers.erase(Doc.Servers.begin() + 1); // p0
  publishDocument();
  Now += std::chrono::minutes(5);
  publishDocument();
  Doc.Servers = Servers;
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] == 0);
}

// Guards against one message to all entries for each answer.
BOOST_AUTO_TEST_CASE(LeavingIsToldOnce) {
  BOOST_TEST(recordLeaving(State, {"p0"}, Now).has_value());
  BOOST_TEST(!recordLeaving(State, {"p0"}, Now).has_value());
  const ServerLeavingNotice Heard{{"p1"}, 0};
  BOOST_TEST(recordPeerLeaving(State, Heard, Now));
  BOOST_TEST(!recordPeerLeaving(State, Heard, Now));
}

// Guards against a worker that is never used again although it has started anew
// under its former id.
BOOST_AUTO_TEST_CASE(ANewRunIsNotLeaving) {
  Doc.Servers[1].Born = 1000; // p0
  publishDocument();
  recordLeaving(State, {"p0"}, Now);
  Doc.Servers[1].Born = 2000;
  publishDocument();
  BOOST_TEST(countChoices("plain")["p0"] > 0);
  // What a peer heard of the former run says nothing about this one.
  BOOST_TEST(!recordPeerLeaving(State, {{"p0"}, 1000}, Now));
}

// Guards against callers that go to a back end which another entry knows to be
// leaving, and against refusing them where it is the only one left.
BOOST_AUTO_TEST_CASE(ABackEndThatLeavesForOthersIsUsedLast) {
  recordPeerLeaving(State, {{"p0"}, 0}, Now);
  BOOST_TEST(countChoices("plain")["p0"] == 0);
  Doc.Servers.erase(Doc.Servers.begin() + 3); // p1
  Doc.Servers.erase(Doc.Servers.begin() + 4); // p2
  publishDocument();
  BOOST_TEST(choose("plain") == "p0");
}

// Guards against requests to the instance that answered a misdirected request
// and is known under another id.
BOOST_AUTO_TEST_CASE(AMisdirectedAnswerMayComeFromAnyKnownInstance) {
  BackEndServer Other = server("p8", "plain", 0, "");
  Other.At.Value = "p0:1";
  Doc.Servers.push_back(Other);
  publishDocument();
  BOOST_TEST(recordMisdirectedLeaving(State, {"p0"}, Now, Now).size() == 2U);
  const auto Got = countChoices("plain");
  BOOST_TEST(!Got.contains("p0"));
  BOOST_TEST(!Got.contains("p8"));
}

// Guards against requests to an instance that answered before it was on the
// list, and against one that comes to its address later and never gets any.
BOOST_AUTO_TEST_CASE(AMisdirectedAnswerMayComeFromAnUnlistedInstance) {
  recordMisdirectedLeaving(State, {"p0"}, Now, Now);
  Now += Millis(400);
  Doc.Servers[1].Id.Value = "p9"; // At the address of p0.
  publishDocument();
  BOOST_TEST(countChoices("plain")["p9"] == 0);
  Now += std::chrono::seconds(20);
  BOOST_TEST(countChoices("plain")["p9"] > 0);
}

// Guards against leaving back ends that are taken for paused ones, whose
// callers would be told to come back for them.
BOOST_AUTO_TEST_CASE(LeavingIsNoPause) {
  for (const char *Id : {"p0", "p1", "p2"})
    recordLeaving(State, {Id}, Now);
  const ServerChoice Choice = chooseServer(State, needs("plain"), Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::NoneListed);
  BOOST_TEST(Choice.Paused == 0U);
}

// Guards against a log line for each answer whose header cannot be read.
BOOST_AUTO_TEST_CASE(UnreadableNoticesAreReportedOnce) {
  BOOST_TEST(recordUnreadableNotice(State, {"p0"}, Now));
  BOOST_TEST(!recordUnreadableNotice(State, {"p0"}, Now));
  BOOST_TEST(recordUnreadableNotice(State, {"p1"}, Now));
}

// Guards against notices of servers that left long ago and are kept for ever.
BOOST_AUTO_TEST_CASE(NoticesOfFormerServersAreDropped) {
  pause("p0");
  Doc.Servers.erase(Doc.Servers.begin() + 1); // p0
  publishDocument();
  BOOST_TEST(State.FormerNotices.size() == 1U);
  Now += std::chrono::minutes(11);
  publishDocument();
  BOOST_TEST(State.FormerNotices.empty());
}

BOOST_AUTO_TEST_SUITE_END()
