/** @file server_pool_test.cpp Which back end gets a request. */
// Labels: routes

#include "forwarding/rate_share_func.h"
#include "forwarding/server_pool_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace jacinthpond;

namespace {

/** Three model workers and three plain back ends in two domains. */
struct Pool {
  Pool() {
    From.Target = Millis(400);
    From.Kind = RouteKind::Stream;
    Service Model;
    Model.Name.Value = "llm";
    Model.Model.Value = "m";
    Model.ColdPerSecond = 8;
    Service Plain;
    Plain.Name.Value = "plain";
    Doc.Services = {Model, Plain};
    for (int n = 0; n < 3; ++n) {
      Doc.Servers.push_back(server("m" + std::to_string(n), "llm", n, "m@1"));
      Doc.Servers.push_back(server("p" + std::to_string(n), "plain", n, ""));
    }
    want("1");
    State.Options.Domain.Value = "d0";
    follow();
  }

  static BackEndServer server(const std::string &Id, const std::string &Service,
                              int n, const std::string &Weights) {
    BackEndServer One;
    One.Id.Value = Id;
    One.Service.Value = Service;
    One.At.Value = Id + ":1";
    One.Domain.Value = "d" + std::to_string(n % 2);
    One.Slots = 4;
    One.Weights.Value = Weights;
    return One;
  }

  void want(const std::string &Version) {
    ModelVersion Wanted;
    Wanted.Name.Value = "m";
    Wanted.Version = Version;
    Wanted.Set.Value = "m@" + Version;
    Doc.Models = {Wanted};
  }

  void follow() { followSince(Now); }

  void followSince(std::optional<TimePoint> PublishedAfter) {
    poolFollows(State, std::make_shared<const Document>(Doc), PublishedAfter,
                Now);
  }

  ServerNeeds needs(const std::string &Service) const {
    ServerNeeds Needs;
    Needs.Service.Value = Service;
    Needs.From = &From;
    return Needs;
  }

  std::string choose(const std::string &Service) {
    return chosen(needs(Service));
  }

  std::string chosen(const ServerNeeds &Needs) {
    const ServerChoice Choice = chooseServer(State, Needs, Now);
    return Choice.Server == nullptr ? "" : Choice.Server->Listed.Id.Value;
  }

  /** The agents of all model workers tell of a request under way there. */
  void agentsAnswer() {
    for (const char *Id : {"m0", "m1", "m2"})
      agentTold(State,
                {{std::string(Id) + ":1"},
                 WorkerState::Serving,
                 1,
                 {"m@1"},
                 true,
                 {}},
                Now);
  }

  /** How often each is chosen in many tries. */
  std::map<std::string, int> spread(const std::string &Service) {
    std::map<std::string, int> Got;
    for (int n = 0; n < 300; ++n)
      ++Got[choose(Service)];
    return Got;
  }

  Document Doc;
  Route From;
  ServerPool State;
  TimePoint Now{std::chrono::hours(1)};
};

} // namespace

