/** @file weights_test.cpp No answer from partial, mixed or unknown weights. */
// Labels: promise-1 weights

#include "base/hash_func.h"
#include "fleet/fleet.h"
#include "websocket/peer_links.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <set>
#include <thread>

using namespace jacinthpond;
using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto Limit = 40s;

FleetPlan smallPlan() {
  FleetPlan Plan;
  Plan.Entries = 2;
  Plan.ModelWorkers = 4;
  Plan.ServiceWorkers = 0;
  Plan.Domains = {"drakensberg", "cederberg"};
  Plan.AgentSettings = {{"chunk_takeover_ms", 300}};
  return Plan;
}

/** A fleet with the first version loaded, and callers that ask all the time. */
struct Serving {
  explicit Serving(const FleetPlan &Plan) : All(Plan) {
    BOOST_REQUIRE(All.waitServing(Limit));
    Published.insert(weightsOf(0));
    First = All.Document["models"];
    const std::string At = All.address("entry-0", "callers");
    Caller = std::thread([this, At] {
      while (!Ending) {
        const Answer Got = askAt(At, Ask{});
        const std::lock_guard Lock(Guard);
        ++(Got.Status == 200 ? Answered : Refused);
        if (Got.Status == 200)
          Used.insert(Got.json().value("weights", ""));
      }
    });
  }
  ~Serving() {
    Ending = true;
    Caller.join();
  }
  Serving(const Serving &) = delete;
  Serving &operator=(const Serving &) = delete;

  std::string weightsOf(size_t n) const {
    return All.look("engine-" + std::to_string(n)).value("weights", "");
  }
  size_t staged(size_t n) const {
    return All.look("engine-" + std::to_string(n)).value("staged", size_t{0});
  }
  std::string publish(const std::string &Version) {
    const std::string Set = All.newModel(Version);
    Published.insert(Set);
    All.publish();
    return Set;
  }
  /** Compares answers and the engines' records with what was published. */
  void checkRecords() {
    Ending = true;
    if (Caller.joinable())
      Caller.join();
    Caller = std::thread([] {});
    BOOST_TEST(Answered > 0U);
    for (const std::string &Set : Used)
      BOOST_TEST(Published.contains(Set));
    for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
      for (const Json &Set : All.look("engine-" + std::to_string(n))["loads"])
        BOOST_TEST(Published.contains(Set.get<std::string>()));
  }

  Fleet All;
  Json First; ///< Models of the first document.
  std::set<std::string> Published;
  std::atomic<bool> Ending{false};
  std::mutex Guard; ///< Guards the three members below.
  std::set<std::string> Used;
  size_t Answered = 0;
  size_t Refused = 0;
  std::thread Caller;
};

/** An agent that claims to hold everything and gives spoiled chunks. */
struct LyingPeer {
  LyingPeer()
      : Links({[](LinkId) {}, [](LinkId) {},
               [this](LinkId Link, const Message &m) { answer(Link, m); },
               [](LinkId, const Failure &) {}}),
        At(Links.listen("127.0.0.1:0")) {}

  void answer(LinkId Link, const Message &m) {
    if (std::holds_alternative<Hello>(m)) {
      Hello Self;
      Self.Name.Value = "m9";
      Self.Sender = Role::Agent;
      Self.Domain.Value = "drakensberg";
      Links.send(Link, Self);
    }
    if (const auto *Have = std::get_if<ChunkHave>(&m))
      Links.send(Link, ChunkHave{Have->Set,
                                 std::vector<uint8_t>(Have->Held.size(), 255),
                                 {}});
    if (const auto *Asked = std::get_if<ChunkRequest>(&m)) {
      ++Spoiled;
      Links.send(Link, ChunkData{Asked->Chunk, "spoiled"});
    }
  }

  std::atomic<size_t> Spoiled{0};
  PeerLinks Links;
  std::string At;
};

} // namespace

// Reports would be written from damaged weights. The origin spoils a chunk in
// five, one agent gives spoiled chunks to all who ask, and the ways to the
// others flip bits. Each chunk is checked where it arrives.
BOOST_AUTO_TEST_CASE(SpoiledChunksReachNoEngine) {
  FleetPlan Plan = smallPlan();
  Plan.ProxyAgents = true;
  Plan.AgentSettings["rollout_patience_ms"] = 2000;
  Plan.OriginOptions = {{"corrupt_percent", 20}};
  Serving Run(Plan);
  LyingPeer Liar;
  Run.All.Document["workers"].push_back({{"name", "m9"},
                                         {"domain", "drakensberg"},
                                         {"agent", Liar.At},
                                         {"model", "trail"}});
  for (size_t n = 0; n < Plan.ModelWorkers; ++n)
    Run.All.control("proxy-m" + std::to_string(n), {{"corrupt_every", 60}});
  const std::string Set = Run.publish("v2");
  BOOST_TEST(waitFor(Limit, [&] {
    for (size_t n = 0; n < Plan.ModelWorkers; ++n)
      if (Run.weightsOf(n) != Set)
        return false;
    return true;
  }));
  BOOST_TEST(Liar.Spoiled > 0U);
  Run.checkRecords();
}

