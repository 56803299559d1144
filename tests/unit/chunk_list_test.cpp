/** @file chunk_list_test.cpp Tests of how agents obtain chunk lists. */
// Labels: weights

#include "attempts/agent_func.h"
#include "attempts/chunk_list_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/transfer_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

namespace {

constexpr LinkId SameDomainPeer{1};
constexpr LinkId OtherDomainPeer{2};

/** An agent of domain d0 in a fleet of nine workers in three domains. */
struct AgentFixture {
  /** @param Rank Its rank among the workers of its domain. */
  explicit AgentFixture(size_t Rank) {
    auto Fleet = std::make_shared<Document>();
    for (int n = 0; n < 9; ++n) {
      Worker Host;
      Host.Name.Value = "w" + std::to_string(n);
      Host.Domain.Value = "d" + std::to_string(n % 3);
      Host.Agent.Value = Host.Name.Value + ":1";
      Host.Model.Value = "m";
      Fleet->Workers.push_back(Host);
    }
    const ChunkPlan Plan = makeChunkPlan(*Fleet, HostName{"w0"});
    const auto Self =
        std::ranges::find_if(Plan.Hosts, [&](const PlanHost &Host) {
          return Host.Rank == Rank && Host.Domain.Value == "d0";
        });
    Settings Config;
    Config.Name = Self->Name.Value;
    Config.Domain = "d0";
    Config.Platform = "store";
    Config.EngineUrl = "http://127.0.0.1:1";
    Agent = makeAgent(Config, Incarnation{1}, Now);
    Agent.View.InForce = Fleet;
    updateTransferPlan(Agent.Transfer, Agent.Weights, *Fleet, Self->Name, Now);
    addChunkPeer(Agent.Transfer, SameDomainPeer, HostName{"near"}, true);
    addChunkPeer(Agent.Transfer, OtherDomainPeer, HostName{"far"}, false);
  }

  /** Lets the agent obtain the chunk list of NamedVersion. */
  void announceVersion() { obtainChunkList(Agent, NamedVersion, Now, Out); }

  /** Names NamedVersion in answers of the origin. */
  ChunkRef namedVersion() const {
    return {
        NamedVersion.Name, NamedVersion.Version, 0, {}, NamedVersion.Origin};
  }

  /** Says whether the effects have one of a kind. */
  template <typename Kind> bool has() const {
    return std::ranges::any_of(Out, [](const Effect &One) {
      return std::holds_alternative<Kind>(One);
    });
  }

  /** Says whether the effects request the list from the origin. */
  bool hasRequestedList() const { return has<ReadChunkList>(); }

  /** Says whether the effects cancel the fetches of chunks. */
  bool hasCancelledFetches() const { return has<CancelOriginFetches>(); }

  /** Says whether the effects fetch a chunk from the origin. */
  bool hasFetched() const { return has<FetchFromOrigin>(); }

  /** Links over which the list was sent. */
  std::vector<LinkId> notifiedLinks() const {
    std::vector<LinkId> Links;
    for (const Effect &One : Out)
      if (const auto *Sent = std::get_if<SendMessage>(&One))
        if (std::holds_alternative<ChunkListNotice>(Sent->Content))
          Links.push_back(Sent->Link);
    return Links;
  }

  /** Says whether the agent has selected NamedVersion for loading. */
  bool hasSelectedVersion() const {
    return Agent.Weights.Wanted.Set == NamedVersion.Set;
  }

  AgentState Agent;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
  ModelVersion NamedVersion{{"m"}, "2", {}, 0, 0, {"m@2"}, {"10.0.0.1:1"}};
  ChunkList List{{{"c1"}, {"c2"}}, 100};
};

} // namespace

// Guards against all agents of a large fleet reading the list. At ninety hosts
// that took a third of the origin's bandwidth. When the origin failed 2.5 s
// after the version was named, one chunk of 64 had not left it, and no request
// was served for 6 s.
// The readers of a domain may be answered late: on 87 hosts the origin was busy
// with chunks for two domains, and the third had the list 2.3 s later.
BOOST_AUTO_TEST_CASE(ReadersConfirmTheListAndSendItToAllDomains) {
  AgentFixture Test(0);
  Test.announceVersion();
  BOOST_TEST(Test.hasRequestedList());
  handleListRead(Test.Agent, Test.namedVersion(), {Test.List, {}}, Test.Now,
                 Test.Out);
  BOOST_TEST(!Test.hasSelectedVersion()); // A second read has to confirm it.
  Test.Out.clear();
  BOOST_TEST(handleListRead(Test.Agent, Test.namedVersion(), {Test.List, {}},
                            Test.Now, Test.Out));
  BOOST_TEST(Test.hasSelectedVersion());
  BOOST_TEST((Test.notifiedLinks() ==
              std::vector<LinkId>{SameDomainPeer, OtherDomainPeer}));
}

BOOST_AUTO_TEST_CASE(OtherAgentsAcceptTheListFromAPeer) {
  AgentFixture Test(2);
  Test.announceVersion();
  BOOST_TEST(!Test.hasRequestedList());
  const ChunkListNotice Told{{"m"}, "2", 100, Test.List.Chunks};
  BOOST_TEST(
      !handleListNotice(Test.Agent, LinkId{9}, Told, Test.Now, Test.Out));
  BOOST_TEST(
      handleListNotice(Test.Agent, SameDomainPeer, Told, Test.Now, Test.Out));
  BOOST_TEST(Test.hasSelectedVersion());
  BOOST_TEST((Test.notifiedLinks() == std::vector<LinkId>{SameDomainPeer}));
  BOOST_TEST((Test.Agent.Weights.Wanted.Chunks == Test.List.Chunks));
  requestMissingList(Test.Agent, Test.Now + Millis(1000), Test.Out);
  BOOST_TEST(!Test.hasRequestedList());
}

