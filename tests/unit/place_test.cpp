/** @file place_test.cpp Tests of the slots at a back end that its agent
 * grants.
 */
// Labels: routes admission

#include "admission/first_part_func.h"
#include "admission/reading_func.h"
#include "attempts/agent_func.h"
#include "attempts/back_end_death_func.h"
#include "attempts/place_func.h"
#include "weights/weights_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <string>

using namespace jacinthpond;

namespace {

constexpr LinkId EntryA{1};
constexpr LinkId EntryB{2};

/** An agent beside an engine with loaded weights, limited to two requests. */
struct AgentFixture {
  AgentFixture() {
    Settings Config;
    Config.Name = "w:1";
    Config.Platform = "store";
    Config.EngineUrl = "http://127.0.0.1:1";
    Config.WarmLimit = 2;
    Config.ColdLimit = 2;
    Config.QueueLimit = 2;
    Agent = makeAgent(Config, Incarnation{1}, Now);
    Agent.Fleet.LastTick = Now;
    Agent.BackEndUp = true;
    Agent.Weights.Loaded.Value = "m@1";
    Agent.Weights.EngineRun = "run 1";
    Agent.Gate.ServiceTime = Millis(100);
  }

  /** Sets the concurrency limit. */
  void setLimit(uint32_t Slots) {
    Agent.Gate.Limits = {Slots, Slots, 2, 8};
    Agent.Gate.Limit = Slots;
  }

  /** Requests a slot. Returns the answer, or nothing when the request waits.
   */
  std::optional<SlotAnswer> requestSlot(const std::string &Id, Millis Wait,
                                        uint32_t Prompt = 0, uint32_t Rank = 1,
                                        LinkId Link = EntryA,
                                        uint32_t MaxBacklogToRequest = 0,
                                        bool Spare = false) {
    Out.clear();
    SlotRequest m;
    m.SlotId.Value = Id;
    m.Workspace.Value = "t";
    m.Rank = Rank;
    m.WaitMillis = static_cast<uint64_t>(Wait.count());
    m.PromptTokens = Prompt;
    m.MaxPrefillBacklogMillis = MaxBacklogToRequest;
    m.SpareOnly = Spare;
    handleSlotRequest(Agent, Link, m, Now, Out);
    return lastAnswer(Id);
  }

  /** Releases a slot, or withdraws a request for one. */
  void releaseSlot(const std::string &Id, bool Whole = true, bool Sent = true) {
    Out.clear();
    handleSlotRelease(Agent, {{Id}, Whole, Sent}, Now, Out);
  }

  /** Finds the answer to a request for a slot in the latest effects. */
  std::optional<SlotAnswer> lastAnswer(const std::string &Id) const {
    std::optional<SlotAnswer> Found;
    for (const Effect &One : Out)
      if (const auto *Sent = std::get_if<SendMessage>(&One))
        if (const auto *m = std::get_if<SlotAnswer>(&Sent->Content))
          if (m->SlotId.Value == Id)
            Found = *m;
    return Found;
  }

  /** Says whether the latest effects grant a slot. */
  bool isGranted(const std::string &Id) const {
    const auto Found = lastAnswer(Id);
    return Found && Found->Granted;
  }

  AgentState Agent;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
};

} // namespace

BOOST_AUTO_TEST_CASE(SlotsAreGrantedUpToTheLimitAndThenInTurn) {
  AgentFixture Test;
  BOOST_TEST(Test.requestSlot("a", Millis(500))->Granted);
  BOOST_TEST(Test.requestSlot("b", Millis(500))->Granted);
  BOOST_TEST(!Test.requestSlot("c", Millis(500)).has_value());
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("c"));
}

