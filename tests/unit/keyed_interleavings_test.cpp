/** @file keyed_interleavings_test.cpp Faults at every stage of a keyed call.
 *
 * A keyed call is sent through one entry. At each stage of it a process
 * restarts or is paused, a connection fails, or the list of workers changes.
 * The caller then repeats the key through all entries. All services together
 * must record at most one run of the key, and a call reported as not run must
 * not have run.
 */
// Labels: promise-5 promise-6

#include "attempts/home_token_func.h"
#include "attempts/idempotency_func.h"
#include "attempts/keyed_call_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace jacinthpond;
using jacinthpond::mesh::Json;
using jacinthpond::mesh::Mesh;
using std::chrono::milliseconds;

namespace {

/** Stage that the first call has reached when the fault is injected. */
enum class Stage { BeforeSend, StartOnWire, Queued, Running, EndOnWire, Done };
constexpr std::array StageNames = {"before send", "start on wire", "queued",
                                   "running",     "end on wire",   "done"};

/** Fault to inject. */
enum class FaultKind {
  None,
  HomeRestarts,
  HomeStartsLate,
  HomePausedShort,
  HomePausedLong,
  WireCut,
  WireSilent,
  EntryDies,
  WorkerAdded,
  HomeRemoved
};
constexpr std::array FaultNames = {
    "none",        "home restarts",    "home starts late",
    "home paused", "home paused long", "wire cut",
    "wire silent", "entry dies",       "worker added",
    "home removed"};

/** How often the caller repeats its key. */
constexpr size_t MaxRepeats = 14;

/** One keyed call under one fault. */
struct Booking {
  Mesh All{2, 0, 3};
  std::string Home;
  std::string Key;
  std::string Token;
  std::set<AttemptId> Answered;

  explicit Booking(bool WithToken) {
    All.Doc["retry_horizon_ms"] = 10000;
    All.Doc["version"] = 2;
    All.publish();
    // Beyond the retry horizon, so that calls without a token are run.
    All.advanceTime(milliseconds(30000));
    if (WithToken)
      Token = makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
    Key = findMovingKey();
    Call One;
    One.Received.Class.Value = "bookings";
    One.Received.Workspace.Value = "huts";
    One.Received.Key.Value = Key;
    One.Received.Token = Token;
    Home = homeOfCall(All.Entries.at("e0"), One).Value;
    All.SlowServices = {"s0", "s1", "s2", "s9"};
  }

  /** Finds a key that moves to worker s9 when s9 is added to the document. */
  std::string findMovingKey() const {
    Document Doc = *All.Entries.at("e0").View.InForce;
    Worker More = Doc.Workers.front();
    More.Name.Value = "s9";
    Doc.Workers.push_back(More);
    for (int n = 0;; ++n) {
      const std::string Name = "k" + std::to_string(n);
      const KeyName MovedKey{ClassName{"bookings"}, WorkspaceName{"huts"},
                             IdempotencyKey{Name}};
      if (homeFromDocument(Doc, MovedKey) == More.Name)
        return Name;
    }
  }

  /** Makes the services answer all calls that live agents wait for. */
  void answerAll() {
    for (size_t n = 0; n < All.ServiceCalls.size(); ++n) {
      const auto [Agent, Call] = All.ServiceCalls[n];
      const bool Here = !All.Dead.contains(Agent) &&
                        !All.Paused.contains(Agent) &&
                        All.Agents.at(Agent).Attempts.contains(Call.Attempt);
      if (Here && Answered.insert(Call.Attempt).second)
        All.answerServiceCall(Agent, Call.Attempt);
    }
  }

  /** Injects a fault. */
  void injectFault(FaultKind Injected) {
    switch (Injected) {
    case FaultKind::None:
      return;
    case FaultKind::HomeRestarts:
      All.kill(Home);
      All.startAgent(Home, false);
      return;
    case FaultKind::HomeStartsLate:
      All.kill(Home);
      return;
    case FaultKind::HomePausedShort:
    case FaultKind::HomePausedLong:
      All.Paused.insert(Home);
      return;
    case FaultKind::WireCut:
      All.cut(All.findWire("e0", Home));
      return;
    case FaultKind::WireSilent:
      All.findWire("e0", Home).Held = true;
      return;
    case FaultKind::EntryDies:
      All.kill("e0");
      return;
    case FaultKind::WorkerAdded:
      All.startAgent("s9", false);
      All.Doc["workers"].push_back({{"name", "s9"},
                                    {"domain", "d"},
                                    {"agent", All.addressOf("s9")},
                                    {"service", "slots"}});
      break;
    case FaultKind::HomeRemoved:
      std::erase_if(All.Doc["workers"].get_ref<Json::array_t &>(),
                    [&](const Json &Row) { return Row["name"] == Home; });
      break;
    }
    All.Doc["version"] = 3;
    All.publish("e1"); // The other entry gets it when the fault ends.
  }

