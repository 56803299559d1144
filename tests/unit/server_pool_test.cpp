/** @file server_pool_test.cpp Choosing a back end for each attempt. */
// Labels: routes

#include "forwarding/rate_share_func.h"
#include "pool_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace jacinthpond;

BOOST_AUTO_TEST_CASE(ABusyBackEndIsNotChosen) {
  PoolFixture Fixture;
  for (int n = 0; n < 3; ++n)
    recordAttemptStart(Fixture.State, {"p0"});
  BOOST_TEST(Fixture.countChoices("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(AFullServiceIsRefusedWithARetryDelay) {
  PoolFixture Fixture;
  for (const char *Id : {"p0", "p1", "p2"})
    for (int n = 0; n < 20; ++n)
      recordAttemptStart(Fixture.State, {Id});
  const ServerChoice Choice =
      chooseServer(Fixture.State, Fixture.needs("plain"), Fixture.Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
  BOOST_TEST(Choice.RetryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(ADrainingBackEndIsNotChosen) {
  PoolFixture Fixture;
  Fixture.Doc.Servers[1].Draining = true; // p0
  Fixture.publishDocument();
  BOOST_TEST(Fixture.countChoices("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(AnEvacuatedDomainIsNotChosen) {
  PoolFixture Fixture;
  Fixture.Doc.DomainsOut.insert({"d0"});
  Fixture.publishDocument();
  const auto Got = Fixture.countChoices("plain");
  BOOST_TEST(Got.size() == 1U);
  BOOST_TEST(Got.contains("p1"));
}

BOOST_AUTO_TEST_CASE(AChosenBackEndIsCheckedAgainBeforeSending) {
  // Guards against a request that waits for a slot while the domain of its back
  // end is taken out of service, and is then sent there all the same.
  PoolFixture Fixture;
  BOOST_TEST(
      mayStillUse(Fixture.State, {"p0"}, Fixture.needs("plain"), Fixture.Now));
  Fixture.Doc.DomainsOut.insert({"d0"});
  Fixture.publishDocument();
  BOOST_TEST(
      !mayStillUse(Fixture.State, {"p0"}, Fixture.needs("plain"), Fixture.Now));
  BOOST_TEST(
      mayStillUse(Fixture.State, {"p1"}, Fixture.needs("plain"), Fixture.Now));
}

BOOST_AUTO_TEST_CASE(AnUnlistedBackEndIsNotChosen) {
  PoolFixture Fixture;
  recordAttemptStart(Fixture.State, {"p0"});
  std::erase_if(Fixture.Doc.Servers,
                [](const auto &Row) { return Row.Id.Value == "p0"; });
  Fixture.publishDocument();
  BOOST_TEST(Fixture.countChoices("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(UnlistedServersAreUsedForAWhileAfterAnOutageOfTheList) {
  // Guards against refusing all requests after an outage of the platform's
  // store: during one of six seconds the registrations of all servers expired,
  // and for two seconds after it the list was empty although all servers ran.
  PoolFixture Fixture;
  setListingUnavailable(Fixture.State, true, Fixture.Now);
  Fixture.Now += Millis(6000);
  setListingUnavailable(Fixture.State, false, Fixture.Now);
  const std::vector<BackEndServer> All = Fixture.Doc.Servers;
  Fixture.Doc.Servers.clear();
  Fixture.publishDocument();
  BOOST_TEST(!Fixture.choose("plain").empty());
  Fixture.Now += Millis(2000);
  BOOST_TEST(!Fixture.choose("plain").empty());
  Fixture.Now += Millis(300); // Still unlisted: removed.
  BOOST_TEST(Fixture.choose("plain").empty());
  Fixture.Doc.Servers = All;
  Fixture.publishDocument();
  BOOST_TEST(!Fixture.choose("plain").empty());
}

BOOST_AUTO_TEST_CASE(FormerWeightsExpire) {
  PoolFixture Fixture;
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  BOOST_TEST(!Fixture.choose("llm").empty());
  BOOST_TEST(requiredVersion(Fixture.State, {"m1"}, Fixture.Now).empty());
  Fixture.Now += Fixture.State.Options.ReplacedWeightsTime;
  BOOST_TEST(Fixture.choose("llm").empty());
  AgentReport News{Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(Fixture.choose("llm") == "m1");
  BOOST_TEST(requiredVersion(Fixture.State, {"m1"}, Fixture.Now) == "2");
}

BOOST_AUTO_TEST_CASE(AVersionThatIsSoonReplacedDoesNotExpireTheOneBefore) {
  // Guards against refusing all requests when a second version is published two
  // seconds after one that no worker has loaded yet: all workers still had the
  // weights from two versions ago, and requests were refused for six seconds.
  PoolFixture Fixture;
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  Fixture.Now += Millis(2000);
  Fixture.setWantedVersion("3");
  Fixture.publishDocument();
  BOOST_TEST(!Fixture.choose("llm").empty());
  Fixture.Now += Fixture.State.Options.ReplacedWeightsTime - Millis(2000);
  BOOST_TEST(Fixture.choose("llm").empty());
  AgentReport News{Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(Fixture.choose("llm") == "m1");
  BOOST_TEST(requiredVersion(Fixture.State, {"m1"}, Fixture.Now) == "2");
  Fixture.Now += Millis(2000);
  BOOST_TEST(Fixture.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(ANewProcessUsesNoFormerWeights) {
  // Guards against a restarted entry that sends requests to workers with
  // expired weights: it started nine seconds after new weights were published
  // and counted their publication from its own start.
  PoolFixture Restarted;
  Restarted.setWantedVersion("2");
  ServerPool Fresh;
  Restarted.State = Fresh;
  Restarted.publishDocumentSince(std::nullopt);
  BOOST_TEST(Restarted.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(FormerWeightsExpireByTheTimeOfPublication) {
  // Guards against an entry that was paused for five seconds while new weights
  // were published: counted from when it resumed, requests would start on the
  // former ones until five seconds after their deadline.
  PoolFixture Fixture;
  Fixture.setWantedVersion("2");
  Fixture.Now += Millis(4900);
  Fixture.publishDocumentSince(Fixture.Now - Millis(4900));
  BOOST_TEST(!Fixture.choose("llm").empty());
  Fixture.Now += Millis(100);
  BOOST_TEST(Fixture.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(AStreamResumesOnTheSameWeights) {
  PoolFixture Fixture;
  Fixture.Doc.Servers[0].Weights.Value = "m@2"; // m0
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  ServerNeeds Needs = Fixture.needs("llm");
  Needs.Weights.Value = "m@2";
  BOOST_TEST(Fixture.chooseInstance(Needs) == "m0");
}

BOOST_AUTO_TEST_CASE(AStreamResumesOnFormerWeightsUntilTheyExpire) {
  // Guards against a stream that resumes on expired weights: one was cut off
  // twelve seconds after new weights were published, and resumed at a worker
  // that had not loaded them.
  PoolFixture Fixture;
  ServerNeeds Needs = Fixture.needs("llm");
  Needs.Weights.Value = "m@1";
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  BOOST_TEST(!Fixture.chooseInstance(Needs).empty());
  Fixture.Now += Fixture.State.Options.ReplacedWeightsTime;
  BOOST_TEST(Fixture.chooseInstance(Needs).empty());
}

BOOST_AUTO_TEST_CASE(ARequestSentInTimeHasALatestStart) {
  // Guards against a paused worker that has an unread request in its socket,
  // resumes, and starts it on weights that were replaced 8.6 s before.
  PoolFixture Fixture;
  const TimePoint Published = Fixture.Now;
  const Digest SentOn{"m@1"};
  BOOST_TEST(!latestStartTime(Fixture.State, {"m1"}, SentOn));
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  const auto Until = latestStartTime(Fixture.State, {"m1"}, SentOn);
  BOOST_REQUIRE(Until);
  BOOST_TEST((*Until > Published + Fixture.State.Options.ReplacedWeightsTime));
  BOOST_TEST((*Until < Published + Fixture.State.Options.ReplacedWeightsTime +
                           Millis(1200)));
  AgentReport News{Address{"m1:1"}, WorkerState::Empty, 0, {}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now); // Its worker is paused.
  BOOST_TEST((latestStartTime(Fixture.State, {"m1"}, SentOn) == Until));
  News = {Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(!latestStartTime(Fixture.State, {"m1"}, SentOn));
  BOOST_TEST(!latestStartTime(Fixture.State, {"p1"}, {}));
  BOOST_TEST(!latestStartTime(Fixture.State, {"gone"}, SentOn));
}

BOOST_AUTO_TEST_CASE(FormerWeightsAreNotUsedWithASilentAgent) {
  // Guards against requests that start on expired weights at a paused host: its
  // agent did not reply, entries sent requests without slots, and the worker
  // started them when its host resumed.
  PoolFixture Fixture;
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  AgentReport News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
  markAgentSilent(Fixture.State, {"m0"}, Fixture.Now);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(ABackEndThatMayBePausedGetsOneRequestAtATime) {
  // Guards against filling all slots of a paused worker: its host was paused
  // for five seconds, its agent did not reply, and entries sent it request
  // after request, none of which was answered.
  PoolFixture Fixture;
  AgentReport News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  markAgentSilent(Fixture.State, {"m0"}, Fixture.Now);
  recordAttemptStart(Fixture.State,
                     {"m2"}); // The other one in this entry's domain.
  recordAttemptStart(Fixture.State, {"m2"});
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
  recordAttemptStart(Fixture.State, {"m0"});
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  Fixture.Now += Millis(200);
  recordServerActivity(Fixture.State, {"m0"},
                       Fixture.Now); // Only its agent failed.
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(ALoadingWorkerIsNotChosen) {
  PoolFixture Fixture;
  applyAgentReport(
      Fixture.State,
      {Address{"m0:1"}, WorkerState::Loading, 0, {"m@1"}, true, {}},
      Fixture.Now);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
}

BOOST_AUTO_TEST_CASE(AnUnreachableBackEndIsAvoidedForAWhile) {
  PoolFixture Fixture;
  recordAttemptStart(Fixture.State, {"p0"});
  recordAttemptEnd(Fixture.State, {"p0"}, AttemptEnd::Unreached, {},
                   Fixture.Now);
  BOOST_TEST(Fixture.countChoices("plain")["p0"] == 0);
  Fixture.Now += Millis(400);
  BOOST_TEST(Fixture.countChoices("plain")["p0"] > 0);
}

BOOST_AUTO_TEST_CASE(ABackEndWithAHighErrorShareIsAvoided) {
  // Guards against a back end that fails half of its requests quickly while its
  // health check passes, and draws more and more requests for its low load.
  PoolFixture Fixture;
  for (int n = 0; n < 20; ++n) {
    recordAttemptStart(Fixture.State, {"p0"});
    recordAttemptEnd(Fixture.State, {"p0"},
                     n % 2 == 0 ? AttemptEnd::Error : AttemptEnd::Answered,
                     Millis(5), Fixture.Now);
  }
  BOOST_TEST(Fixture.countChoices("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(EntriesShareTheRateOfColdBackEnds) {
  PoolFixture Fixture;
  Fixture.State.Entries = 4;
  for (BackEndServer &Row : Fixture.Doc.Servers)
    Row.ColdFor = Millis(3000);
  for (BackEndServer &Row : Fixture.Doc.Servers)
    Row.Slots = 100;
  Fixture.publishDocument();
  int Sent = 0;
  for (int n = 0; n < 50; ++n) {
    const std::string Id = Fixture.choose("llm");
    if (Id.empty())
      break;
    recordAttemptStart(Fixture.State, {Id});
    countRequestWithoutSlot(Fixture.State, {Id}, Fixture.Now);
    ++Sent;
  }
  BOOST_TEST(Sent == 3); // Less than two per second to each worker.
  Fixture.Now += Millis(3000);
  BOOST_TEST(!Fixture.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(RefusedSlotRequestsDoNotCountAgainstTheColdRate) {
  // Guards against refusing requests although all workers are idle. After a
  // power loss all are cold. Each request asks a few agents for a slot; refused
  // slot requests counted as sent requests and used up the cold rate.
  PoolFixture Fixture;
  for (BackEndServer &Row : Fixture.Doc.Servers)
    Row.ColdFor = Millis(3000);
  Fixture.publishDocument();
  for (int n = 0; n < 50; ++n) {
    const std::string Id = Fixture.choose("llm");
    BOOST_TEST_REQUIRE(!Id.empty());
    recordAttemptStart(Fixture.State, {Id});
    recordAttemptEnd(Fixture.State, {Id}, AttemptEnd::NotSent, {}, Fixture.Now);
  }
}

BOOST_AUTO_TEST_CASE(AnAgentBehindACongestedLinkIsAskedLast) {
  // Guards against asking unreachable agents first. The links of three hosts
  // became congested: slot requests timed out, heartbeats still arrived, and
  // with their low load the three looked idle, so that nearly every request
  // asked them first and lost its time.
  PoolFixture Fixture;
  Fixture.reportAllAgents();
  const auto SendHeartbeat = [&] {
    applyAgentReport(Fixture.State,
                     {{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}},
                     Fixture.Now);
  };
  const auto MissReply = [&] {
    markAgentSilent(Fixture.State, {"m0"}, Fixture.Now);
    SendHeartbeat();
  };
  MissReply();
  // A single reply may have been lost.
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
  MissReply();
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  Fixture.Now += Millis(300);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0); // Tried again.
  MissReply();
  Fixture.Now += Millis(500); // The time doubled.
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  recordPrefillBacklog(Fixture.State, {"m0"},
                       Duration{0}); // It replied to one.
  Fixture.Now += Millis(100);
  MissReply();
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(AnEntryBehindACongestedLinkStillChooses) {
  PoolFixture Fixture;
  Fixture.reportAllAgents();
  for (const char *Id : {"m0", "m1", "m2"})
    markAgentSilent(Fixture.State, {Id}, Fixture.Now);
  BOOST_TEST(!Fixture.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(RegionsBindRouteAndWorkspace) {
  PoolFixture Fixture;
  Fixture.Doc.RegionOf = {{{"d0"}, {"r0"}}, {{"d1"}, {"r1"}}};
  Fixture.publishDocument();
  Fixture.TestRoute.Regions = {{"r1"}};
  BOOST_TEST(Fixture.countChoices("plain").size() == 1U);
  BOOST_TEST(Fixture.choose("plain") == "p1");
  Workspace Owner;
  Owner.Regions = {{"r0"}};
  ServerNeeds Needs = Fixture.needs("plain");
  Needs.Owner = &Owner;
  BOOST_TEST(Fixture.chooseInstance(Needs).empty());
}

BOOST_AUTO_TEST_CASE(ThePrefillBacklogCountsAsLoad) {
  PoolFixture Fixture;
  for (const char *At : {"m0:1", "m1:1", "m2:1"})
    applyAgentReport(Fixture.State,
                     {Address{At}, WorkerState::Serving, 0, {"m@1"}, true, {}},
                     Fixture.Now);
  recordPrefillBacklog(Fixture.State, {"m0"}, Millis(300));
  recordPrefillBacklog(Fixture.State, {"m2"}, Millis(300));
  const auto Got = Fixture.countChoices("llm");
  BOOST_TEST(Got.size() == 1U);
  BOOST_TEST(Got.contains("m1"));
}

// Guards against answers that cross regions although a back end in the entry's
// own domain can start at once. Near back ends are preferred until they are
// clearly busier than others.
BOOST_AUTO_TEST_CASE(TheOwnDomainIsPreferredWhileItHasRoom) {
  PoolFixture Fixture;
  Fixture.Doc.Servers.clear();
  for (int n = 0; n < 2; ++n) {
    Fixture.Doc.Servers.push_back(
        PoolFixture::server("p" + std::to_string(n), "plain", n, ""));
    Fixture.Doc.Servers.back().Slots = 20;
  }
  Fixture.publishDocument();
  recordServerLoad(Fixture.State, {"p0"}, 5, Fixture.Now);
  recordServerLoad(Fixture.State, {"p1"}, 0, Fixture.Now);
  BOOST_TEST(Fixture.choose("plain") == "p0");
  recordServerLoad(Fixture.State, {"p0"}, 9, Fixture.Now);
  BOOST_TEST(Fixture.choose("plain") == "p1");
}

// Guards against more connections than a back end accepts: it accepts 110 from
// all entries together and resets those above. Nine entries that keep 24 idle
// ones each, as after a peak, hold 216.
BOOST_AUTO_TEST_CASE(EntriesShareTheConnectionLimitOfABackEnd) {
  PoolFixture Fixture;
  const ServiceName Plain{"plain"};
  BOOST_TEST(maxIdleConnections(Fixture.State, Plain) == 24U); // Limit unknown.
  Fixture.Doc.Services.back().MaxConnections = 110;
  Fixture.publishDocument();
  Fixture.State.Entries = 9;
  BOOST_TEST(maxIdleConnections(Fixture.State, Plain) == 6U);
  Fixture.State.Entries = 1;
  BOOST_TEST(maxIdleConnections(Fixture.State, Plain) == 24U);
  for (const uint32_t Entries : {1U, 3U, 8U, 9U, 55U, 390U}) {
    Fixture.State.Entries = Entries;
    BOOST_TEST(maxIdleConnections(Fixture.State, Plain) * Entries <= 55U);
  }
}

// Guards against a restarted agent that does not know the rate limit of its
// back end, grants slots without it, and makes the entries drop it.
BOOST_AUTO_TEST_CASE(ARestartedAgentIsToldTheRateLimit) {
  PoolFixture Fixture;
  AgentReport News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  News.Link = LinkId{7};
  News.PerSecond = 1.8;
  applyAgentReport(Fixture.State, News, Fixture.Now);
  const ServerView &View = Fixture.State.Servers.at({"m0"});
  BOOST_TEST(!rateNoticeForAgent(View, Fixture.Now).has_value());
  applyAgentReport(Fixture.State,
                   {Address{"m0:1"}, WorkerState::Empty, 0, {}, false, {}},
                   Fixture.Now);
  News.Link = LinkId{8};
  News.PerSecond.reset();
  Fixture.Now += Millis(2000);
  applyAgentReport(Fixture.State, News, Fixture.Now);
  const auto Told = rateNoticeForAgent(View, Fixture.Now);
  BOOST_REQUIRE(Told.has_value());
  BOOST_TEST(Told->PerSecond.value() == 1.8);
  BOOST_TEST(Told->AgeMillis == 2000U);
}

// Guards against a back end that is still avoided after its limit was lifted.
BOOST_AUTO_TEST_CASE(AnAgentThatLiftsARateLimitIsAskedAtOnce) {
  PoolFixture Fixture;
  AgentReport News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  News.PerSecond = 0.3;
  applyAgentReport(Fixture.State, News, Fixture.Now);
  recordRateRefusal(Fixture.State, {"m0"}, Millis(3300), Fixture.Now);
  BOOST_TEST(isRateLimited(Fixture.State, {"m0"}));
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  News.PerSecond.reset();
  applyAgentReport(Fixture.State, News, Fixture.Now + Millis(100));
  Fixture.Now += Millis(100);
  BOOST_TEST(!isRateLimited(Fixture.State, {"m0"}));
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
}

// Guards against futile slot requests: a back end at its rate limit looks idle,
// so one request after the other would ask its agent.
BOOST_AUTO_TEST_CASE(ARateLimitedBackEndIsNotAskedBeforeItsRetryTime) {
  PoolFixture Fixture;
  Fixture.reportAllAgents();
  recordAnswerRate(Fixture.State, {"m0"}, 1.8, Fixture.Now, Fixture.Now);
  recordRateRefusal(Fixture.State, {"m0"}, Millis(400), Fixture.Now);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] == 0);
  BOOST_TEST(Fixture.countChoices("llm")["m2"] > 0);
  Fixture.Now += Millis(400);
  BOOST_TEST(Fixture.countChoices("llm")["m0"] > 0);
}

// Guards against callers that are told to retry before any rate limit allows
// it.
BOOST_AUTO_TEST_CASE(IfAllAreRateLimitedTheRetryDelayCoversTheLimit) {
  PoolFixture Fixture;
  for (const char *Id : {"m0", "m1", "m2"}) {
    applyAgentReport(
        Fixture.State,
        {{std::string(Id) + ":1"}, WorkerState::Serving, 0, {"m@1"}, true, {}},
        Fixture.Now);
    recordAnswerRate(Fixture.State, {Id}, 0.3, Fixture.Now, Fixture.Now);
    recordRateRefusal(Fixture.State, {Id}, Millis(1700), Fixture.Now);
  }
  const ServerChoice Choice =
      chooseServer(Fixture.State, Fixture.needs("llm"), Fixture.Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
  BOOST_TEST(Choice.RetryAfter.count() >= 1700);
}

// Guards against callers that are all told to retry at the same time although
// the rate limits of the service allow only a few of them.
BOOST_AUTO_TEST_CASE(IfAllAreRateLimitedRetryTimesAreSpaced) {
  PoolFixture Fixture;
  Fixture.State.Entries = 2;
  Fixture.reportAllAgents();
  for (const char *Id : {"m0", "m1", "m2"}) {
    recordAnswerRate(Fixture.State, {Id}, 2, Fixture.Now, Fixture.Now);
    recordRateRefusal(Fixture.State, {Id}, Millis(400), Fixture.Now);
  }
  // Three back ends at two per second, half of it for this entry: one retry
  // each third of a second.
  for (const int Attempt : {1, 2, 3, 4}) {
    const ServerChoice Choice =
        chooseServer(Fixture.State, Fixture.needs("llm"), Fixture.Now);
    BOOST_TEST(Choice.Server == nullptr);
    BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
    BOOST_TEST(Choice.RetryAfter.count() >= Attempt * 333);
    BOOST_TEST(Choice.RetryAfter.count() <= std::max(Attempt * 334, 800));
  }
}

// Guards against requests that are sent without a slot to a worker whose agent
// is silent, because the list has weights for it that its agent had not
// confirmed.
BOOST_AUTO_TEST_CASE(TheListDoesNotOverrideAnAgentsReport) {
  PoolFixture Fixture;
  Fixture.Doc.Servers = {PoolFixture::server("m0", "llm", 0, "m@1")};
  Fixture.setWantedVersion("2");
  Fixture.publishDocument();
  AgentReport News{Address{"m0:1"}, WorkerState::Empty, 0, {}, true, {}};
  applyAgentReport(Fixture.State, News, Fixture.Now);
  Fixture.Doc.Servers.front().Weights.Value = "m@2";
  Fixture.publishDocument();
  News.Fresh = false;
  applyAgentReport(Fixture.State, News, Fixture.Now);
  BOOST_TEST(Fixture.choose("llm").empty());
}

// Guards against copies of a suspect that put one back end after the other at
// risk, and against suspects that all go to the same one.
BOOST_AUTO_TEST_CASE(CopiesOfASuspectGoToOneBackEndFromAllEntries) {
  PoolFixture One;
  PoolFixture Other;
  Other.State.Random = 12345;
  Other.State.Options.Domain.Value = "d1";
  std::map<std::string, int> Used;
  for (int n = 0; n < 30; ++n) {
    ServerNeeds Needs = One.needs("plain");
    Needs.Suspect.Value = "suspect-" + std::to_string(n);
    const std::string First = One.chooseInstance(Needs);
    ++Used[First];
    for (int i = 0; i < 5; ++i)
      BOOST_TEST(Other.chooseInstance(Needs) == First);
    Needs.Tried.insert(InstanceId{First});
    BOOST_TEST(One.chooseInstance(Needs) != First);
  }
  BOOST_TEST(Used.size() == 3U);
}