BOOST_AUTO_TEST_CASE(RequestThatCannotBeginInTimeIsRefusedAtOnce) {
  // Guards against a request being queued although it will be late. One whose
  // stream had to begin within 0.4 s waited in a queue of 0.6 s and made all
  // those behind it late too.
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  const auto Answer = Test.requestSlot("c", Millis(10));
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(!Answer->Granted);
  BOOST_CHECK(Answer->Why == ErrorKind::Overloaded);
  BOOST_TEST(Answer->RetryAfterMillis > 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatWaitedTooLongIsRefused) {
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  Test.requestSlot("c", Millis(200));
  Test.Now += Millis(201);
  Test.Out.clear();
  expireSlots(Test.Agent, Test.Now, Test.Out);
  BOOST_REQUIRE(Test.lastAnswer("c").has_value());
  BOOST_TEST(!Test.isGranted("c"));
  Test.releaseSlot("a");
  BOOST_TEST(!Test.lastAnswer("c").has_value());
}

BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirst) {
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  Test.requestSlot("late", Millis(500), 0, 3);
  Test.requestSlot("urgent", Millis(500), 0, 0);
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("urgent"));
  BOOST_TEST(!Test.isGranted("late"));
}

BOOST_AUTO_TEST_CASE(NextSlotWaitsUntilPromptsAreRead) {
  // Guards against several long prompts at once. Three of them made all answers
  // of a worker pause for half a second, which made these late.
  AgentFixture Test;
  Test.Agent.Prefill.TokensPerSecond = 10000;
  BOOST_TEST(Test.requestSlot("a", Millis(500), 3000)->Granted);
  BOOST_TEST(!Test.requestSlot("b", Millis(500), 3000).has_value());
  Test.Now += Millis(100);
  Test.Out.clear();
  handleAgentTick(Test.Agent, Test.Now, Test.Out);
  BOOST_TEST(!Test.isGranted("b"));
  Test.Now += Millis(120);
  Test.Out.clear();
  handleAgentTick(Test.Agent, Test.Now, Test.Out);
  BOOST_TEST(Test.isGranted("b"));
}

BOOST_AUTO_TEST_CASE(AnswerContainsRemainingReadingTime) {
  AgentFixture Test;
  Test.Agent.Prefill.TokensPerSecond = 10000;
  BOOST_TEST(Test.requestSlot("a", Millis(500), 500)->PrefillBacklogMillis ==
             50U);
}

BOOST_AUTO_TEST_CASE(SlotsOfADeadEntryAreReleased) {
  // Guards against slots that are never released. An entry was killed while it
  // held all slots of a worker, and the agent granted none from then on.
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  detachSlots(Test.Agent, EntryA, Test.Now, Test.Out);
  Test.requestSlot("c", Millis(5000), 0, 1, EntryB);
  Test.Now += Millis(1900);
  Test.Out.clear();
  expireSlots(Test.Agent, Test.Now, Test.Out);
  BOOST_TEST(!Test.isGranted("c"));
  Test.Now += Millis(200);
  expireSlots(Test.Agent, Test.Now, Test.Out);
  // The engine may still run the requests until its report says otherwise.
  EngineState Idle;
  Idle.Run = "run 1";
  Idle.Weights.Value = "m@1";
  handleEngineReport(Test.Agent, {Idle, {}}, 0, Test.Now, Test.Out);
  BOOST_TEST(Test.isGranted("c"));
}

BOOST_AUTO_TEST_CASE(WithdrawnRequestIsSkipped) {
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  Test.requestSlot("c", Millis(500));
  Test.requestSlot("d", Millis(500));
  Test.releaseSlot("c", false, false);
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("d"));
}

BOOST_AUTO_TEST_CASE(LoadingWorkerRefusesSlots) {
  AgentFixture Test;
  Test.Agent.Weights.Draining = true;
  BOOST_CHECK(Test.requestSlot("a", Millis(500))->Why ==
              ErrorKind::WeightsNotReady);
  Test.Agent.Weights.Draining = false;
  Test.Agent.Weights.EngineBusy = true;
  BOOST_CHECK(Test.requestSlot("b", Millis(500))->Why ==
              ErrorKind::WeightsNotReady);
}

BOOST_AUTO_TEST_CASE(RepeatedRequestCountsOnce) {
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  BOOST_TEST(!Test.requestSlot("a", Millis(500)).has_value());
  BOOST_TEST(Test.Agent.Gate.Running == 1U);
}

