/** @file rollout_test.cpp Order of loading, and which weights may be served. */
// Labels: promise-1 weights

#include "attempts/agent_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "weights/chunk_plan_func.h"
#include "weights/rollout_func.h"
#include "weights/weights_func.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace jacinthpond;

namespace {

constexpr size_t Hosts = 8;
constexpr LinkId FirstPeer{100};

/** A worker that serves an old set and holds a new one, with linked peers. */
struct RolloutWorker {
  explicit RolloutWorker(double Share) {
    auto Doc = std::make_shared<Document>();
    Doc->Version.Value = 2;
    WorkClass Class;
    Class.Model.Value = "m";
    Class.ServingShare = Share;
    Doc->Classes.push_back(Class);
    for (size_t n = 0; n < Hosts; ++n) {
      Worker Host;
      Host.Name.Value = "w" + std::to_string(n);
      Host.Domain.Value = "d" + std::to_string(n % 2);
      Host.Model.Value = "m";
      Doc->Workers.push_back(Host);
    }
    Settings Config;
    Config.Name = "w0";
    Config.EngineUrl = "http://127.0.0.1:1";
    Config.LinkSilenceMillis = 2500;
    Config.RolloutPatienceMillis = 60000;
    Agent = makeAgent(Config, Incarnation{1}, Now);
    Agent.Fleet.Joining.Fresh = true;
    Agent.View.InForce = Doc;
    Agent.BackEndUp = true;
    Agent.Rollout.LastWorkAt = Now;
    for (const std::string Text : {"old", "new"}) {
      ModelVersion Model;
      Model.Chunks = {sha256(Text)};
      Model.Set = weightsSetDigest(Model.Chunks);
      setWantedWeights(Agent.Weights, Model);
      Agent.Weights.Held[sha256(Text)] =
          std::make_shared<const std::string>(Text);
      (Text == "old" ? Old : New) = Model.Set;
    }
    Agent.Weights.Loaded = Old;
    Agent.Weights.EngineRun = "run";
    // As the last one in fleet order it waits for all others of its chain.
    Agent.Transfer.Plan = makeChunkPlan(*Doc, Doc->Workers[0].Name);
    Agent.Transfer.Plan.Self = Hosts - 1;
  }

  /** The new set is staged in the slots of the engine. */
  void stageAtEngine() {
    Agent.Weights.StagedAtEngine = true;
    Agent.Weights.Held.clear();
    for (const Digest &Chunk : Agent.Weights.Wanted.Chunks)
      Agent.Weights.Slots.push_back({Chunk, false, {}});
  }

  /** Sets the reported state of the n-th predecessor; no digest: no link. */
  void setPredecessor(size_t n, const Digest &Loaded, uint32_t Held = 0) {
    const size_t At = predecessors(Agent, false).at(n);
    const LinkId Link{FirstPeer.Value + n};
    Agent.Fleet.Links.erase(Link);
    if (Loaded.Value.empty())
      return;
    PeerLink &Peer = Agent.Fleet.Links[Link];
    Peer.State = LinkState::Ready;
    Peer.Peer.Sender = Role::Agent;
    Peer.Peer.Name = Agent.Transfer.Plan.Hosts[At].Name;
    Peer.Load.State = WorkerState::Serving;
    Peer.Load.Weights = Loaded;
    Peer.Load.ChunksHeld = Held;
    Peer.Load.Running = 1;
  }
  /** Advances the clock; says whether a load was ordered. */
  bool ordersLoad(Millis Passed = Millis(0)) {
    Now += Passed;
    ++Agent.Counters.Started; // The class is not idle.
    Effects Out;
    loadInTurn(Agent, Now, Out);
    return std::ranges::any_of(Out, [](const Effect &One) {
      return std::holds_alternative<LoadWeights>(One);
    });
  }
  /** Lets the agent read the state of its engine. */
  EngineState readEngine(const std::string &Run, const Digest &Set) {
    EngineState Read;
    Read.Run = Run;
    Read.Weights = Set;
    Effects Out;
    handleEngineReport(Agent, {Read, {}}, Agent.Weights.OrdersEnded, Now, Out);
    return Read;
  }