// A version is published, taken back while its chunks are still coming, and
// published again. Nobody may mix the two, and callers are served throughout.
BOOST_AUTO_TEST_CASE(AVersionTakenBackInMidTransferIsNeverMixed) {
  Serving Run(smallPlan());
  Run.All.control("origin", {{"bytes_per_second", 40000}});
  const std::string Set = Run.publish("v2");
  const Json Second = Run.All.Document["models"];
  const auto Held = [&] {
    return Run.All.health(0)["weights"].value("chunks_held", size_t{0});
  };
  BOOST_TEST(waitFor(Limit, [&] { return Held() > 0 && Held() < 24; }));
  Run.All.Document["models"] = Run.First;
  Run.All.publish();
  BOOST_TEST(waitFor(Limit, [&] { return Held() == 32; }));
  BOOST_TEST(Run.weightsOf(0) != Set);
  Run.All.Document["models"] = Second;
  Run.All.publish();
  BOOST_TEST(Run.All.waitServing(Limit));
  BOOST_TEST(Run.weightsOf(0) == Set);
  Run.checkRecords();
  BOOST_TEST(Run.Refused == 0U);
}

// An agent dies between the last chunk and the first admission. Whatever step
// it had reached, its successor serves whole weights only, and does serve.
BOOST_AUTO_TEST_CASE(AnAgentKilledAtAnyStepLeavesWholeWeights) {
  FleetPlan Plan = smallPlan();
  Plan.EngineOptions = {{"stage_ms", 30}, {"load_ms", 150}};
  Serving Run(Plan);
  const auto Before = [&](int Step, const std::string &Set) {
    const std::string Now = Run.weightsOf(0);
    const std::array<bool, 4> Reached = {
        Run.staged(0) > 0, // Chunks are whole, the order is being given.
        Run.staged(0) == 8,
        Now.empty(), // The order is being carried out.
        Now == Set}; // The order is done and perhaps not read back.
    return Reached.at(static_cast<size_t>(Step));
  };
  for (int Step = 0; Step < 4; ++Step) {
    const std::string Set = Run.publish("v" + std::to_string(2 + Step));
    BOOST_TEST(waitFor(Limit, [&] { return Before(Step, Set); }));
    Run.All.process("agent-m0").kill();
    Run.All.restart("agent-m0");
    BOOST_TEST(Run.All.waitServing(Limit));
  }
  Run.checkRecords();
}

// An agent is paused while it gives an order, and another one takes over the
// host with a newer version. The first one wakes; its engine would obey it.
BOOST_AUTO_TEST_CASE(AWokenAgentDropsItsOldOrder) {
  FleetPlan Plan = smallPlan();
  Plan.EngineOptions = {{"stage_ms", 100}, {"ignore_fence", 1}};
  Plan.AgentSettings["heartbeat_ms"] = 200;
  Plan.AgentSettings["pause_gap_ms"] = 500;
  Serving Run(Plan);
  Run.publish("v2");
  BOOST_TEST(waitFor(Limit, [&] { return Run.staged(0) > 0; }));
  Run.All.process("agent-m0").pause();
  Run.All.replaceAgent("m0");
  const std::string Set = Run.publish("v3");
  BOOST_TEST(Run.All.waitServing(Limit));
  const size_t Loads = Run.All.look("engine-0")["loads"].size();
  Run.All.process("agent-m0").signal(SIGCONT);
  BOOST_TEST(waitFor(Limit, [&] {
    return Run.All.logOf("agent-m0").find("Load order failed") !=
           std::string::npos;
  }));
  BOOST_TEST(Run.All.look("engine-0")["loads"].size() == Loads);
  BOOST_TEST(Run.weightsOf(0) == Set);
  Run.checkRecords();
}

// An engine restarts under its agent and comes up with older weights, or with
// weights that nobody published. Nothing of the latter reaches a caller, and
// the published ones are loaded again without an operator.
BOOST_AUTO_TEST_CASE(AnEngineWithOtherWeightsIsLoadedAgain) {
  Serving Run(smallPlan());
  const std::string Old = Run.weightsOf(0);
  const std::string Set = Run.publish("v2");
  BOOST_TEST(Run.All.waitServing(Limit));
  for (const std::string &Found : {Old, std::string("unknown"), std::string()})
    for (const bool Restarted : {true, false}) {
      Json Change = {{"weights", Found}, {"cold", true}};
      if (Restarted)
        Change["run"] = "again-" + Found;
      Run.All.control("engine-0", Change);
      BOOST_TEST(waitFor(Limit, [&] { return Run.weightsOf(0) == Set; }));
      BOOST_TEST(Run.All.waitServing(Limit));
    }
  Run.checkRecords();
}

// The origin goes down when one copy has left it, each chunk to another host.
// The version still reaches all, and a host that is replaced with its engine
// afterwards gets it from the others.
BOOST_AUTO_TEST_CASE(OneCopyOutOfTheOriginIsEnough) {
  FleetPlan Plan = smallPlan();
  Plan.AgentSettings["uplink_bytes_per_second"] = 60000;
  Serving Run(Plan);
  const auto Drawn = [&] {
    return Run.All.health(0)["weights"].value("bytes_from_origin", size_t{0});
  };
  const size_t Before = Drawn();
  const std::string Set = Run.publish("v2");
  const size_t Copy = Plan.Chunks * Plan.ChunkBytes;
  BOOST_TEST(waitFor(Limit, [&] { return Drawn() >= Before + Copy; }));
  Run.All.control("origin", {{"down", true}});
  BOOST_TEST(Run.weightsOf(3) != Set);
  BOOST_TEST(Run.All.waitServing(Limit));
  Run.All.process("agent-m3").kill();
  Run.All.control("engine-3", {{"restart", true}});
  Run.All.restart("agent-m3");
  BOOST_TEST(Run.All.waitServing(Limit));
  BOOST_TEST(Run.weightsOf(3) == Set);
  Run.checkRecords();
}