// An entry looks for an idle back end first. One that has prompts to read or
// queued work has to refuse such a request at once instead of queueing it.
BOOST_AUTO_TEST_CASE(BusyBackEndRefusesRequestForIdleOne) {
  AgentFixture Test;
  Test.Agent.Prefill.TokensPerSecond = 1000;
  BOOST_TEST(Test.requestSlot("a", Millis(500), 50, 1, EntryA, 20)->Granted);
  const auto Refused = Test.requestSlot("b", Millis(500), 50, 1, EntryA, 20);
  BOOST_TEST(!Refused->Granted);
  BOOST_TEST((Refused->Why == ErrorKind::Overloaded));
  BOOST_TEST(Refused->PrefillBacklogMillis == 50);
  BOOST_TEST(Test.requestSlot("c", Millis(500), 50, 1, EntryA, 60)->Granted);
  BOOST_TEST(!Test.requestSlot("d", Millis(500))
                  .has_value()); // Queued: the limit is two.
  BOOST_TEST(!Test.requestSlot("e", Millis(500), 0, 1, EntryA, 1000)->Granted);
}

// Guards against an overload in which no request is on time any more: a retry
// of a late request takes a slot, which makes a fresh request late and leads
// to its retry. Late requests get only capacity that fresh ones don't need.
BOOST_AUTO_TEST_CASE(LateRequestsGetOnlySpareCapacity) {
  AgentFixture Test;
  Test.setLimit(16);
  const auto RequestLateSlot = [&](const std::string &Id) {
    return Test.requestSlot(Id, Millis(1000), 0, 1, EntryA, 0, true);
  };
  for (int n = 0; n < 12; ++n)
    BOOST_TEST(Test.requestSlot("a" + std::to_string(n), Millis(100))->Granted);
  BOOST_TEST(RequestLateSlot("late 1")->Granted); // Three slots stay reserved.
  BOOST_TEST(!RequestLateSlot("late 2").has_value());
  BOOST_TEST(Test.requestSlot("b", Millis(100), 0, 1, EntryA, 60)->Granted);
  Test.releaseSlot("a0");
  BOOST_TEST(!Test.isGranted("late 2"));
  Test.releaseSlot("a1");
  BOOST_TEST(Test.isGranted("late 2"));
}

// Guards against a back end with few slots reserving all of them.
BOOST_AUTO_TEST_CASE(SmallIdleBackEndAcceptsLateRequests) {
  AgentFixture Test;
  BOOST_TEST(
      Test.requestSlot("late", Millis(1000), 0, 1, EntryA, 0, true)->Granted);
}

BOOST_AUTO_TEST_CASE(LateRequestIsRefusedAfterItsWait) {
  AgentFixture Test;
  BOOST_TEST(Test.requestSlot("a", Millis(100))->Granted);
  BOOST_TEST(Test.requestSlot("b", Millis(100))->Granted);
  BOOST_TEST(!Test.requestSlot("late", Millis(1000), 0, 1, EntryA, 0, true)
                  .has_value());
  Test.Now += Millis(1000);
  Test.Out.clear();
  expireSlots(Test.Agent, Test.Now, Test.Out);
  BOOST_TEST(!Test.lastAnswer("late")->Granted);
  BOOST_TEST(Test.Agent.SpareQueue.empty());
  BOOST_TEST(Test.Agent.SlotsById.size() == 2U);
}

// Guards against requests that wait for spare capacity being forgotten when the
// agent stops.
BOOST_AUTO_TEST_CASE(LateRequestsAreRefusedWhenTheAgentStops) {
  AgentFixture Test;
  BOOST_TEST(Test.requestSlot("a", Millis(100))->Granted);
  BOOST_TEST(Test.requestSlot("b", Millis(100))->Granted);
  BOOST_TEST(!Test.requestSlot("late", Millis(1000), 0, 1, EntryA, 0, true)
                  .has_value());
  Test.Out.clear();
  beginAgentShutdown(Test.Agent, Test.Now, Test.Out);
  BOOST_TEST((Test.lastAnswer("late")->Why == ErrorKind::Leaving));
  BOOST_TEST(Test.Agent.SlotsById.size() == 2U);
}