  TimePoint Now{Millis(1000000)};
  AgentState Agent;
  Digest Old;
  Digest New;
};

} // namespace

BOOST_AUTO_TEST_CASE(ThereAreAsManyChainsAsWorkersThatMayLoad) {
  for (const auto &[Share, Idle, Step] : {std::tuple{0.5, false, size_t{4}},
                                          {0.75, false, size_t{2}},
                                          {1.0, false, size_t{1}},
                                          {0.5, true, size_t{6}}}) {
    const RolloutWorker One(Share);
    BOOST_TEST(predecessors(One.Agent, Idle).at(0) == Hosts - 1 - Step);
  }
}

// Guards against too few serving workers in a class: a worker loads only when
// its predecessor serves the new weights.
BOOST_AUTO_TEST_CASE(AWorkerWaitsForItsPredecessor) {
  RolloutWorker One(0.75);
  One.setPredecessor(0, One.Old);
  One.setPredecessor(1, One.New);
  BOOST_TEST(!One.ordersLoad());
  BOOST_TEST(!One.ordersLoad(Millis(50000)));
  One.setPredecessor(0, One.New);
  BOOST_TEST(One.ordersLoad());
}

// Guards against a rollout that is blocked forever by a worker that died, is
// stuck, or whose link is lost and opened again without progress.
BOOST_AUTO_TEST_CASE(TheWaitForAPredecessorTimesOut) {
  RolloutWorker Dead(0.75);
  Dead.setPredecessor(1, Dead.New);
  BOOST_TEST(!Dead.ordersLoad());
  BOOST_TEST(Dead.ordersLoad(Millis(4000)));

  RolloutWorker BothDead(0.75);
  BOOST_TEST(!BothDead.ordersLoad());
  BOOST_TEST(BothDead.ordersLoad(Millis(4000)));

  RolloutWorker Alive(0.75); // Predecessor dead, the one before it alive.
  Alive.setPredecessor(1, Alive.Old);
  BOOST_TEST(!Alive.ordersLoad());
  BOOST_TEST(!Alive.ordersLoad(Millis(4000)));

  RolloutWorker Stuck(0.75);
  bool Loaded = false;
  for (uint32_t n = 0; n < 60 && !Loaded; ++n) {
    Stuck.setPredecessor(0, n % 2 == 0 ? Stuck.Old : Digest{},
                         std::min(n, 10U));
    Stuck.setPredecessor(1, Stuck.New);
    Loaded = Stuck.ordersLoad(Millis(2000));
    BOOST_TEST((!Loaded || n >= 30U));
  }
  BOOST_TEST(Loaded);
}

// Guards against serving unpublished weights: an engine restarted or took
// orders of another agent, or an order of this agent has not ended.
BOOST_AUTO_TEST_CASE(OnlyPublishedWeightsThatWereReadBackAreServed) {
  RolloutWorker One(0.75);
  BOOST_TEST(mayServe(One.Agent.Weights));
  One.setPredecessor(0, One.Old); // Not its turn to load.
  One.Agent.Fleet.Joining.Fresh = false;
  One.readEngine("run", Digest{"unknown"});
  BOOST_TEST(!mayServe(One.Agent.Weights));
  One.readEngine("other run", Digest{});
  BOOST_TEST(!mayServe(One.Agent.Weights));
  One.readEngine("other run", One.New); // Ordered by a former agent.
  BOOST_TEST(mayServe(One.Agent.Weights));

  RolloutWorker Ordering(0.0);
  BOOST_TEST(Ordering.ordersLoad());
  Ordering.readEngine("run", Ordering.Old); // Read before the order ended.
  BOOST_TEST(!mayServe(Ordering.Agent.Weights));
  Effects Out;
  handleLoadResult(Ordering.Agent, std::nullopt, Ordering.Now, Out);
  BOOST_TEST(!mayServe(Ordering.Agent.Weights));
  Ordering.readEngine("run", Ordering.New);
  BOOST_TEST(mayServe(Ordering.Agent.Weights));
}

