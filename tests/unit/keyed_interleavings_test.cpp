/** @file keyed_interleavings_test.cpp Faults between all steps of a booking.
 *
 * A caller books a slot through one entry. Between two steps of the booking a
 * process dies, sleeps or loses a connection, or the list of workers changes.
 * The caller repeats its key through all entries. No key may run twice in the
 * services' records together, and "not run" must be true.
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

/** How far the first try has come when the fault strikes. */
enum class When { BeforeSend, StartOnWire, Queued, Running, EndOnWire, Done };
constexpr std::array WhenNames = {"before send", "start on wire", "queued",
                                  "running",     "end on wire",   "done"};

/** What goes wrong. */
enum class Fault {
  None,
  HomeRestarts,
  HomeGoneAWhile,
  HomeSleeps,
  HomeSleepsLong,
  WireCut,
  WireSilent,
  EntryDies,
  ListGrows,
  ListLosesHome
};
constexpr std::array FaultNames = {
    "none",        "home restarts",  "home gone a while", "home sleeps",
    "sleeps long", "wire cut",       "wire silent",       "entry dies",
    "list grows",  "list loses home"};

constexpr size_t Tries = 14;

/** One booking under one fault. */
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
    // Past the horizon, so that calls without a token are taken.
    All.pass(milliseconds(30000));
    if (WithToken)
      Token = makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
    Key = movingKey();
    Call One;
    One.Asked.Class.Value = "bookings";
    One.Asked.Tenant.Value = "huts";
    One.Asked.Key.Value = Key;
    One.Asked.Token = Token;
    Home = homeOfCall(All.Entries.at("e0"), One).Value;
    All.SlowServices = {"s0", "s1", "s2", "s9"};
  }

  /** Finds a key whose home by list moves when the list grows. */
  std::string movingKey() const {
    Document Doc = *All.Entries.at("e0").View.InForce;
    Worker More = Doc.Workers.front();
    More.Name.Value = "s9";
    Doc.Workers.push_back(More);
    for (int n = 0;; ++n) {
      const std::string Name = "k" + std::to_string(n);
      const KeyName Asked{ClassName{"bookings"}, TenantName{"huts"},
                          IdempotencyKey{Name}};
      if (homeByList(Doc, Asked) == More.Name)
        return Name;
    }
  }

  /** Lets the services answer what their agents still wait for. */
  void answerAll() {
    for (size_t n = 0; n < All.Records.size(); ++n) {
      const auto [Agent, Call] = All.Records[n];
      const bool Here = !All.Dead.contains(Agent) &&
                        !All.Paused.contains(Agent) &&
                        All.Agents.at(Agent).Attempts.contains(Call.Attempt);
      if (Here && Answered.insert(Call.Attempt).second)
        All.answer(Agent, Call.Attempt);
    }
  }

  void strike(Fault What) {
    switch (What) {
    case Fault::None:
      return;
    case Fault::HomeRestarts:
      All.kill(Home);
      All.startAgent(Home, false);
      return;
    case Fault::HomeGoneAWhile:
      All.kill(Home);
      return;
    case Fault::HomeSleeps:
    case Fault::HomeSleepsLong:
      All.Paused.insert(Home);
      return;
    case Fault::WireCut:
      All.cut(All.wire("e0", Home));
      return;
    case Fault::WireSilent:
      All.wire("e0", Home).Held = true;
      return;
    case Fault::EntryDies:
      All.kill("e0");
      return;
    case Fault::ListGrows:
      All.startAgent("s9", false);
      All.Doc["workers"].push_back({{"name", "s9"},
                                    {"domain", "d"},
                                    {"agent", All.addressOf("s9")},
                                    {"service", "slots"}});
      break;
    case Fault::ListLosesHome:
      std::erase_if(All.Doc["workers"].get_ref<Json::array_t &>(),
                    [&](const Json &Row) { return Row["name"] == Home; });
      break;
    }
    All.Doc["version"] = 3;
    All.publish("e1"); // The other entry learns it when the fault heals.
  }

  void heal(Fault What) {
    if (What == Fault::HomeGoneAWhile && All.Dead.contains(Home))
      All.startAgent(Home, false);
    if (What == Fault::ListGrows || What == Fault::ListLosesHome)
      if (!All.Dead.contains("e0"))
        All.publish();
    All.Paused.clear();
  }

  /** The first try, with the fault at its place. */
  void first(When Place, Fault What) {
    if (Place == When::BeforeSend)
      strike(What);
    if (Place == When::StartOnWire)
      All.wire("e0", Home).Held = true;
    if (Place == When::Queued)
      All.Agents.at(Home).Gate.Limit = 0;
    if (!All.Dead.contains("e0"))
      All.ask("e0", "bookings", Key, Token);
    if (Place == When::StartOnWire)
      release(What);
    if (Place == When::Queued || Place == When::Running)
      strike(What);
    All.Agents.at(Home).Gate.Limit = 16;
    if (Place == When::EndOnWire)
      All.wire("e0", Home).Held = true;
    if (Place == When::EndOnWire || Place == When::Done)
      answerAll();
    if (Place == When::EndOnWire)
      release(What);
    if (Place == When::Done)
      strike(What);
  }

  /** Strikes while the wire holds a message that then comes late. */
  void release(Fault What) {
    auto &Wire = All.wire("e0", Home);
    strike(What);
    Wire.Held = What == Fault::WireSilent;
    All.pump();
  }

  /** Repeats as docs/CALLERS.md asks for; true when an answer came. */
  bool repeat(Fault What) {
    for (size_t n = 0; n < Tries; ++n) {
      if (n == (What == Fault::HomeSleepsLong ? Tries / 2 : 2))
        heal(What);
      const std::string Entry =
          All.Dead.contains("e0") || n % 2 == 0 ? "e1" : "e0";
      const uint64_t Id = All.ask(Entry, "bookings", Key, Token);
      answerAll();
      All.pass(milliseconds(700));
      answerAll();
      if (!All.Finals.contains(Id))
        continue;
      const auto &End = All.Finals.at(Id);
      if (End.Whole)
        return true;
      if (End.Executed == Ran::No)
        BOOST_TEST(All.Records.empty(), "told not run, but it ran");
      if (!End.Token.empty())
        Token = End.Token;
    }
    All.pass(milliseconds(20000));
    answerAll();
    return false;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(NoKeyRunsTwiceWhateverFailsBetweenTwoSteps) {
  for (const bool WithToken : {true, false}) {
    size_t Count = 0;
    size_t Answers = 0;
    for (size_t w = 0; w < WhenNames.size(); ++w)
      for (size_t f = 0; f < FaultNames.size(); ++f)
        BOOST_TEST_CONTEXT(WhenNames.at(w)
                           << ", " << FaultNames.at(f)
                           << (WithToken ? ", token" : ", list")) {
          Booking One(WithToken);
          One.first(static_cast<When>(w), static_cast<Fault>(f));
          ++Count;
          const bool Answer = One.repeat(static_cast<Fault>(f));
          Answers += Answer ? 1 : 0;
          if (!Answer)
            BOOST_TEST_MESSAGE("unanswered: " << WhenNames.at(w) << ", "
                                              << FaultNames.at(f));
          BOOST_TEST(One.All.Records.size() <= 1U);
        }
    BOOST_TEST_MESSAGE((WithToken ? "token: " : "list: ")
                       << Answers << " of " << Count << " answered");
  }
}

// A token is cut or changed on its way: it must not name another home.
BOOST_AUTO_TEST_CASE(DamagedTokensAreRefused) {
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

// A home sleeps through the time in which its records expire. The token of
// such a record must have ended with it, or the key would run again.
BOOST_AUTO_TEST_CASE(TokensEndNoLaterThanRecords) {
  for (const int Minutes : {1, 9, 11, 19, 21, 29, 31, 45, 300}) {
    Mesh All(1, 0, 1);
    const std::string Token =
        makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
    All.ask("e0", "bookings", "k", Token);
    BOOST_TEST(All.Records.size() == 1U);
    All.Now += std::chrono::minutes(Minutes);
    All.pass(milliseconds(3000));
    All.ask("e0", "bookings", "k", Token);
    All.pass(milliseconds(3000));
    BOOST_TEST(All.Records.size() == 1U);
  }
}

// A key comes again with another body, while the first runs and after.
BOOST_AUTO_TEST_CASE(OtherBodyUnderOneKeyIsAConflict) {
  Mesh All(1, 0, 1);
  All.SlowServices = {"s0"};
  const std::string Token =
      makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  All.ask("e0", "bookings", "k", Token, "1");
  const uint64_t Early = All.ask("e0", "bookings", "k", Token, "2");
  All.answer("s0", All.Records.at(0).second.Attempt);
  const uint64_t Late = All.ask("e0", "bookings", "k", Token, "2");
  for (const uint64_t Id : {Early, Late})
    BOOST_TEST((All.Finals.at(Id).Kind == ErrorKind::KeyConflict));
  BOOST_TEST(All.Records.size() == 1U);
}

// More answers come than a home may hold: the oldest is lost, never its key.
BOOST_AUTO_TEST_CASE(MemoryOfAnswersIsBounded) {
  const TimePoint Now{std::chrono::hours(1)};
  KeyBook Book = makeKeyBook(Now);
  Document Doc;
  const std::string Large(size_t{1} << 20U, 'x');
  for (size_t n = 0; n < 40; ++n) {
    const KeyName Key{ClassName{"c"}, TenantName{"t"},
                      IdempotencyKey{std::to_string(n)}};
    openKey(Book, Doc, {Key, "", Digest{"b"}}, AttemptId{"a"}, Now);
    closeKey(Book, Key, ServiceAnswer{200, Large});
  }
  BOOST_TEST(Book.AnswerBytes <= MaxAnswerBytes);
  BOOST_TEST(Book.Records.size() == 40U);
  expireKeys(Book, Incarnation{1}, Now + std::chrono::hours(1));
  BOOST_TEST(Book.Records.empty());
  BOOST_TEST(Book.AnswerBytes == 0U);
}

// The only home of a key has no room for it. The caller is told "not run" and
// gets another token, whose text is that of the old one: the key is refused as
// "refused before" for as long as the token lasts.
BOOST_AUTO_TEST_CASE(ATokenGivenForARefusedKeyIsAnotherOne) {
  Mesh All{1, 0, 1};
  All.SlowServices = {"s0"};
  AgentState &Home = All.Agents.at("s0");
  Home.Gate.Limits = {1, 1, 0, 1};
  Home.Gate.Limit = 1;
  const std::string Token =
      makeHomeToken(All.Entries.at("e0"), ClassName{"bookings"});
  All.ask("e0", "bookings", "first", Token);
  BOOST_REQUIRE(All.Records.size() == 1U);
  const uint64_t Refused = All.ask("e0", "bookings", "k", Token);
  BOOST_TEST((All.Finals[Refused].Executed == Ran::No));
  BOOST_TEST(All.Finals[Refused].Token != Token);
  All.SlowServices.clear();
  All.answer("s0", All.Records.front().second.Attempt);
  const uint64_t Again =
      All.ask("e0", "bookings", "k", All.Finals[Refused].Token);
  BOOST_TEST(All.Finals[Again].Whole);
  BOOST_TEST(All.Records.size() == 2U);
}