// Guards against an entry that has just started refusing requests for want of a
// worker: it has links to all agents, and none has told it what is loaded.
BOOST_AUTO_TEST_CASE(AnEntryLearnsWhatIsLoadedWithTheLink) {
  AgentFixture Test;
  handleAgentTick(Test.Agent, Test.Now, Test.Out);
  const LinkId Link{FirstAcceptedLink};
  handleAgentLinkOpened(Test.Agent, Link, Test.Now, Test.Out);
  Test.Out.clear();
  Hello Entry;
  Entry.Name.Value = "e0";
  handleAgentMessage(Test.Agent, Link, Entry, Test.Now, Test.Out);
  const auto Told = [&](const Effect &One) {
    const auto *Sent = std::get_if<SendMessage>(&One);
    const auto *Beat =
        Sent == nullptr ? nullptr : std::get_if<Heartbeat>(&Sent->Content);
    return Beat != nullptr && Sent->Link == Link &&
           Beat->Load.Weights.Value == "m@1";
  };
  BOOST_TEST(std::ranges::any_of(Test.Out, Told));
}

BOOST_AUTO_TEST_CASE(NoSlotIsGrantedOnOutdatedWeights) {
  // Guards against outdated weights being used for an entry with an outdated
  // view. After a pause, an entry sent requests to a worker with the previous
  // version; its agent had known of the new one for nine seconds and granted
  // every slot.
  AgentFixture Test;
  Test.Agent.Config.WeightsChangeMillis = 8000;
  Test.Agent.Weights.StagedAtEngine = true;
  recordNewestSet(Test.Agent.Weights, Digest{"m@2"}, Test.Now);
  BOOST_TEST(Test.requestSlot("soon", Millis(0))->Granted);
  Test.Now += Millis(8000);
  const auto Late = Test.requestSlot("late", Millis(0));
  BOOST_REQUIRE(Late);
  BOOST_TEST(!Late->Granted);
  BOOST_CHECK(Late->Why == ErrorKind::WeightsNotReady);
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsRefusedWhenWeightsBecomeOutdated) {
  AgentFixture Test;
  Test.Agent.Config.WeightsChangeMillis = 8000;
  Test.Agent.Weights.StagedAtEngine = true;
  recordNewestSet(Test.Agent.Weights, Digest{"m@2"}, Test.Now);
  Test.Now += Millis(6700);
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  BOOST_TEST(!Test.requestSlot("c", Millis(500)).has_value());
  Test.Now += Millis(100);
  expireSlots(Test.Agent, Test.Now, Test.Out);
  const auto Answer = Test.lastAnswer("c");
  BOOST_REQUIRE(Answer);
  BOOST_CHECK(Answer->Why == ErrorKind::WeightsNotReady);
}

/** Builds a request for a slot with a target time for its first part. */
SlotRequest requestWithTarget(const std::string &Id, Millis Time,
                              uint32_t Prompt) {
  SlotRequest m;
  m.SlotId.Value = Id;
  m.Workspace.Value = "t";
  m.WaitMillis = m.FirstPartMillis = static_cast<uint64_t>(Time.count());
  m.PromptTokens = Prompt;
  return m;
}

BOOST_AUTO_TEST_CASE(RequestThatWouldBeLateIsNotQueued) {
  // Guards against an overload in which requests wait until just before their
  // target. The full engine then took another quarter of a second to the first
  // token. A third of all answers were late, and fresh requests that could have
  // been on time were refused.
  AgentFixture Test;
  Test.Agent.Prefill.TokensPerSecond = 10000;
  for (int n = 0; n < 50; ++n)
    recordFirstPart(Test.Agent.FirstPart, Millis(220), Millis(0));
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  Test.Out.clear();
  // 220 ms, and 150 ms for its own prompt, leave almost no time to wait.
  handleSlotRequest(Test.Agent, EntryA,
                    requestWithTarget("long", Millis(380), 1500), Test.Now,
                    Test.Out);
  BOOST_REQUIRE(Test.lastAnswer("long"));
  BOOST_TEST(!Test.isGranted("long"));
  Test.Out.clear();
  handleSlotRequest(Test.Agent, EntryA,
                    requestWithTarget("short", Millis(380), 100), Test.Now,
                    Test.Out);
  BOOST_TEST(!Test.lastAnswer("short")); // May wait for 150 ms.
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("short"));
}

