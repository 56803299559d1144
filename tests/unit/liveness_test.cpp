/** @file liveness_test.cpp Whether the host of a back end runs. */
// Labels: routes

#include "forwarding/liveness_func.h"
#include "forwarding/server_pool_func.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace jacinthpond;

namespace {

constexpr LinkId First{7};
constexpr LinkId Second{8};

/** Two model workers whose agents serve on links of this entry. */
struct Hosts {
  Hosts() {
    From.Kind = RouteKind::Stream;
    From.Target = Millis(400);
    Service Model;
    Model.Name.Value = "llm";
    Model.Model.Value = "m";
    Document Doc;
    Doc.Services = {Model};
    Doc.Servers = {server("m0"), server("m1")};
    ModelVersion Wanted;
    Wanted.Name.Value = "m";
    Wanted.Set.Value = "m@1";
    Doc.Models = {Wanted};
    poolFollows(Pool, std::make_shared<const Document>(Doc), Now, Now);
    serves("m0", First);
    serves("m1", Second);
  }

  static BackEndServer server(const std::string &Id) {
    BackEndServer One;
    One.Id.Value = Id;
    One.Service.Value = "llm";
    One.At.Value = Id + ":1";
    One.Slots = 4;
    One.Weights.Value = "m@1";
    return One;
  }

  /** A heartbeat of an agent. */
  void serves(const std::string &Id, LinkId Link) {
    agentTold(Pool, {{Id + ":1"}, WorkerState::Serving, 0, {"m@1"}, true, Link},
              Now);
  }

  /** The link to an agent ended. */
  void linkEnded(const std::string &Id, bool Silent) {
    agentTold(Pool, {{Id + ":1"}, WorkerState::Empty, 0, {}, false, {}, Silent},
              Now);
  }

  std::string choose() {
    ServerNeeds Needs;
    Needs.Service.Value = "llm";
    Needs.From = &From;
    const ServerChoice Choice = chooseServer(Pool, Needs, Now);
    return Choice.Server == nullptr ? "" : Choice.Server->Listed.Id.Value;
  }

  /** Whether a back end is chosen in many tries. */
  bool isChosen(const std::string &Id) {
    for (int n = 0; n < 50; ++n)
      if (choose() == Id)
        return true;
    return false;
  }

  bool still(const std::string &Id) const {
    return standsStill(Pool.Servers.at({Id}), Now);
  }

  Route From;
  ServerPool Pool;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace

// Guards against requests that wait in vain at a host that stands still.
BOOST_AUTO_TEST_CASE(AHostThatLeavesAQuestionUnansweredStandsStill) {
  Hosts All;
  BOOST_TEST(hostAsked(All.Pool, {"m0"}, All.Now));
  All.Now += Millis(100);
  BOOST_TEST(!All.still("m0"));
  BOOST_TEST(!hostAsked(All.Pool, {"m0"}, All.Now)); // One is open.
  All.Now += Millis(200);
  BOOST_TEST(All.still("m0"));
  BOOST_TEST(!All.isChosen("m0"));
  BOOST_TEST(All.isChosen("m1"));
}

// Guards against healthy requests being moved when an engine is slow.
BOOST_AUTO_TEST_CASE(AHostThatAnswersRunsHoweverSlowItsEngineIs) {
  Hosts All;
  for (int n = 0; n < 20; ++n) {
    hostAsked(All.Pool, {"m0"}, All.Now);
    All.Now += Millis(100);
    hostHeard(All.Pool, First);
    BOOST_TEST(!All.still("m0"));
    All.Now += Millis(400);
    BOOST_TEST(!All.still("m0"));
  }
}

BOOST_AUTO_TEST_CASE(AnySignOfTheHostIsAnAnswer) {
  Hosts All;
  hostAsked(All.Pool, {"m0"}, All.Now);
  hostHeard(All.Pool, Second); // Another host.
  All.Now += Millis(300);
  BOOST_TEST(All.still("m0"));
  serverHeard(All.Pool, {"m0"}, All.Now);
  BOOST_TEST(!All.still("m0"));
  hostAsked(All.Pool, {"m0"}, All.Now);
  All.Now += Millis(300);
  BOOST_TEST(All.still("m0"));
  All.serves("m0", First);
  BOOST_TEST(!All.still("m0"));
}

// Guards against a worker that is left alone because its agent was killed.
BOOST_AUTO_TEST_CASE(AClosedLinkTellsThatTheHostRuns) {
  Hosts All;
  hostAsked(All.Pool, {"m0"}, All.Now);
  All.linkEnded("m0", false);
  All.Now += Millis(300);
  BOOST_TEST(!All.still("m0"));
  BOOST_TEST(All.isChosen("m0"));
}

BOOST_AUTO_TEST_CASE(ALinkThatEndsInSilenceTellsThatTheHostStandsStill) {
  Hosts All;
  All.linkEnded("m0", true);
  BOOST_TEST(All.still("m0"));
  BOOST_TEST(!All.isChosen("m0"));
  All.serves("m0", First);
  BOOST_TEST(All.isChosen("m0"));
}

// Guards against a worker that is left alone for ever, since its agent ended
// while its host was cut off.
BOOST_AUTO_TEST_CASE(AfterAWhileSingleRequestsFindOut) {
  Hosts All;
  All.linkEnded("m0", true);
  All.linkEnded("m1", false);
  All.Now += Millis(9000);
  BOOST_TEST(!All.isChosen("m0"));
  All.Now += Millis(2000);
  attemptOpened(All.Pool, {"m1"}); // One at a time there, too.
  BOOST_TEST(All.isChosen("m0"));
  attemptOpened(All.Pool, {"m0"});
  BOOST_TEST(!All.isChosen("m0"));
}

// Guards against an entry that refuses everything since it hears of nobody.
BOOST_AUTO_TEST_CASE(WhereAllSeemToStandStillOneIsTried) {
  Hosts All;
  All.linkEnded("m0", true);
  All.linkEnded("m1", true);
  BOOST_TEST(!All.choose().empty());
}

// Guards against a process that takes its own pause for one of all hosts.
BOOST_AUTO_TEST_CASE(AQuestionBeforeAnOwnPauseCountsForNothing) {
  Hosts All;
  hostAsked(All.Pool, {"m0"}, All.Now);
  All.Now += Millis(5000);
  forgetQuestion(All.Pool, {"m0"});
  BOOST_TEST(!All.still("m0"));
  BOOST_TEST(hostAsked(All.Pool, {"m0"}, All.Now));
}

BOOST_AUTO_TEST_CASE(MostFirstPartsComeInTheUsualTime) {
  Hosts All;
  const ServiceName Model{"llm"};
  BOOST_TEST((usualFirstPart(All.Pool, Model, Millis(400)) == Millis(400)));
  for (int n = 0; n < 50; ++n)
    firstPartCame(All.Pool, Model, Millis(n % 2 == 0 ? 100 : 200));
  const Duration Usual = usualFirstPart(All.Pool, Model, Millis(400));
  BOOST_TEST((Usual > Millis(150) && Usual < Millis(250)));
}