// A change of version is reverted while a worker drains for it: it must serve
// on.
BOOST_AUTO_TEST_CASE(ADrainingWorkerServesOnWhenTheVersionIsReverted) {
  RolloutWorker One(0.0);
  One.Agent.Gate.Running = 1;
  BOOST_TEST(!One.ordersLoad());
  BOOST_TEST(!mayServe(One.Agent.Weights));
  ModelVersion Back;
  Back.Chunks = {sha256("old")};
  Back.Set = One.Old;
  setWantedWeights(One.Agent.Weights, Back);
  BOOST_TEST(mayServe(One.Agent.Weights));
}

// An agent that was paused or cut off must not order loads by an outdated view.
BOOST_AUTO_TEST_CASE(NoLoadIsOrderedWithAnOutdatedView) {
  RolloutWorker One(0.0);
  One.Agent.Fleet.Joining.Fresh = false;
  BOOST_TEST(!One.ordersLoad());
  One.Agent.Fleet.Joining.Fresh = true;
  BOOST_TEST(One.ordersLoad());
}

// Guards against all workers of a model draining at once. The predecessor held
// all chunks of the previous set, so that the fewer chunks of the new set
// looked like no progress, and the wait for it timed out.
BOOST_AUTO_TEST_CASE(ChunksOfThePreviousSetDoNotHideProgress) {
  constexpr uint32_t OfSetBefore = 48;
  RolloutWorker One(0.75);
  One.setPredecessor(0, One.Old, OfSetBefore);
  One.setPredecessor(1, One.Old, OfSetBefore);
  BOOST_TEST(!One.ordersLoad());
  for (uint32_t n = 0; n < 40; ++n) {
    One.setPredecessor(0, One.Old, n);
    BOOST_TEST(!One.ordersLoad(Millis(2000)));
  }
  One.setPredecessor(0, One.New, OfSetBefore);
  BOOST_TEST(One.ordersLoad());
}

// After a power loss of the whole system, with the weights staged, the load
// must not wait the half second in which each agent asks its peers for the
// configuration.
BOOST_AUTO_TEST_CASE(AnEmptyEngineOnTheOwnHostLoadsAtOnce) {
  RolloutWorker One(0.0);
  One.Agent.Fleet.Joining.Fresh = false;
  One.stageAtEngine();
  BOOST_TEST(
      !One.ordersLoad()); // It serves weights that may be the wanted ones.
  One.readEngine("other run", Digest{}); // Restarted: the load is ordered.
  BOOST_TEST(One.Agent.Weights.Loading);
}

// Guards against idle workers: entries start no requests on weights that were
// replaced long ago, so that a worker with such weights has to load out of
// turn.
BOOST_AUTO_TEST_CASE(WeightsTooOldToServeAreReplacedOutOfTurn) {
  RolloutWorker One(0.75);
  One.stageAtEngine();
  One.Agent.Config.WeightsChangeMillis = 8000;
  One.setPredecessor(0, One.Old);
  One.setPredecessor(1, One.Old);
  recordNewestSet(One.Agent.Weights, One.New, One.Now);
  BOOST_TEST(!One.ordersLoad(Millis(6500)));
  BOOST_TEST(One.ordersLoad(Millis(500)));
}