BOOST_AUTO_TEST_CASE(QueuedRequestThatIsLateByNowIsRefused) {
  AgentFixture Test;
  for (int n = 0; n < 50; ++n)
    recordFirstPart(Test.Agent.FirstPart, Millis(220), Millis(0));
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  handleSlotRequest(Test.Agent, EntryA, requestWithTarget("c", Millis(380), 0),
                    Test.Now, Test.Out);
  Test.Now += Millis(170); // With 220 ms more it would be late.
  Test.releaseSlot("a");
  BOOST_REQUIRE(Test.lastAnswer("c"));
  BOOST_TEST(!Test.isGranted("c"));
  BOOST_TEST(Test.Agent.Gate.Running == 1U);
}

BOOST_AUTO_TEST_CASE(FreeSlotIsGrantedEvenIfTheAnswerWillBeLate) {
  // The target time of a route may be shorter than its back ends ever achieve.
  // A late answer is better than none while no other request is delayed.
  AgentFixture Test;
  for (int n = 0; n < 50; ++n)
    recordFirstPart(Test.Agent.FirstPart, Millis(900), Millis(0));
  handleSlotRequest(Test.Agent, EntryA, requestWithTarget("a", Millis(380), 0),
                    Test.Now, Test.Out);
  BOOST_TEST(Test.isGranted("a"));
}

BOOST_AUTO_TEST_CASE(LateRequestsAreRefusedAtOnceInALastingOverload) {
  // Guards against queueing late requests in vain. While all slots were taken
  // for half a minute, 1,057 of 1,078 late requests that were queued for spare
  // capacity were refused only after up to 3 s.
  AgentFixture Test;
  BOOST_TEST(Test.requestSlot("a", Millis(100))->Granted);
  BOOST_TEST(Test.requestSlot("b", Millis(100))->Granted);
  const auto RequestLateSlot = [&](const std::string &Id) {
    return Test.requestSlot(Id, Millis(1000), 0, 1, EntryA, 0, true);
  };
  BOOST_TEST(
      !RequestLateSlot("late 1").has_value()); // There was capacity until now.
  Test.Now += Millis(1001);
  expireSlots(Test.Agent, Test.Now, Test.Out);
  const auto Refused = RequestLateSlot("late 2");
  BOOST_REQUIRE(Refused);
  BOOST_TEST(!Refused->Granted);
  Test.releaseSlot("a");
  BOOST_TEST(RequestLateSlot("late 3")->Granted);
}

BOOST_AUTO_TEST_CASE(ListedSlotsReplaceTheLimitsFromTheSettings) {
  // Guards against the cold limit of the settings staying in force. Workers of
  // 15 slots got two requests at a time, since their limit of 16 happened to
  // equal the warm limit of the settings.
  Settings Config;
  Config.Name = "10.0.0.1:9";
  Config.Platform = "store";
  Config.EngineUrl = "http://127.0.0.1:1";
  Config.WarmLimit = 16;
  Config.ColdLimit = 2;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
  AgentState Agent = makeAgent(Config, Incarnation{1}, Now);
  handleAgentLinkOpened(Agent, EntryA, Now, Out);
  Agent.Fleet.Links[EntryA].State = LinkState::Ready;
  const std::string Digest(64, 'a');
  const ConfigPush Push{
      R"({"version": 1,
          "models": [{"name": "m", "version": "1", "chunk_bytes": 1,
                      "total_bytes": 1, "chunks": [")" +
          Digest + R"("]}],
          "workers": [{"name": "10.0.0.1:9", "domain": "d", "agent": "10.0.0.1:1",
                       "model": "m"}],
          "services": [{"name": "s", "model": "m"}],
          "servers": [{"id": "i", "service": "s", "at": "10.0.0.1:9", "domain": "d",
                       "slots": 15}]})",
      true};
  handleAgentMessage(Agent, EntryA, Push, Now, Out);
  BOOST_TEST_REQUIRE(Agent.View.InForce.get(), Agent.View.LastRefusal);
  BOOST_TEST(Agent.Gate.Limit == 16U);
}

