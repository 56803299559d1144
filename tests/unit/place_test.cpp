/** @file place_test.cpp Places at a back end, given by its agent. */
// Labels: routes admission

#include "admission/first_part_func.h"
#include "admission/reading_func.h"
#include "attempts/agent_func.h"
#include "attempts/place_func.h"
#include "weights/weights_func.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace jacinthpond;

namespace {

constexpr LinkId EntryA{1};
constexpr LinkId EntryB{2};

/** An agent beside a loaded worker with two places, one of them ahead. */
struct OneAgent {
  OneAgent() {
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

  void limit(uint32_t Places) {
    Agent.Gate.Limits = {Places, Places, 2, 8};
    Agent.Gate.Limit = Places;
  }

  /** Asks for a place; gives the answer, if there is one at once. */
  std::optional<PlaceAnswer> ask(const std::string &Id, Millis Wait,
                                 uint32_t Prompt = 0, uint32_t Rank = 1,
                                 LinkId Link = EntryA, uint32_t MostReading = 0,
                                 bool Spare = false) {
    Out.clear();
    PlaceAsk m;
    m.Place.Value = Id;
    m.Tenant.Value = "t";
    m.Rank = Rank;
    m.WaitMillis = static_cast<uint64_t>(Wait.count());
    m.PromptTokens = Prompt;
    m.MostReadingMillis = MostReading;
    m.Spare = Spare;
    handlePlaceRequest(Agent, Link, m, Now, Out);
    return answered(Id);
  }

  void done(const std::string &Id, bool Whole = true, bool Sent = true) {
    Out.clear();
    handlePlaceRelease(Agent, {{Id}, Whole, Sent}, Now, Out);
  }

  /** The answer about a place in the last effects. */
  std::optional<PlaceAnswer> answered(const std::string &Id) const {
    std::optional<PlaceAnswer> Found;
    for (const Effect &One : Out)
      if (const auto *Sent = std::get_if<SendMessage>(&One))
        if (const auto *m = std::get_if<PlaceAnswer>(&Sent->Content))
          if (m->Place.Value == Id)
            Found = *m;
    return Found;
  }

  bool given(const std::string &Id) const {
    const auto Found = answered(Id);
    return Found && Found->Given;
  }

  AgentState Agent;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
};

} // namespace

BOOST_AUTO_TEST_CASE(PlacesAreGivenUpToTheLimitAndThenInTurn) {
  OneAgent One;
  BOOST_TEST(One.ask("a", Millis(500))->Given);
  BOOST_TEST(One.ask("b", Millis(500))->Given);
  BOOST_TEST(!One.ask("c", Millis(500)).has_value());
  One.done("a");
  BOOST_TEST(One.given("c"));
}

BOOST_AUTO_TEST_CASE(OneThatCannotBeginInTimeIsRefusedAtOnce) {
  // A caller whose stream had to begin within 0.4 s was held in a queue of
  // 0.6 s, got its first event late and made all those behind it late too.
  OneAgent One;
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  const auto Answer = One.ask("c", Millis(10));
  BOOST_REQUIRE(Answer.has_value());
  BOOST_TEST(!Answer->Given);
  BOOST_CHECK(Answer->Why == ErrorKind::Overloaded);
  BOOST_TEST(Answer->RetryAfterMillis > 0U);
}

BOOST_AUTO_TEST_CASE(OneThatWaitedTooLongIsRefused) {
  OneAgent One;
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  One.ask("c", Millis(200));
  One.Now += Millis(201);
  One.Out.clear();
  expirePlaces(One.Agent, One.Now, One.Out);
  BOOST_REQUIRE(One.answered("c").has_value());
  BOOST_TEST(!One.given("c"));
  One.done("a");
  BOOST_TEST(!One.answered("c").has_value());
}

BOOST_AUTO_TEST_CASE(UrgentOnesGoFirst) {
  OneAgent One;
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  One.ask("late", Millis(500), 0, 3);
  One.ask("urgent", Millis(500), 0, 0);
  One.done("a");
  BOOST_TEST(One.given("urgent"));
  BOOST_TEST(!One.given("late"));
}

BOOST_AUTO_TEST_CASE(PromptsAreReadOneAfterTheOther) {
  // Three long prompts came to one worker at the same moment. All its answers
  // paused for half a second, and their callers counted them as late.
  OneAgent One;
  One.Agent.Reading.TokensPerSecond = 10000;
  BOOST_TEST(One.ask("a", Millis(500), 3000)->Given);
  BOOST_TEST(!One.ask("b", Millis(500), 3000).has_value());
  One.Now += Millis(100);
  One.Out.clear();
  agentTick(One.Agent, One.Now, One.Out);
  BOOST_TEST(!One.given("b"));
  One.Now += Millis(120);
  One.Out.clear();
  agentTick(One.Agent, One.Now, One.Out);
  BOOST_TEST(One.given("b"));
}

BOOST_AUTO_TEST_CASE(AnAnswerTellsWhatIsLeftToRead) {
  OneAgent One;
  One.Agent.Reading.TokensPerSecond = 10000;
  BOOST_TEST(One.ask("a", Millis(500), 500)->ReadingMillis == 50U);
}

BOOST_AUTO_TEST_CASE(AnEntryThatDiesLeavesItsPlacesAfterAWhile) {
  // An entry was killed while it held all places of a worker. The worker ended
  // its runs with their connections; its agent gave no place ever after.
  OneAgent One;
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  detachPlaces(One.Agent, EntryA, One.Now, One.Out);
  One.ask("c", Millis(5000), 0, 1, EntryB);
  One.Now += Millis(1900);
  One.Out.clear();
  expirePlaces(One.Agent, One.Now, One.Out);
  BOOST_TEST(!One.given("c"));
  One.Now += Millis(200);
  expirePlaces(One.Agent, One.Now, One.Out);
  // The worker may be at the runs still, until its report says less.
  EngineState Idle;
  Idle.Run = "run 1";
  Idle.Weights.Value = "m@1";
  engineStateRead(One.Agent, {Idle, {}}, 0, One.Now, One.Out);
  BOOST_TEST(One.given("c"));
}

BOOST_AUTO_TEST_CASE(AWithdrawnRequestTakesNoTurn) {
  OneAgent One;
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  One.ask("c", Millis(500));
  One.ask("d", Millis(500));
  One.done("c", false, false);
  One.done("a");
  BOOST_TEST(One.given("d"));
}

BOOST_AUTO_TEST_CASE(ALoadingWorkerGivesNoPlace) {
  OneAgent One;
  One.Agent.Weights.Draining = true;
  BOOST_CHECK(One.ask("a", Millis(500))->Why == ErrorKind::WeightsNotReady);
  One.Agent.Weights.Draining = false;
  One.Agent.Weights.EngineBusy = true;
  BOOST_CHECK(One.ask("b", Millis(500))->Why == ErrorKind::WeightsNotReady);
}

BOOST_AUTO_TEST_CASE(AskedTwiceCountsOnce) {
  OneAgent One;
  One.ask("a", Millis(500));
  BOOST_TEST(!One.ask("a", Millis(500)).has_value());
  BOOST_TEST(One.Agent.Gate.Running == 1U);
}

// An entry looks for an idle back end first: one that has a prompt to read, or
// work waiting, says so at once instead of letting the request wait.
BOOST_AUTO_TEST_CASE(ABusyOneRefusesWhoLooksForAnIdleOne) {
  OneAgent One;
  One.Agent.Reading.TokensPerSecond = 1000;
  BOOST_TEST(One.ask("a", Millis(500), 50, 1, EntryA, 20)->Given);
  const auto Refused = One.ask("b", Millis(500), 50, 1, EntryA, 20);
  BOOST_TEST(!Refused->Given);
  BOOST_TEST((Refused->Why == ErrorKind::Overloaded));
  BOOST_TEST(Refused->ReadingMillis == 50);
  BOOST_TEST(One.ask("c", Millis(500), 50, 1, EntryA, 60)->Given);
  BOOST_TEST(!One.ask("d", Millis(500)).has_value()); // Waits: two places.
  BOOST_TEST(!One.ask("e", Millis(500), 0, 1, EntryA, 1000)->Given);
}

// In an overload refused callers come back. Each place that one of them takes
// makes a fresh request late, which then comes back as well, so that nobody is
// on time any more. Late ones take only what fresh ones leave.
BOOST_AUTO_TEST_CASE(LateRequestsTakeOnlySpareRoom) {
  OneAgent One;
  One.limit(16);
  const auto AskLate = [&](const std::string &Id) {
    return One.ask(Id, Millis(1000), 0, 1, EntryA, 0, true);
  };
  for (int n = 0; n < 12; ++n)
    BOOST_TEST(One.ask("a" + std::to_string(n), Millis(100))->Given);
  BOOST_TEST(AskLate("late 1")->Given); // Three places stay free.
  BOOST_TEST(!AskLate("late 2").has_value());
  BOOST_TEST(One.ask("b", Millis(100), 0, 1, EntryA, 60)->Given);
  One.done("a0");
  BOOST_TEST(!One.given("late 2"));
  One.done("a1");
  BOOST_TEST(One.given("late 2"));
}

// A small back end that keeps three places for others would never take one.
BOOST_AUTO_TEST_CASE(ASmallIdleBackEndTakesLateRequests) {
  OneAgent One;
  BOOST_TEST(One.ask("late", Millis(1000), 0, 1, EntryA, 0, true)->Given);
}

BOOST_AUTO_TEST_CASE(ALateRequestWaitsNoLongerThanItSaid) {
  OneAgent One;
  BOOST_TEST(One.ask("a", Millis(100))->Given);
  BOOST_TEST(One.ask("b", Millis(100))->Given);
  BOOST_TEST(!One.ask("late", Millis(1000), 0, 1, EntryA, 0, true).has_value());
  One.Now += Millis(1000);
  One.Out.clear();
  expirePlaces(One.Agent, One.Now, One.Out);
  BOOST_TEST(!One.answered("late")->Given);
  BOOST_TEST(One.Agent.SpareQueue.empty());
  BOOST_TEST(One.Agent.Places.size() == 2U);
}

// An agent that leaves or loads tells those that wait for spare room as well.
BOOST_AUTO_TEST_CASE(LateRequestsAreRefusedWhenTheAgentStops) {
  OneAgent One;
  BOOST_TEST(One.ask("a", Millis(100))->Given);
  BOOST_TEST(One.ask("b", Millis(100))->Given);
  BOOST_TEST(!One.ask("late", Millis(1000), 0, 1, EntryA, 0, true).has_value());
  One.Out.clear();
  agentStop(One.Agent, One.Now, One.Out);
  BOOST_TEST((One.answered("late")->Why == ErrorKind::Leaving));
  BOOST_TEST(One.Agent.Places.size() == 2U);
}

BOOST_AUTO_TEST_CASE(NoPlaceIsGivenOnWeightsThatAreTooOld) {
  // An entry that had stood still took a version for news and sent requests to
  // a worker that still had the one before. Its agent knew for nine seconds
  // that these weights were replaced, and gave every place that was asked for.
  OneAgent One;
  One.Agent.Config.WeightsChangeMillis = 8000;
  One.Agent.Weights.AtEngine = true;
  noteNewest(One.Agent.Weights, Digest{"m@2"}, One.Now);
  BOOST_TEST(One.ask("soon", Millis(0))->Given);
  One.Now += Millis(8000);
  const auto Late = One.ask("late", Millis(0));
  BOOST_REQUIRE(Late);
  BOOST_TEST(!Late->Given);
  BOOST_CHECK(Late->Why == ErrorKind::WeightsNotReady);
}

BOOST_AUTO_TEST_CASE(WhoWaitsForWeightsThatBecomeTooOldIsRefused) {
  OneAgent One;
  One.Agent.Config.WeightsChangeMillis = 8000;
  One.Agent.Weights.AtEngine = true;
  noteNewest(One.Agent.Weights, Digest{"m@2"}, One.Now);
  One.Now += Millis(6700);
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  BOOST_TEST(!One.ask("c", Millis(500)).has_value());
  One.Now += Millis(100);
  expirePlaces(One.Agent, One.Now, One.Out);
  const auto Answer = One.answered("c");
  BOOST_REQUIRE(Answer);
  BOOST_CHECK(Answer->Why == ErrorKind::WeightsNotReady);
}

/** A request whose first part is wanted within a time. */
PlaceAsk wantedWithin(const std::string &Id, Millis Time, uint32_t Prompt) {
  PlaceAsk m;
  m.Place.Value = Id;
  m.Tenant.Value = "t";
  m.WaitMillis = m.FirstPartMillis = static_cast<uint64_t>(Time.count());
  m.PromptTokens = Prompt;
  return m;
}

BOOST_AUTO_TEST_CASE(WhoWouldBeLateIsNotLetWait) {
  // More callers came than all workers could serve. Each waited until just
  // before its target for a place at a full engine, which then took another
  // quarter of a second to its first token: a third of all answers were late,
  // and fresh requests that could have been on time were refused meanwhile.
  OneAgent One;
  One.Agent.Reading.TokensPerSecond = 10000;
  for (int n = 0; n < 50; ++n)
    firstPartSeen(One.Agent.FirstPart, Millis(220), Millis(0));
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  One.Out.clear();
  // 220 ms beside 150 ms of its own prompt leave no time for a wait.
  handlePlaceRequest(One.Agent, EntryA, wantedWithin("long", Millis(380), 1500),
                     One.Now, One.Out);
  BOOST_REQUIRE(One.answered("long"));
  BOOST_TEST(!One.given("long"));
  One.Out.clear();
  handlePlaceRequest(One.Agent, EntryA, wantedWithin("short", Millis(380), 100),
                     One.Now, One.Out);
  BOOST_TEST(!One.answered("short")); // Waits for 150 ms.
  One.done("a");
  BOOST_TEST(One.given("short"));
}

BOOST_AUTO_TEST_CASE(ATurnIsNotSpentOnWhoIsLateByNow) {
  OneAgent One;
  for (int n = 0; n < 50; ++n)
    firstPartSeen(One.Agent.FirstPart, Millis(220), Millis(0));
  One.ask("a", Millis(500));
  One.ask("b", Millis(500));
  handlePlaceRequest(One.Agent, EntryA, wantedWithin("c", Millis(380), 0),
                     One.Now, One.Out);
  One.Now += Millis(170); // 220 ms later it would be late.
  One.done("a");
  BOOST_REQUIRE(One.answered("c"));
  BOOST_TEST(!One.given("c"));
  BOOST_TEST(One.Agent.Gate.Running == 1U);
}

BOOST_AUTO_TEST_CASE(WhereAllFirstPartsComeLatePlacesAreGivenWhileThereIsRoom) {
  // A route may want its first part sooner than its back ends ever give it. A
  // late answer is better than none, as long as nobody has to wait for it.
  OneAgent One;
  for (int n = 0; n < 50; ++n)
    firstPartSeen(One.Agent.FirstPart, Millis(900), Millis(0));
  handlePlaceRequest(One.Agent, EntryA, wantedWithin("a", Millis(380), 0),
                     One.Now, One.Out);
  BOOST_TEST(One.given("a"));
}

BOOST_AUTO_TEST_CASE(InALastingShortageLateRequestsAreToldAtOnce) {
  // All places were taken for half a minute. Of 1,078 late requests that waited
  // for spare room 1,057 were refused after up to 3 s; they could have been
  // told at once.
  OneAgent One;
  BOOST_TEST(One.ask("a", Millis(100))->Given);
  BOOST_TEST(One.ask("b", Millis(100))->Given);
  const auto AskLate = [&](const std::string &Id) {
    return One.ask(Id, Millis(1000), 0, 1, EntryA, 0, true);
  };
  BOOST_TEST(!AskLate("late 1").has_value()); // There was room just now.
  One.Now += Millis(1001);
  expirePlaces(One.Agent, One.Now, One.Out);
  const auto Refused = AskLate("late 2");
  BOOST_REQUIRE(Refused);
  BOOST_TEST(!Refused->Given);
  One.done("a");
  BOOST_TEST(AskLate("late 3")->Given);
}

BOOST_AUTO_TEST_CASE(AWorkerHasThePlacesThatItIsListedWith) {
  // Workers of 15 slots were given two requests at a time: 16 places happened
  // to be the limit of a warm engine in the settings, so that the limit of a
  // cold one stayed in force.
  Settings Config;
  Config.Name = "10.0.0.1:9";
  Config.Platform = "store";
  Config.EngineUrl = "http://127.0.0.1:1";
  Config.WarmLimit = 16;
  Config.ColdLimit = 2;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
  AgentState Agent = makeAgent(Config, Incarnation{1}, Now);
  agentLinkOpened(Agent, EntryA, Now, Out);
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
  agentMessage(Agent, EntryA, Push, Now, Out);
  BOOST_TEST_REQUIRE(Agent.View.InForce.get(), Agent.View.LastRefusal);
  BOOST_TEST(Agent.Gate.Limit == 16U);
}

// Guards against a busy worker that is taken for one whose host stands still.
BOOST_AUTO_TEST_CASE(AFullAgentAnswersAPingAtOnce) {
  OneAgent One;
  One.limit(1);
  BOOST_TEST(One.ask("a", Millis(0))->Given);
  One.Agent.Fleet.Links[EntryA].State = LinkState::Ready;
  One.Out.clear();
  agentMessage(One.Agent, EntryA, Ping{3}, One.Now, One.Out);
  BOOST_REQUIRE(One.Out.size() == 1U);
  const auto &Sent = std::get<SendMessage>(One.Out.front());
  BOOST_TEST((Sent.Link == EntryA));
  BOOST_TEST(std::get<Pong>(Sent.Content).Sequence == 3U);
}

// Guards against a back end that gets more places than its own rate limit
// allows, however many entries ask for them.
BOOST_AUTO_TEST_CASE(PlacesKeepTheRateLimitOfTheBackEnd) {
  OneAgent One;
  One.limit(16);
  const TimePoint Begin = One.Now;
  handleRateNotice(One.Agent, {{}, {}, 2.7, 0}, One.Now, One.Out);
  uint32_t Given = 0;
  for (int n = 0; One.Now < Begin + Millis(4000); ++n, One.Now += Millis(20)) {
    const std::string Id = std::to_string(n);
    const auto Answer = One.ask(Id, Millis(500), 0, 1, n % 2 ? EntryA : EntryB);
    BOOST_REQUIRE(Answer.has_value()); // Nobody waits: others have room.
    if (!Answer->Given) {
      BOOST_CHECK(Answer->Why == ErrorKind::RateLimited);
      BOOST_TEST(Answer->RetryAfterMillis > 0U);
      continue;
    }
    ++Given;
    One.done(Id);
  }
  BOOST_TEST(Given >= 10U);
  BOOST_TEST(Given <= 13U);
}

// Guards against a cold back end that gets more places a second than it bears.
BOOST_AUTO_TEST_CASE(PlacesKeepTheRateOfAColdBackEnd) {
  OneAgent One;
  One.limit(16);
  One.Agent.ColdStartRate.PerSecond = 8;
  One.Agent.ColdUntil = One.Now + Millis(3000);
  const auto GivenInASecond = [&] {
    const TimePoint End = One.Now + Millis(1000);
    int Given = 0;
    for (; One.Now < End; One.Now += Millis(10)) {
      const std::string Id = std::to_string(One.Now.time_since_epoch().count());
      Given += One.ask(Id, Millis(500))->Given ? 1 : 0;
      One.done(Id);
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

// Guards against places that are given past the limit to those that waited
// before it was named.
BOOST_AUTO_TEST_CASE(WaitingPlacesKeepTheRateLimitToo) {
  OneAgent One;
  for (const char *Id : {"a", "b", "c", "d"})
    One.ask(Id, Millis(900));
  handleRateNotice(One.Agent, {{}, {}, 0.3, 0}, One.Now, One.Out);
  One.done("a");
  BOOST_TEST(One.given("c"));
  One.done("b");
  BOOST_TEST(!One.given("d"));
}

// Guards against tokens that are lost with requests that were never sent.
BOOST_AUTO_TEST_CASE(APlaceThatWasNotUsedCostsNothingOfTheRate) {
  OneAgent One;
  handleRateNotice(One.Agent, {{}, {}, 0.3, 0}, One.Now, One.Out);
  BOOST_TEST(One.ask("a", Millis(500))->Given);
  One.done("a", false, false);
  BOOST_TEST(One.ask("b", Millis(500))->Given);
  One.done("b", false, true);
  BOOST_TEST(!One.ask("c", Millis(500))->Given);
}

// Guards against a limit that is lifted by an answer which was on its way when
// it was named.
BOOST_AUTO_TEST_CASE(OnlyAnAnswerToALaterRequestLiftsTheRateLimit) {
  OneAgent One;
  BOOST_TEST(One.ask("early", Millis(500))->Given);
  One.Now += Millis(100);
  handleRateNotice(One.Agent, {{}, {}, 1.8, 0}, One.Now, One.Out);
  One.Now += Millis(900);
  BOOST_TEST(One.ask("late", Millis(500))->Given);
  handleRateNotice(One.Agent, {{"early"}, {}, {}, 1000}, One.Now, One.Out);
  BOOST_TEST(One.Agent.Rate.PerSecond.has_value());
  handleRateNotice(One.Agent, {{"unknown"}, {}, {}, 0}, One.Now, One.Out);
  BOOST_TEST(One.Agent.Rate.PerSecond.has_value());
  handleRateNotice(One.Agent, {{"late"}, {}, {}, 10}, One.Now, One.Out);
  BOOST_TEST(!One.Agent.Rate.PerSecond.has_value());
}

// Guards against a limit that holds for the next run of its back end, or that
// ends with a report that could not be read.
BOOST_AUTO_TEST_CASE(ARateLimitEndsWithTheRunOfItsBackEnd) {
  OneAgent One;
  const auto Report = [&](const char *Run) {
    EngineState State;
    State.Run = Run;
    State.Weights.Value = "m@1";
    engineStateRead(One.Agent, {State, {}}, 0, One.Now, One.Out);
  };
  Report("run 1");
  handleRateNotice(One.Agent, {{}, {}, 1.8, 0}, One.Now, One.Out);
  engineStateRead(One.Agent, {std::nullopt, {ErrorKind::Unreachable, "", {}}},
                  0, One.Now, One.Out);
  Report("run 1");
  BOOST_TEST(One.Agent.Rate.PerSecond.has_value());
  Report("run 2");
  BOOST_TEST(!One.Agent.Rate.PerSecond.has_value());
}

// Guards against a limit that nobody lifts where reports name it: without
// requests only they tell of its end.
BOOST_AUTO_TEST_CASE(ReportsThatNamedARateLimitLiftIt) {
  OneAgent One;
  const auto Report = [&](std::optional<double> PerSecond) {
    EngineState State;
    State.Run = "run 1";
    State.PerSecond = PerSecond;
    One.Now += Millis(200);
    engineStateRead(One.Agent, {State, {}}, 0, One.Now, One.Out);
    return One.Agent.Rate.PerSecond;
  };
  Report({});
  handleRateNotice(One.Agent, {{}, {}, 1.8, 0}, One.Now, One.Out);
  BOOST_TEST(Report({}).has_value()); // Reports name none at all.
  BOOST_TEST(Report(1.8).has_value());
  BOOST_TEST(!Report({}).has_value());
}