// Guards against a version that cannot be loaded going unnoticed.
BOOST_AUTO_TEST_CASE(ASetThatIsNotLoadedIsLoggedEverMoreSeldom) {
  RolloutWorker One(0.75);
  One.Agent.BackEndUp = false;
  One.Agent.Transfer.Set = One.New;
  One.Agent.Transfer.StartedAt = One.Now;
  One.Agent.Transfer.Missing = {3, 7};
  std::vector<std::string> Lines;
  for (int n = 0; n < 60; ++n) {
    Effects Out;
    loadInTurn(One.Agent, One.Now += Millis(1000), Out);
    for (const Effect &Each : Out)
      if (const auto *Line = std::get_if<LogNote>(&Each))
        Lines.push_back(Line->Text);
  }
  BOOST_TEST(Lines.size() == 3U); // After 10, 20 and 40 s.
  BOOST_TEST(Lines.front().find("event=set_late") == 0U);
  BOOST_TEST(Lines.front().find(" missing=2 first=3 ") != std::string::npos);
  BOOST_CHECK(One.Agent.Rollout.WaitingFor == Millis(60000));
  One.Agent.Weights.Loaded = One.New;
  Effects Out;
  loadInTurn(One.Agent, One.Now, Out);
  BOOST_CHECK(One.Agent.Rollout.WaitingFor == Duration{0});
}

// A second version is published before this worker has loaded the first: the
// weights that it serves count as replaced since the first one was published.
BOOST_AUTO_TEST_CASE(AFurtherVersionDoesNotExtendTheUseOfAReplacedOne) {
  WeightsState Weights;
  const TimePoint Start{Millis(1000)};
  recordLoadedSet(Weights, Digest{"1"});
  recordNewestSet(Weights, Digest{"2"}, Start);
  recordNewestSet(Weights, Digest{"3"}, Start + Millis(2000));
  BOOST_TEST((Weights.OutdatedSince == Start));
  recordLoadedSet(Weights, Digest{"2"});
  BOOST_TEST((Weights.OutdatedSince == Start + Millis(2000)));
  recordLoadedSet(Weights, Digest{"3"});
  BOOST_TEST(!Weights.OutdatedSince);
}

// A load failed because a staged chunk was damaged, and the worker kept weights
// that had been replaced twice. Its agent counted from the second replacement,
// and granted slots on them for longer than entries ask for any.
BOOST_AUTO_TEST_CASE(AFailedOrderDoesNotExtendTheUseOfReplacedWeights) {
  WeightsState Weights;
  const TimePoint Start{Millis(1000)};
  recordLoadedSet(Weights, Digest{"1"});
  recordNewestSet(Weights, Digest{"2"}, Start);
  recordNewestSet(Weights, Digest{"3"}, Start + Millis(5000));
  recordOrderEnd(Weights, false, Start + Millis(6000));
  recordLoadedSet(Weights, Digest{"1"});
  BOOST_TEST((Weights.OutdatedSince == Start));
}

namespace {

/** A worker whose order to load a set was not confirmed. */
struct UnconfirmedOrder {
  UnconfirmedOrder() {
    Weights.EngineRun = "run 1";
    Weights.Wanted.Set = Set;
    order();
    markOrderUnconfirmed(Weights);
  }

  /** Sends an order to load the wanted set. */
  LoadOrder order() {
    Effects Out;
    sendLoadOrder(Weights, ConfigVersion{1}, Out);
    return std::get<LoadWeights>(Out.front()).Order;
  }

  const Digest Set{"m@2"};
  WeightsState Weights;
};

} // namespace

// Guards against serving weights that were loaded while one of their chunks was
// overwritten.
BOOST_FIXTURE_TEST_CASE(WeightsOfAnUnconfirmedOrderAreNotServed,
                        UnconfirmedOrder) {
  BOOST_TEST(confirmedSet(Weights, "run 1", Set).Value.empty());
  BOOST_TEST((confirmedSet(Weights, "run 1", Digest{"m@1"}) == Digest{"m@1"}));
  BOOST_TEST(order().ForceReload);
  markOrderConfirmed(Weights);
  BOOST_TEST((confirmedSet(Weights, "run 1", Set) == Set));
}

// After its restart, an engine has nothing loaded by an earlier order.
BOOST_FIXTURE_TEST_CASE(AnEngineRestartClearsUnconfirmedOrders,
                        UnconfirmedOrder) {
  BOOST_TEST((confirmedSet(Weights, "run 2", Set) == Set));
}