// Guards against a busy worker being taken for one whose host is paused.
BOOST_AUTO_TEST_CASE(FullAgentAnswersPingAtOnce) {
  AgentFixture Test;
  Test.setLimit(1);
  BOOST_TEST(Test.requestSlot("a", Millis(0))->Granted);
  Test.Agent.Fleet.Links[EntryA].State = LinkState::Ready;
  Test.Out.clear();
  handleAgentMessage(Test.Agent, EntryA, Ping{3}, Test.Now, Test.Out);
  BOOST_REQUIRE(Test.Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(Test.Out.front());
  BOOST_TEST((Sent.Link == EntryA));
  BOOST_TEST(std::get<Pong>(Sent.Content).Sequence == 3U);
}

// Guards against an agent that grants more slots than the back end's own rate
// limit allows, however many entries request them.
BOOST_AUTO_TEST_CASE(GrantsStayWithinTheRateLimitOfTheBackEnd) {
  AgentFixture Test;
  Test.setLimit(16);
  const TimePoint Begin = Test.Now;
  handleRateNotice(Test.Agent, {{}, {}, 2.7, 0}, Test.Now, Test.Out);
  uint32_t Given = 0;
  for (int n = 0; Test.Now < Begin + Millis(4000);
       ++n, Test.Now += Millis(20)) {
    const std::string Id = std::to_string(n);
    const auto Answer =
        Test.requestSlot(Id, Millis(500), 0, 1, n % 2 ? EntryA : EntryB);
    BOOST_REQUIRE(Answer.has_value()); // Not queued: others may have capacity.
    if (!Answer->Granted) {
      BOOST_CHECK(Answer->Why == ErrorKind::RateLimited);
      BOOST_TEST(Answer->RetryAfterMillis > 0U);
      continue;
    }
    ++Given;
    Test.releaseSlot(Id);
  }
  BOOST_TEST(Given >= 10U);
  BOOST_TEST(Given <= 13U);
}

// Guards against an agent that exceeds the rate limit of a cold back end.
BOOST_AUTO_TEST_CASE(GrantsStayWithinTheRateLimitOfAColdBackEnd) {
  AgentFixture Test;
  Test.setLimit(16);
  Test.Agent.ColdStartRate.PerSecond = 8;
  Test.Agent.ColdUntil = Test.Now + Millis(3000);
  const auto GivenInASecond = [&] {
    const TimePoint End = Test.Now + Millis(1000);
    int Given = 0;
    for (; Test.Now < End; Test.Now += Millis(10)) {
      const std::string Id =
          std::to_string(Test.Now.time_since_epoch().count());
      Given += Test.requestSlot(Id, Millis(500))->Granted ? 1 : 0;
      Test.releaseSlot(Id);
    }
    return Given;
  };
  for (int n = 0; n < 3; ++n) {
    const int Given = GivenInASecond();
    BOOST_TEST(Given >= 5);
    BOOST_TEST(Given <= 8);
  }
  BOOST_TEST(GivenInASecond() == 100);
}

// Guards against an agent that exceeds a rate limit with requests that were
// queued before it knew the limit.
BOOST_AUTO_TEST_CASE(QueuedRequestsStayWithinTheRateLimit) {
  AgentFixture Test;
  for (const char *Id : {"a", "b", "c", "d"})
    Test.requestSlot(Id, Millis(900));
  handleRateNotice(Test.Agent, {{}, {}, 0.3, 0}, Test.Now, Test.Out);
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("c"));
  Test.releaseSlot("b");
  BOOST_TEST(!Test.isGranted("d"));
}

// Guards against requests that were never sent being counted against the limit.
BOOST_AUTO_TEST_CASE(UnusedSlotIsNotCountedAgainstTheRateLimit) {
  AgentFixture Test;
  handleRateNotice(Test.Agent, {{}, {}, 0.3, 0}, Test.Now, Test.Out);
  BOOST_TEST(Test.requestSlot("a", Millis(500))->Granted);
  Test.releaseSlot("a", false, false);
  BOOST_TEST(Test.requestSlot("b", Millis(500))->Granted);
  Test.releaseSlot("b", false, true);
  BOOST_TEST(!Test.requestSlot("c", Millis(500))->Granted);
}

