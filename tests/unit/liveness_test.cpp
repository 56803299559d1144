/** @file liveness_test.cpp Detecting unresponsive hosts of back ends. */
// Labels: routes

#include "forwarding/liveness_func.h"
#include "forwarding/server_pool_func.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace jacinthpond;

namespace {

constexpr LinkId FirstLink{7};
constexpr LinkId SecondLink{8};

/** A pool of two model workers whose agents are linked to this entry. */
struct HostsFixture {
  HostsFixture() {
    TestRoute.Kind = RouteKind::Stream;
    TestRoute.Target = Millis(400);
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
    applyPoolDocument(Pool, std::make_shared<const Document>(Doc), Now, Now);
    sendHeartbeat("m0", FirstLink);
    sendHeartbeat("m1", SecondLink);
  }

  /** Makes a listed worker with four slots. */
  static BackEndServer server(const std::string &Id) {
    BackEndServer Worker;
    Worker.Id.Value = Id;
    Worker.Service.Value = "llm";
    Worker.At.Value = Id + ":1";
    Worker.Slots = 4;
    Worker.Weights.Value = "m@1";
    return Worker;
  }

  /** Applies a heartbeat of a worker's agent. */
  void sendHeartbeat(const std::string &Id, LinkId Link) {
    applyAgentReport(
        Pool, {{Id + ":1"}, WorkerState::Serving, 0, {"m@1"}, true, Link}, Now);
  }

  /** Ends the link to a worker's agent. */
  void endLink(const std::string &Id, bool Silent) {
    applyAgentReport(
        Pool, {{Id + ":1"}, WorkerState::Empty, 0, {}, false, {}, Silent}, Now);
  }

  /** Gives the instance that a request gets; empty: none. */
  std::string choose() {
    ServerNeeds Needs;
    Needs.Service.Value = "llm";
    Needs.MatchedRoute = &TestRoute;
    const ServerChoice Choice = chooseServer(Pool, Needs, Now);
    return Choice.Server == nullptr ? "" : Choice.Server->Listed.Id.Value;
  }

  /** Says whether a back end is chosen in any of many tries. */
  bool isChosen(const std::string &Id) {
    for (int n = 0; n < 50; ++n)
      if (choose() == Id)
        return true;
    return false;
  }

  /** Says whether the host of a back end counts as unresponsive. */
  bool isUnresponsive(const std::string &Id) const {
    return isHostUnresponsive(Pool.Servers.at({Id}), Now);
  }

  Route TestRoute;
  ServerPool Pool;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace

// Guards against requests that hang at a paused host.
BOOST_AUTO_TEST_CASE(AHostThatDoesNotAnswerAProbeIsUnresponsive) {
  HostsFixture All;
  BOOST_TEST(recordHostProbe(All.Pool, {"m0"}, All.Now));
  All.Now += Millis(100);
  BOOST_TEST(!All.isUnresponsive("m0"));
  BOOST_TEST(!recordHostProbe(All.Pool, {"m0"}, All.Now)); // One is pending.
  All.Now += Millis(200);
  BOOST_TEST(All.isUnresponsive("m0"));
  BOOST_TEST(!All.isChosen("m0"));
  BOOST_TEST(All.isChosen("m1"));
}

// Guards against requests that are moved to another back end although theirs is
// only slow.
BOOST_AUTO_TEST_CASE(AHostThatAnswersProbesIsResponsiveHoweverSlowItsEngineIs) {
  HostsFixture All;
  for (int n = 0; n < 20; ++n) {
    recordHostProbe(All.Pool, {"m0"}, All.Now);
    All.Now += Millis(100);
    recordAgentActivity(All.Pool, FirstLink);
    BOOST_TEST(!All.isUnresponsive("m0"));
    All.Now += Millis(400);
    BOOST_TEST(!All.isUnresponsive("m0"));
  }
}

BOOST_AUTO_TEST_CASE(AnyMessageFromTheHostAnswersAProbe) {
  HostsFixture All;
  recordHostProbe(All.Pool, {"m0"}, All.Now);
  recordAgentActivity(All.Pool, SecondLink); // Another host.
  All.Now += Millis(300);
  BOOST_TEST(All.isUnresponsive("m0"));
  recordServerActivity(All.Pool, {"m0"}, All.Now);
  BOOST_TEST(!All.isUnresponsive("m0"));
  recordHostProbe(All.Pool, {"m0"}, All.Now);
  All.Now += Millis(300);
  BOOST_TEST(All.isUnresponsive("m0"));
  All.sendHeartbeat("m0", FirstLink);
  BOOST_TEST(!All.isUnresponsive("m0"));
}

// Guards against a worker that is avoided because its agent was killed.
BOOST_AUTO_TEST_CASE(AHostThatClosesALinkIsResponsive) {
  HostsFixture All;
  recordHostProbe(All.Pool, {"m0"}, All.Now);
  All.endLink("m0", false);
  All.Now += Millis(300);
  BOOST_TEST(!All.isUnresponsive("m0"));
  BOOST_TEST(All.isChosen("m0"));
}

BOOST_AUTO_TEST_CASE(AHostWhoseLinkTimesOutIsUnresponsive) {
  HostsFixture All;
  All.endLink("m0", true);
  BOOST_TEST(All.isUnresponsive("m0"));
  BOOST_TEST(!All.isChosen("m0"));
  All.sendHeartbeat("m0", FirstLink);
  BOOST_TEST(All.isChosen("m0"));
}

// Guards against a worker that is avoided for ever because its agent ended
// while its host was cut off.
BOOST_AUTO_TEST_CASE(SingleRequestsProbeAHostThatWasUnresponsiveForLong) {
  HostsFixture All;
  All.endLink("m0", true);
  All.endLink("m1", false);
  All.Now += Millis(9000);
  BOOST_TEST(!All.isChosen("m0"));
  All.Now += Millis(2000);
  recordAttemptStart(All.Pool, {"m1"}); // It also gets one at a time.
  BOOST_TEST(All.isChosen("m0"));
  recordAttemptStart(All.Pool, {"m0"});
  BOOST_TEST(!All.isChosen("m0"));
}

// Guards against a cut-off entry that refuses all requests because no host
// seems responsive.
BOOST_AUTO_TEST_CASE(OneIsTriedIfAllAreUnresponsive) {
  HostsFixture All;
  All.endLink("m0", true);
  All.endLink("m1", true);
  BOOST_TEST(!All.choose().empty());
}

// Guards against a process that takes its own pause for one of all hosts.
BOOST_AUTO_TEST_CASE(AProbeFromBeforeAPauseOfThisProcessIsDiscarded) {
  HostsFixture All;
  recordHostProbe(All.Pool, {"m0"}, All.Now);
  All.Now += Millis(5000);
  discardProbe(All.Pool, {"m0"});
  BOOST_TEST(!All.isUnresponsive("m0"));
  BOOST_TEST(recordHostProbe(All.Pool, {"m0"}, All.Now));
}

BOOST_AUTO_TEST_CASE(TheUsualFirstPartTimeIsLearned) {
  HostsFixture All;
  const ServiceName Model{"llm"};
  BOOST_TEST((usualFirstPartTime(All.Pool, Model, Millis(400)) == Millis(400)));
  for (int n = 0; n < 50; ++n)
    recordFirstPartTime(All.Pool, Model, Millis(n % 2 == 0 ? 100 : 200));
  const Duration Usual = usualFirstPartTime(All.Pool, Model, Millis(400));
  BOOST_TEST((Usual > Millis(150) && Usual < Millis(250)));
}