  /** Ends a fault that lasts. */
  void endFault(FaultKind Injected) {
    if (Injected == FaultKind::HomeStartsLate && All.Dead.contains(Home))
      All.startAgent(Home, false);
    if (Injected == FaultKind::WorkerAdded ||
        Injected == FaultKind::HomeRemoved)
      if (!All.Dead.contains("e0"))
        All.publish();
    All.Paused.clear();
  }

  /** Sends the first call and injects the fault at the given stage. */
  void sendFirstTry(Stage FaultStage, FaultKind Injected) {
    if (FaultStage == Stage::BeforeSend)
      injectFault(Injected);
    if (FaultStage == Stage::StartOnWire)
      All.findWire("e0", Home).Held = true;
    if (FaultStage == Stage::Queued)
      All.Agents.at(Home).Gate.Limit = 0;
    if (!All.Dead.contains("e0"))
      All.sendRequest("e0", "bookings", Key, Token);
    if (FaultStage == Stage::StartOnWire)
      injectFaultThenDeliver(Injected);
    if (FaultStage == Stage::Queued || FaultStage == Stage::Running)
      injectFault(Injected);
    All.Agents.at(Home).Gate.Limit = 16;
    if (FaultStage == Stage::EndOnWire)
      All.findWire("e0", Home).Held = true;
    if (FaultStage == Stage::EndOnWire || FaultStage == Stage::Done)
      answerAll();
    if (FaultStage == Stage::EndOnWire)
      injectFaultThenDeliver(Injected);
    if (FaultStage == Stage::Done)
      injectFault(Injected);
  }

  /** Injects the fault while the wire holds a message, then delivers it. */
  void injectFaultThenDeliver(FaultKind Injected) {
    auto &Wire = All.findWire("e0", Home);
    injectFault(Injected);
    Wire.Held = Injected == FaultKind::WireSilent;
    All.deliverAll();
  }