// Guards against a limit being lifted by an answer to a request that was sent
// before the limit was named.
BOOST_AUTO_TEST_CASE(OnlyAnAnswerToALaterRequestLiftsTheRateLimit) {
  AgentFixture Test;
  BOOST_TEST(Test.requestSlot("early", Millis(500))->Granted);
  Test.Now += Millis(100);
  handleRateNotice(Test.Agent, {{}, {}, 1.8, 0}, Test.Now, Test.Out);
  Test.Now += Millis(900);
  BOOST_TEST(Test.requestSlot("late", Millis(500))->Granted);
  handleRateNotice(Test.Agent, {{"early"}, {}, {}, 1000}, Test.Now, Test.Out);
  BOOST_TEST(Test.Agent.Rate.PerSecond.has_value());
  handleRateNotice(Test.Agent, {{"unknown"}, {}, {}, 0}, Test.Now, Test.Out);
  BOOST_TEST(Test.Agent.Rate.PerSecond.has_value());
  handleRateNotice(Test.Agent, {{"late"}, {}, {}, 10}, Test.Now, Test.Out);
  BOOST_TEST(!Test.Agent.Rate.PerSecond.has_value());
}

// Guards against a limit that outlasts a restart of its back end, or that is
// lifted when a report could not be read.
BOOST_AUTO_TEST_CASE(RateLimitEndsWhenTheBackEndRestarts) {
  AgentFixture Test;
  const auto Report = [&](const char *Run) {
    EngineState State;
    State.Run = Run;
    State.Weights.Value = "m@1";
    handleEngineReport(Test.Agent, {State, {}}, 0, Test.Now, Test.Out);
  };
  Report("run 1");
  handleRateNotice(Test.Agent, {{}, {}, 1.8, 0}, Test.Now, Test.Out);
  handleEngineReport(Test.Agent,
                     {std::nullopt, {ErrorKind::Unreachable, "", {}}}, 0,
                     Test.Now, Test.Out);
  Report("run 1");
  BOOST_TEST(Test.Agent.Rate.PerSecond.has_value());
  Report("run 2");
  BOOST_TEST(!Test.Agent.Rate.PerSecond.has_value());
}

// Guards against a limit that is never lifted: while there are no requests,
// only reports show that it has ended.
BOOST_AUTO_TEST_CASE(ReportWithoutTheRateLimitLiftsIt) {
  AgentFixture Test;
  const auto Report = [&](std::optional<double> PerSecond) {
    EngineState State;
    State.Run = "run 1";
    State.PerSecond = PerSecond;
    Test.Now += Millis(200);
    handleEngineReport(Test.Agent, {State, {}}, 0, Test.Now, Test.Out);
    return Test.Agent.Rate.PerSecond;
  };
  Report({});
  handleRateNotice(Test.Agent, {{}, {}, 1.8, 0}, Test.Now, Test.Out);
  BOOST_TEST(Report({}).has_value()); // Reports have not named one yet.
  BOOST_TEST(Report(1.8).has_value());
  BOOST_TEST(!Report({}).has_value());
}

// Guards against an agent that ends when it hears of a suspect while requests
// wait for a slot.
BOOST_AUTO_TEST_CASE(ASuspectNoticeLeavesWaitingSlotsAlone) {
  AgentFixture Test;
  Test.requestSlot("a", Millis(500));
  Test.requestSlot("b", Millis(500));
  BOOST_TEST(!Test.requestSlot("c", Millis(500)).has_value());
  const SuspectNotice Notice{Digest{"fatal"}, "w/1", 0, false, false};
  BOOST_CHECK_NO_THROW(
      handleSuspectNotice(Test.Agent, Notice, Test.Now, Test.Out));
  Test.releaseSlot("a");
  BOOST_TEST(Test.isGranted("c"));
}