BOOST_AUTO_TEST_CASE(ABusyBackEndIsPassedOver) {
  Pool One;
  for (int n = 0; n < 3; ++n)
    attemptOpened(One.State, {"p0"});
  BOOST_TEST(One.spread("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(AFullServiceIsRefusedWithATime) {
  Pool One;
  for (const char *Id : {"p0", "p1", "p2"})
    for (int n = 0; n < 20; ++n)
      attemptOpened(One.State, {Id});
  const ServerChoice Choice =
      chooseServer(One.State, One.needs("plain"), One.Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
  BOOST_TEST(Choice.RetryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(ADrainingBackEndGetsNothing) {
  Pool One;
  One.Doc.Servers[1].Draining = true; // p0
  One.follow();
  BOOST_TEST(One.spread("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(ADomainTakenOutGetsNothing) {
  Pool One;
  One.Doc.DomainsOut.insert({"d0"});
  One.follow();
  const auto Got = One.spread("plain");
  BOOST_TEST(Got.size() == 1U);
  BOOST_TEST(Got.contains("p1"));
}

BOOST_AUTO_TEST_CASE(NewsWhileAPlaceIsWaitedForCount) {
  // A request waited for a place while its back end's domain was taken out, and
  // would have been sent there when its turn came.
  Pool One;
  BOOST_TEST(mayStillUse(One.State, {"p0"}, One.needs("plain"), One.Now));
  One.Doc.DomainsOut.insert({"d0"});
  One.follow();
  BOOST_TEST(!mayStillUse(One.State, {"p0"}, One.needs("plain"), One.Now));
  BOOST_TEST(mayStillUse(One.State, {"p1"}, One.needs("plain"), One.Now));
}

BOOST_AUTO_TEST_CASE(AVanishedBackEndIsGoneAtOnce) {
  Pool One;
  attemptOpened(One.State, {"p0"});
  std::erase_if(One.Doc.Servers,
                [](const auto &Row) { return Row.Id.Value == "p0"; });
  One.follow();
  BOOST_TEST(One.spread("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(ServersThatLapsedAreUsedUntilTheListHasSettled) {
  // The platform's store was away for six seconds; the servers' entries had
  // lapsed meanwhile and were all missing when it came back. Every request was
  // refused for two seconds, although all servers were well.
  Pool One;
  listingAway(One.State, true, One.Now);
  One.Now += Millis(6000);
  listingAway(One.State, false, One.Now);
  const std::vector<BackEndServer> All = One.Doc.Servers;
  One.Doc.Servers.clear();
  One.follow();
  BOOST_TEST(!One.choose("plain").empty());
  One.Now += Millis(2000);
  BOOST_TEST(!One.choose("plain").empty());
  One.Now += Millis(300); // Still missing: gone.
  BOOST_TEST(One.choose("plain").empty());
  One.Doc.Servers = All;
  One.follow();
  BOOST_TEST(!One.choose("plain").empty());
}

BOOST_AUTO_TEST_CASE(FormerWeightsMayBeginForAWhileOnly) {
  Pool One;
  One.want("2");
  One.follow();
  BOOST_TEST(!One.choose("llm").empty());
  BOOST_TEST(versionToDemand(One.State, {"m1"}, One.Now).empty());
  One.Now += One.State.Options.FormerWeightsFor;
  BOOST_TEST(One.choose("llm").empty());
  AgentNews News{Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  agentTold(One.State, News, One.Now);
  BOOST_TEST(One.choose("llm") == "m1");
  BOOST_TEST(versionToDemand(One.State, {"m1"}, One.Now) == "2");
}

BOOST_AUTO_TEST_CASE(AVersionThatIsOvertakenTakesNoOtherWithIt) {
  // New weights were named two seconds after others that had not reached any
  // worker yet. All workers still had the first ones, which were then two
  // versions old, and every request was refused for six seconds.
  Pool One;
  One.want("2");
  One.follow();
  One.Now += Millis(2000);
  One.want("3");
  One.follow();
  BOOST_TEST(!One.choose("llm").empty());
  One.Now += One.State.Options.FormerWeightsFor - Millis(2000);
  BOOST_TEST(One.choose("llm").empty());
  AgentNews News{Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  agentTold(One.State, News, One.Now);
  BOOST_TEST(One.choose("llm") == "m1");
  BOOST_TEST(versionToDemand(One.State, {"m1"}, One.Now) == "2");
  One.Now += Millis(2000);
  BOOST_TEST(One.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsBeginsNothingOnFormerWeights) {
  // An entry was killed and came back nine seconds after new weights were
  // named. It took their naming for news and gave old workers requests.
  Pool Old;
  Old.want("2");
  ServerPool Fresh;
  Old.State = Fresh;
  Old.followSince(std::nullopt);
  BOOST_TEST(Old.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(FormerWeightsEndByWhenTheOthersWerePublished) {
  // An entry stood still for five seconds while new weights were published.
  // Counted from when it woke, the former ones would begin requests until five
  // seconds after the bound.
  Pool One;
  One.want("2");
  One.Now += Millis(4900);
  One.followSince(One.Now - Millis(4900));
  BOOST_TEST(!One.choose("llm").empty());
  One.Now += Millis(100);
  BOOST_TEST(One.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(AStreamGoesOnWithItsOwnWeights) {
  Pool One;
  One.Doc.Servers[0].Weights.Value = "m@2"; // m0
  One.want("2");
  One.follow();
  ServerNeeds Needs = One.needs("llm");
  Needs.Weights.Value = "m@2";
  BOOST_TEST(One.chosen(Needs) == "m0");
}

BOOST_AUTO_TEST_CASE(AStreamOnFormerWeightsGoesOnWhileTheyMayBegin) {
  // A stream broke off twelve seconds after new weights were published, and
  // went on at a worker that had not loaded them: work began on weights that
  // were too old, only since it was the rest of an answer.
  Pool One;
  ServerNeeds Needs = One.needs("llm");
  Needs.Weights.Value = "m@1";
  One.want("2");
  One.follow();
  BOOST_TEST(!One.chosen(Needs).empty());
  One.Now += One.State.Options.FormerWeightsFor;
  BOOST_TEST(One.chosen(Needs).empty());
}

BOOST_AUTO_TEST_CASE(WhatWasSentInTimeMayNotBeginForEver) {
  // A worker stood still with a request in its sockets that had been sent in
  // time. It woke and began it on weights that had been replaced 8.6 s ago.
  Pool One;
  const TimePoint Published = One.Now;
  const Digest SentOn{"m@1"};
  BOOST_TEST(!mayBeginUntil(One.State, {"m1"}, SentOn));
  One.want("2");
  One.follow();
  const auto Until = mayBeginUntil(One.State, {"m1"}, SentOn);
  BOOST_REQUIRE(Until);
  BOOST_TEST((*Until > Published + One.State.Options.FormerWeightsFor));
  BOOST_TEST(
      (*Until < Published + One.State.Options.FormerWeightsFor + Millis(1200)));
  AgentNews News{Address{"m1:1"}, WorkerState::Empty, 0, {}, true, {}};
  agentTold(One.State, News, One.Now); // It sees the worker stand still.
  BOOST_TEST((mayBeginUntil(One.State, {"m1"}, SentOn) == Until));
  News = {Address{"m1:1"}, WorkerState::Serving, 0, {"m@2"}, true, {}};
  agentTold(One.State, News, One.Now);
  BOOST_TEST(!mayBeginUntil(One.State, {"m1"}, SentOn));
  BOOST_TEST(!mayBeginUntil(One.State, {"p1"}, {}));
  BOOST_TEST(!mayBeginUntil(One.State, {"gone"}, SentOn));
}

BOOST_AUTO_TEST_CASE(FormerWeightsOfASilentAgentBeginNothing) {
  // A worker's host stood still after new weights were published. Its agent did
  // not answer, so entries sent requests past it; they lay there, and on waking
  // the worker began them on weights that were too old.
  Pool One;
  One.want("2");
  One.follow();
  AgentNews News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  agentTold(One.State, News, One.Now);
  BOOST_TEST(One.spread("llm")["m0"] > 0);
  agentSilent(One.State, {"m0"}, One.Now);
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  agentTold(One.State, News, One.Now);
  BOOST_TEST(One.spread("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(ABackEndThatMayStandStillGetsOneRequestAtATime) {
  // A worker's host stood still for five seconds. Its agent did not answer, so
  // entries sent it request after request, up to all its places; the callers
  // of all of them waited in vain.
  Pool One;
  AgentNews News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  agentTold(One.State, News, One.Now);
  agentSilent(One.State, {"m0"}, One.Now);
  attemptOpened(One.State, {"m2"}); // The other one that is near.
  attemptOpened(One.State, {"m2"});
  BOOST_TEST(One.spread("llm")["m0"] > 0);
  attemptOpened(One.State, {"m0"});
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  One.Now += Millis(200);
  serverHeard(One.State, {"m0"}, One.Now); // Only its agent is gone.
  BOOST_TEST(One.spread("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(ALoadingWorkerGetsNothing) {
  Pool One;
  agentTold(One.State,
            {Address{"m0:1"}, WorkerState::Loading, 0, {"m@1"}, true, {}},
            One.Now);
  BOOST_TEST(One.spread("llm")["m0"] == 0);
}

BOOST_AUTO_TEST_CASE(AnUnreachableBackEndIsLeftAloneForAWhile) {
  Pool One;
  attemptOpened(One.State, {"p0"});
  attemptClosed(One.State, {"p0"}, AttemptEnd::Unreached, {}, One.Now);
  BOOST_TEST(One.spread("plain")["p0"] == 0);
  One.Now += Millis(400);
  BOOST_TEST(One.spread("plain")["p0"] > 0);
}

BOOST_AUTO_TEST_CASE(ABackEndThatFailsMostIsAvoided) {
  // A back end failed half of its requests while its health check was good;
  // it answered fast, so that more and more requests went to it.
  Pool One;
  for (int n = 0; n < 20; ++n) {
    attemptOpened(One.State, {"p0"});
    attemptClosed(One.State, {"p0"},
                  n % 2 == 0 ? AttemptEnd::Error : AttemptEnd::Answered,
                  Millis(5), One.Now);
  }
  BOOST_TEST(One.spread("plain")["p0"] == 0);
}

BOOST_AUTO_TEST_CASE(ColdBackEndsShareTheirRateAmongEntries) {
  Pool One;
  One.State.Entries = 4;
  for (BackEndServer &Row : One.Doc.Servers)
    Row.ColdFor = Millis(3000);
  for (BackEndServer &Row : One.Doc.Servers)
    Row.Slots = 100;
  One.follow();
  int Sent = 0;
  for (int n = 0; n < 50; ++n) {
    const std::string Id = One.choose("llm");
    if (Id.empty())
      break;
    attemptOpened(One.State, {Id});
    sentPastAgent(One.State, {Id}, One.Now);
    ++Sent;
  }
  BOOST_TEST(Sent == 3); // Less than two a second of this entry to each.
  One.Now += Millis(3000);
  BOOST_TEST(!One.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(RefusedAsksUseUpNoColdRate) {
  // After a loss of power all workers are cold and idle. Each request asked a
  // few agents for an idle one, the refused asks counted as requests that were
  // sent, and soon everybody was turned away from workers with nothing to do.
  Pool One;
  for (BackEndServer &Row : One.Doc.Servers)
    Row.ColdFor = Millis(3000);
  One.follow();
  for (int n = 0; n < 50; ++n) {
    const std::string Id = One.choose("llm");
    BOOST_TEST_REQUIRE(!Id.empty());
    attemptOpened(One.State, {Id});
    attemptClosed(One.State, {Id}, AttemptEnd::NotSent, {}, One.Now);
  }
}

BOOST_AUTO_TEST_CASE(AnAgentBehindANarrowLinkIsAskedLast) {
  // The links of three hosts became narrow. Asks for places there went
  // unanswered, heartbeats still came, and with little to do the three looked
  // idle: nearly every request asked them first and lost its time on it.
  Pool One;
  One.agentsAnswer();
  const auto Beats = [&] {
    agentTold(One.State, {{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}},
              One.Now);
  };
  const auto Unanswered = [&] {
    agentSilent(One.State, {"m0"}, One.Now);
    Beats();
  };
  Unanswered();
  BOOST_TEST(One.spread("llm")["m0"] > 0); // That may have been lost.
  Unanswered();
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  One.Now += Millis(300);
  BOOST_TEST(One.spread("llm")["m0"] > 0); // Tried once more.
  Unanswered();
  One.Now += Millis(500); // Twice as long this time.
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  readingTold(One.State, {"m0"}, Duration{0}); // It answered one.
  One.Now += Millis(100);
  Unanswered();
  BOOST_TEST(One.spread("llm")["m0"] > 0);
}

BOOST_AUTO_TEST_CASE(AnEntryWhoseOwnLinkIsNarrowStillChooses) {
  Pool One;
  One.agentsAnswer();
  for (const char *Id : {"m0", "m1", "m2"})
    agentSilent(One.State, {Id}, One.Now);
  BOOST_TEST(!One.choose("llm").empty());
}

BOOST_AUTO_TEST_CASE(RegionsBindRouteAndTenant) {
  Pool One;
  One.Doc.RegionOf = {{{"d0"}, {"r0"}}, {{"d1"}, {"r1"}}};
  One.follow();
  One.From.Regions = {{"r1"}};
  BOOST_TEST(One.spread("plain").size() == 1U);
  BOOST_TEST(One.choose("plain") == "p1");
  Tenant Owner;
  Owner.Regions = {{"r0"}};
  ServerNeeds Needs = One.needs("plain");
  Needs.Owner = &Owner;
  BOOST_TEST(One.chosen(Needs).empty());
}

BOOST_AUTO_TEST_CASE(PromptsToBeReadCountAsLoad) {
  Pool One;
  for (const char *At : {"m0:1", "m1:1", "m2:1"})
    agentTold(One.State,
              {Address{At}, WorkerState::Serving, 0, {"m@1"}, true, {}},
              One.Now);
  readingTold(One.State, {"m0"}, Millis(300));
  readingTold(One.State, {"m2"}, Millis(300));
  const auto Got = One.spread("llm");
  BOOST_TEST(Got.size() == 1U);
  BOOST_TEST(Got.contains("m1"));
}

// Answers crossed regions although a near back end could begin at once. Near
// ones are preferred until they are clearly busier than the others.
BOOST_AUTO_TEST_CASE(WorkStaysNearWhileNearOnesHaveRoom) {
  Pool One;
  One.Doc.Servers.clear();
  for (int n = 0; n < 2; ++n) {
    One.Doc.Servers.push_back(
        Pool::server("p" + std::to_string(n), "plain", n, ""));
    One.Doc.Servers.back().Slots = 20;
  }
  One.follow();
  loadTold(One.State, {"p0"}, 5, One.Now);
  loadTold(One.State, {"p1"}, 0, One.Now);
  BOOST_TEST(One.choose("plain") == "p0");
  loadTold(One.State, {"p0"}, 9, One.Now);
  BOOST_TEST(One.choose("plain") == "p1");
}

// A back end bears 110 connections from all entries together and resets those
// beyond. Nine entries that keep 24 each, as after a peak, hold 216.
BOOST_AUTO_TEST_CASE(EntriesShareTheIdleConnectionsThatABackEndBears) {
  Pool One;
  const ServiceName Plain{"plain"};
  BOOST_TEST(connectionsToKeep(One.State, Plain) == 24U); // Not known.
  One.Doc.Services.back().MaxConnections = 110;
  One.follow();
  One.State.Entries = 9;
  BOOST_TEST(connectionsToKeep(One.State, Plain) == 6U);
  One.State.Entries = 1;
  BOOST_TEST(connectionsToKeep(One.State, Plain) == 24U);
  for (const uint32_t Entries : {1U, 3U, 8U, 9U, 55U, 390U}) {
    One.State.Entries = Entries;
    BOOST_TEST(connectionsToKeep(One.State, Plain) * Entries <= 55U);
  }
}

// Guards against an agent that starts anew, gives places without the rate limit
// of its back end, and makes the entries forget it.
BOOST_AUTO_TEST_CASE(AnAgentThatStartsAnewIsToldTheRateLimit) {
  Pool One;
  AgentNews News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  News.Link = LinkId{7};
  News.PerSecond = 1.8;
  agentTold(One.State, News, One.Now);
  const ServerView &View = One.State.Servers.at({"m0"});
  BOOST_TEST(!rateToTell(View, One.Now).has_value());
  agentTold(One.State, {Address{"m0:1"}, WorkerState::Empty, 0, {}, false, {}},
            One.Now);
  News.Link = LinkId{8};
  News.PerSecond.reset();
  One.Now += Millis(2000);
  agentTold(One.State, News, One.Now);
  const auto Told = rateToTell(View, One.Now);
  BOOST_REQUIRE(Told.has_value());
  BOOST_TEST(Told->PerSecond.value() == 1.8);
  BOOST_TEST(Told->AgeMillis == 2000U);
}

// Guards against a back end that is left alone after its limit was lifted.
BOOST_AUTO_TEST_CASE(AnAgentThatLiftsARateLimitIsAskedAtOnce) {
  Pool One;
  AgentNews News{Address{"m0:1"}, WorkerState::Serving, 0, {"m@1"}, true, {}};
  News.PerSecond = 0.3;
  agentTold(One.State, News, One.Now);
  rateRefused(One.State, {"m0"}, Millis(3300), One.Now);
  BOOST_TEST(isRateLimited(One.State, {"m0"}));
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  News.PerSecond.reset();
  agentTold(One.State, News, One.Now + Millis(100));
  One.Now += Millis(100);
  BOOST_TEST(!isRateLimited(One.State, {"m0"}));
  BOOST_TEST(One.spread("llm")["m0"] > 0);
}

// Guards against a back end that looks idle because of its rate limit, and
// draws one request after the other to ask it in vain.
BOOST_AUTO_TEST_CASE(ALimitedBackEndIsNotAskedBeforeItsTime) {
  Pool One;
  One.agentsAnswer();
  rateHeard(One.State, {"m0"}, 1.8, One.Now, One.Now);
  rateRefused(One.State, {"m0"}, Millis(400), One.Now);
  BOOST_TEST(One.spread("llm")["m0"] == 0);
  BOOST_TEST(One.spread("llm")["m2"] > 0);
  One.Now += Millis(400);
  BOOST_TEST(One.spread("llm")["m0"] > 0);
}

// Guards against callers that are told to come back before any limit allows it.
BOOST_AUTO_TEST_CASE(WhereAllAreLimitedCallersAreToldTheTime) {
  Pool One;
  for (const char *Id : {"m0", "m1", "m2"}) {
    agentTold(
        One.State,
        {{std::string(Id) + ":1"}, WorkerState::Serving, 0, {"m@1"}, true, {}},
        One.Now);
    rateHeard(One.State, {Id}, 0.3, One.Now, One.Now);
    rateRefused(One.State, {Id}, Millis(1700), One.Now);
  }
  const ServerChoice Choice =
      chooseServer(One.State, One.needs("llm"), One.Now);
  BOOST_TEST(Choice.Server == nullptr);
  BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
  BOOST_TEST(Choice.RetryAfter.count() >= 1700);
}

// Guards against callers that are all told to come back at once where the rate
// limits of a service allow a few of them.
BOOST_AUTO_TEST_CASE(WhereAllAreLimitedCallersComeBackInTurn) {
  Pool One;
  One.State.Entries = 2;
  One.agentsAnswer();
  for (const char *Id : {"m0", "m1", "m2"}) {
    rateHeard(One.State, {Id}, 2, One.Now, One.Now);
    rateRefused(One.State, {Id}, Millis(400), One.Now);
  }
  // Three times two a second, half of it here: a turn in a third of a second.
  for (const int Turn : {1, 2, 3, 4}) {
    const ServerChoice Choice =
        chooseServer(One.State, One.needs("llm"), One.Now);
    BOOST_TEST(Choice.Server == nullptr);
    BOOST_CHECK(Choice.Why == PoolRefusal::AllFull);
    BOOST_TEST(Choice.RetryAfter.count() >= Turn * 333);
    BOOST_TEST(Choice.RetryAfter.count() <= std::max(Turn * 334, 800));
  }
}

// Guards against requests sent past a silent agent to a worker whose weights
// the agent had not counted as loaded, because the list named them.
BOOST_AUTO_TEST_CASE(TheListDoesNotOverrideWhatAnAgentSaid) {
  Pool One;
  One.Doc.Servers = {Pool::server("m0", "llm", 0, "m@1")};
  One.want("2");
  One.follow();
  AgentNews News{Address{"m0:1"}, WorkerState::Empty, 0, {}, true, {}};
  agentTold(One.State, News, One.Now);
  One.Doc.Servers.front().Weights.Value = "m@2";
  One.follow();
  News.Fresh = false;
  agentTold(One.State, News, One.Now);
  BOOST_TEST(One.choose("llm").empty());
}
