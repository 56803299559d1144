/** @file chunk_list_test.cpp How agents learn of what chunks a version is made.
 */
// Labels: weights

#include "attempts/agent_func.h"
#include "attempts/chunk_list_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/transfer_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

namespace {

constexpr LinkId Near{1};
constexpr LinkId Far{2};

/** An agent in a fleet of nine workers in three domains. */
struct OneAgent {
  /** @param Rank Its place among the workers of its domain. */
  explicit OneAgent(size_t Rank) {
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
    planTransfer(Agent.Transfer, Agent.Weights, *Fleet, Self->Name, Now);
    chunkPeerReady(Agent.Transfer, Near, HostName{"near"}, true);
    chunkPeerReady(Agent.Transfer, Far, HostName{"far"}, false);
  }

  void follow() { obtainChunkList(Agent, Named, Now, Out); }

  ChunkRef version() const {
    return {Named.Name, Named.Version, 0, {}, Named.Origin};
  }

  bool reads() const {
    return std::ranges::any_of(Out, [](const Effect &One) {
      return std::holds_alternative<ReadChunkList>(One);
    });
  }

  /** Links over which the list was told. */
  std::vector<LinkId> told() const {
    std::vector<LinkId> Links;
    for (const Effect &One : Out)
      if (const auto *Sent = std::get_if<SendMessage>(&One))
        if (std::holds_alternative<ChunkListTold>(Sent->Content))
          Links.push_back(Sent->Link);
    return Links;
  }

  bool wants() const { return Agent.Weights.Wanted.Set == Named.Set; }

  AgentState Agent;
  TimePoint Now{std::chrono::hours(1)};
  Effects Out;
  ModelVersion Named{{"m"}, "2", {}, 0, 0, {"m@2"}, {"10.0.0.1:1"}};
  ChunkList List{{{"c1"}, {"c2"}}, 100};
};

} // namespace

// A fleet of ninety hosts took weights from an origin that failed 2.5 s after
// they were named. All agents read the list of chunks twice, which took a third
// of its link: one chunk of 64 had not left it, and nothing was served for 6 s.
BOOST_AUTO_TEST_CASE(AFewReadTheListAndTellTheirDomain) {
  OneAgent One(0);
  One.follow();
  BOOST_TEST(One.reads());
  handleListRead(One.Agent, One.version(), {One.List, {}}, One.Now, One.Out);
  BOOST_TEST(!One.wants()); // It may be damaged: once more.
  One.Out.clear();
  BOOST_TEST(handleListRead(One.Agent, One.version(), {One.List, {}}, One.Now,
                            One.Out));
  BOOST_TEST(One.wants());
  BOOST_TEST((One.told() == std::vector<LinkId>{Near}));
}

BOOST_AUTO_TEST_CASE(TheOthersTakeWhatTheyAreTold) {
  OneAgent One(2);
  One.follow();
  BOOST_TEST(!One.reads());
  const ChunkListTold Told{{"m"}, "2", 100, One.List.Chunks};
  BOOST_TEST(!handleListNotice(One.Agent, LinkId{9}, Told, One.Now, One.Out));
  BOOST_TEST(handleListNotice(One.Agent, Near, Told, One.Now, One.Out));
  BOOST_TEST(One.wants());
  BOOST_TEST((One.Agent.Weights.Wanted.Chunks == One.List.Chunks));
  requestMissingList(One.Agent, One.Now + Millis(1000), One.Out);
  BOOST_TEST(!One.reads());
}

BOOST_AUTO_TEST_CASE(AListThatComesBeforeTheDocumentIsKept) {
  OneAgent One(2);
  const ChunkListTold Told{{"m"}, "2", 100, One.List.Chunks};
  BOOST_TEST(!handleListNotice(One.Agent, Near, Told, One.Now, One.Out));
  One.follow();
  BOOST_TEST(One.wants());
  BOOST_TEST(!One.reads());
}

BOOST_AUTO_TEST_CASE(WhoIsNotToldReadsTheListItself) {
  OneAgent One(2);
  One.follow();
  requestMissingList(One.Agent, One.Now + Millis(399), One.Out);
  BOOST_TEST(!One.reads());
  requestMissingList(One.Agent, One.Now + Millis(400), One.Out);
  BOOST_TEST(One.reads());
}