BOOST_AUTO_TEST_CASE(ListThatArrivesBeforeTheDocumentIsKept) {
  AgentFixture Test(2);
  const ChunkListNotice Told{{"m"}, "2", 100, Test.List.Chunks};
  BOOST_TEST(
      !handleListNotice(Test.Agent, SameDomainPeer, Told, Test.Now, Test.Out));
  Test.announceVersion();
  BOOST_TEST(Test.hasSelectedVersion());
  BOOST_TEST(!Test.hasRequestedList());
}

BOOST_AUTO_TEST_CASE(AgentWithoutAListFromAPeerReadsIt) {
  AgentFixture Test(2);
  Test.announceVersion();
  requestMissingList(Test.Agent, Test.Now + Millis(399), Test.Out);
  BOOST_TEST(!Test.hasRequestedList());
  requestMissingList(Test.Agent, Test.Now + Millis(400), Test.Out);
  BOOST_TEST(Test.hasRequestedList());
}

// A version is named a second after another one. The origin still sent the
// chunks of the first, so that the list of the second came 0.8 s later.
BOOST_AUTO_TEST_CASE(ANamedVersionCancelsFetchesOfTheFormerOne) {
  AgentFixture Test(0);
  Test.announceVersion();
  for (int n = 0; n < 2; ++n)
    handleListRead(Test.Agent, Test.namedVersion(), {Test.List, {}}, Test.Now,
                   Test.Out);
  Test.Agent.Transfer.OriginRequests = 1;
  Test.NamedVersion.Version = "3";
  Test.NamedVersion.Set.Value = "m@3";
  Test.Out.clear();
  Test.announceVersion();
  BOOST_TEST(Test.hasCancelledFetches());
  BOOST_TEST(Test.hasRequestedList());
  // Chunks of the former version are fetched on if no list comes.
  const auto Fetches = [&](Millis Later) {
    Test.Agent.Transfer.OriginRequests = 0;
    for (ChunkProgress &One : Test.Agent.Transfer.Chunks)
      One.Requested = false;
    Test.Out.clear();
    advanceTransfer(Test.Agent.Transfer, Test.Agent.Weights, Test.Now + Later,
                    Test.Out);
    return Test.hasFetched();
  };
  BOOST_TEST(!Fetches(Millis(1900)));
  BOOST_TEST(Fetches(Millis(20000)));
}

// The origin was down when a version was named. When it was back, it sent the
// chunks of the former version and, to eighty agents, the list; the first
// worker had the new version nine seconds later.
BOOST_AUTO_TEST_CASE(AnOriginThatIsBackSendsTheListFirst) {
  AgentFixture Reader(0);
  AgentFixture Other(2);
  const Outcome<ChunkList> Failed{{}, {ErrorKind::Unreachable, "", {}}};
  for (AgentFixture *One : {&Reader, &Other}) {
    One->announceVersion();
    handleListRead(One->Agent, One->namedVersion(), Failed, One->Now, One->Out);
    BOOST_TEST((One->Agent.Transfer.OriginPausedUntil > One->Now));
    One->Out.clear();
    requestMissingList(One->Agent, One->Now + Millis(400), One->Out);
  }
  BOOST_TEST(Reader.hasRequestedList());
  BOOST_TEST(!Other.hasRequestedList());
  requestMissingList(Other.Agent, Other.Now + Millis(1500), Other.Out);
  BOOST_TEST(Other.hasRequestedList());
}

namespace {

/** Counts the reads of a list in 20 s at an origin that answers at once.
 * @param Answer Gives the answer to the n-th read. */
template <typename Function>
size_t readsOfList(AgentFixture &Test, Function Answer) {
  Test.announceVersion();
  size_t Reads = 0;
  for (size_t n = 0; n < 2000; ++n, Test.Now += Millis(10)) {
    requestMissingList(Test.Agent, Test.Now, Test.Out);
    if (!Test.hasRequestedList())
      continue;
    Test.Out.clear();
    handleListRead(Test.Agent, Test.namedVersion(), Answer(++Reads), Test.Now,
                   Test.Out);
  }
  return Reads;
}

} // namespace

// Guards against an origin whose link is filled with lists that are never
// accepted.
BOOST_AUTO_TEST_CASE(ListsThatKeepDifferingAreReadEverMoreSeldom) {
  AgentFixture Test(0);
  const size_t Reads = readsOfList(Test, [&](size_t n) {
    Test.List.ChunkBytes = 100 + n;
    return Outcome<ChunkList>{Test.List, {}};
  });
  BOOST_TEST(Reads >= 5U);
  BOOST_TEST(Reads <= 12U);
}

// Guards against the same where no list is valid.
BOOST_AUTO_TEST_CASE(InvalidListsAreReadEverMoreSeldom) {
  AgentFixture Test(0);
  const size_t Reads = readsOfList(Test, [](size_t) {
    return Outcome<ChunkList>{std::nullopt, {ErrorKind::Malformed, "", {}}};
  });
  BOOST_TEST(Reads >= 5U);
  BOOST_TEST(Reads <= 12U);
}