  /** Repeats the key as docs/CALLERS.md asks for; true when an answer came. */
  bool retryUntilAnswered(FaultKind Injected) {
    for (size_t n = 0; n < MaxRepeats; ++n) {
      if (n == (Injected == FaultKind::HomePausedLong ? MaxRepeats / 2 : 2))
        endFault(Injected);
      const std::string Entry =
          All.Dead.contains("e0") || n % 2 == 0 ? "e1" : "e0";
      const uint64_t Id = All.sendRequest(Entry, "bookings", Key, Token);
      answerAll();
      All.advanceTime(milliseconds(700));
      answerAll();
      if (!All.Finals.contains(Id))
        continue;
      const auto &End = All.Finals.at(Id);
      if (End.Whole)
        return true;
      if (End.Executed == Ran::No)
        BOOST_TEST(All.ServiceCalls.empty(), "reported as not run, but it ran");
      if (!End.Token.empty())
        Token = End.Token;
    }
    All.advanceTime(milliseconds(20000));
    answerAll();
    return false;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(NoKeyRunsTwiceAfterAFaultAtAnyStep) {
  for (const bool WithToken : {true, false}) {
    size_t Count = 0;
    size_t Answers = 0;
    for (size_t w = 0; w < StageNames.size(); ++w)
      for (size_t f = 0; f < FaultNames.size(); ++f)
        BOOST_TEST_CONTEXT(StageNames.at(w)
                           << ", " << FaultNames.at(f)
                           << (WithToken ? ", token" : ", no token")) {
          Booking One(WithToken);
          One.sendFirstTry(static_cast<Stage>(w), static_cast<FaultKind>(f));
          ++Count;
          const bool Answer = One.retryUntilAnswered(static_cast<FaultKind>(f));
          Answers += Answer ? 1 : 0;
          if (!Answer)
            BOOST_TEST_MESSAGE("unanswered: " << StageNames.at(w) << ", "
                                              << FaultNames.at(f));
          BOOST_TEST(One.All.ServiceCalls.size() <= 1U);
        }
    BOOST_TEST_MESSAGE((WithToken ? "token: " : "no token: ")
                       << Answers << " of " << Count << " answered");
  }
}

// A token that is truncated or altered in transit must be rejected, or it might
// name another home.
BOOST_AUTO_TEST_CASE(DamagedTokensAreRejected) {
  HomeToken Token;
  Token.Class.Value = "bookings";
  Token.Homes = {{HostName{"s0"}, Incarnation{7}, 1},
                 {HostName{"s,1=\"\xff"}, Incarnation{~uint64_t{0}}, 2}};
  const std::string Text = writeToken(Token);
  const auto Whole = outcomeOf([&] { return readToken(Text); });
  BOOST_REQUIRE(Whole.Value);
  BOOST_TEST(Whole.Value->Homes.at(1).Name.Value == Token.Homes[1].Name.Value);
  BOOST_TEST(Whole.Value->Homes.at(1).Run.Value == ~uint64_t{0});
  for (size_t n = 0; n < Text.size(); ++n) {
    std::string Changed = Text;
    Changed[n] = Changed[n] == '0' ? '1' : '0';
    const std::string Cut = Text.substr(0, n);
    BOOST_TEST(!outcomeOf([&] { return readToken(Changed); }).Value);
    BOOST_TEST(!outcomeOf([&] { return readToken(Cut); }).Value);
  }
}

// A home is paused while its records expire. The token of an expired record
// must be invalid too, or the key would run again.
BOOST_AUTO_TEST_CASE(TokensExpireNoLaterThanRecords) {
  for (const int Minutes : {1, 9, 11, 19, 21, 29, 31, 45, 300}) {
    Mesh All(1, 0, 1);
    const std::string Token =
        makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
    All.sendRequest("e0", "bookings", "k", Token);
    BOOST_TEST(All.ServiceCalls.size() == 1U);
    All.Now += std::chrono::minutes(Minutes);
    All.advanceTime(milliseconds(3000));
    All.sendRequest("e0", "bookings", "k", Token);
    All.advanceTime(milliseconds(3000));
    BOOST_TEST(All.ServiceCalls.size() == 1U);
  }
}

// A key comes again with another body, both while the first call runs and
// after.
BOOST_AUTO_TEST_CASE(SameKeyWithAnotherBodyIsAConflict) {
  Mesh All(1, 0, 1);
  All.SlowServices = {"s0"};
  const std::string Token =
      makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  All.sendRequest("e0", "bookings", "k", Token, "1");
  const uint64_t Early = All.sendRequest("e0", "bookings", "k", Token, "2");
  All.answerServiceCall("s0", All.ServiceCalls.at(0).second.Attempt);
  const uint64_t Late = All.sendRequest("e0", "bookings", "k", Token, "2");
  for (const uint64_t Id : {Early, Late})
    BOOST_TEST((All.Finals.at(Id).Kind == ErrorKind::KeyConflict));
  BOOST_TEST(All.ServiceCalls.size() == 1U);
}

// More answers come than a home may store: the oldest answers are dropped, but
// the records of their keys stay.
BOOST_AUTO_TEST_CASE(StoredAnswersAreBounded) {
  const TimePoint Now{std::chrono::hours(1)};
  KeyStore Store = makeKeyStore(Now);
  Document Doc;
  const std::string Large(size_t{1} << 20U, 'x');
  for (size_t n = 0; n < 40; ++n) {
    const KeyName Key{ClassName{"c"}, WorkspaceName{"t"},
                      IdempotencyKey{std::to_string(n)}};
    addKeyRecord(Store, Doc, {Key, "", Digest{"b"}}, AttemptId{"a"}, Now);
    completeKey(Store, Key, ServiceAnswer{200, Large});
  }
  BOOST_TEST(Store.AnswerBytes <= MaxAnswerBytes);
  BOOST_TEST(Store.Records.size() == 40U);
  expireKeys(Store, Incarnation{1}, Now + std::chrono::hours(1));
  BOOST_TEST(Store.Records.empty());
  BOOST_TEST(Store.AnswerBytes == 0U);
}

// The only home of a key refuses it for lack of capacity, and the caller gets
// another token. If that had the same text as the old one, the home would
// refuse the key as "refused before" until the token expires.
BOOST_AUTO_TEST_CASE(ARefusedKeyGetsADifferentToken) {
  Mesh All{1, 0, 1};
  All.SlowServices = {"s0"};
  AgentState &Home = All.Agents.at("s0");
  Home.Gate.Limits = {1, 1, 0, 1};
  Home.Gate.Limit = 1;
  const std::string Token =
      makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  All.sendRequest("e0", "bookings", "first", Token);
  BOOST_REQUIRE(All.ServiceCalls.size() == 1U);
  const uint64_t Refused = All.sendRequest("e0", "bookings", "k", Token);
  BOOST_TEST((All.Finals[Refused].Executed == Ran::No));
  BOOST_TEST(All.Finals[Refused].Token != Token);
  All.SlowServices.clear();
  All.answerServiceCall("s0", All.ServiceCalls.front().second.Attempt);
  const uint64_t Again =
      All.sendRequest("e0", "bookings", "k", All.Finals[Refused].Token);
  BOOST_TEST(All.Finals[Again].Whole);
  BOOST_TEST(All.ServiceCalls.size() == 2U);
}
