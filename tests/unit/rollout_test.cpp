/** @file rollout_test.cpp Turns to load, and which weights may answer. */
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
struct Waiting {
  explicit Waiting(double Share) {
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
    Agent.Rollout.LastWork = Now;
    for (const std::string Text : {"old", "new"}) {
      ModelVersion Model;
      Model.Chunks = {sha256(Text)};
      Model.Set = weightsSetDigest(Model.Chunks);
      wantWeights(Agent.Weights, Model);
      Agent.Weights.Held[sha256(Text)] =
          std::make_shared<const std::string>(Text);
      (Text == "old" ? Old : New) = Model.Set;
    }
    Agent.Weights.Loaded = Old;
    Agent.Weights.EngineRun = "run";
    // The last one in the fleet order waits for all others of its chain.
    Agent.Transfer.Plan = makeChunkPlan(*Doc, Doc->Workers[0].Name);
    Agent.Transfer.Plan.Self = Hosts - 1;
  }

  /** Sets what the n-th worker before this one says; no digest: no link. */
  void before(size_t n, const Digest &Loaded, uint32_t Held = 0) {
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
  bool loads(Millis Passed = Millis(0)) {
    Now += Passed;
    ++Agent.Counters.Started; // The class is not idle.
    Effects Out;
    loadInTurn(Agent, Now, Out);
    return std::ranges::any_of(Out, [](const Effect &One) {
      return std::holds_alternative<LoadWeights>(One);
    });
  }
  EngineState reads(const std::string &Run, const Digest &Set) {
    EngineState Read;
    Read.Run = Run;
    Read.Weights = Set;
    Effects Out;
    engineStateRead(Agent, {Read, {}}, Agent.Weights.OrdersEnded, Now, Out);
    return Read;
  }

  TimePoint Now{Millis(1000000)};
  AgentState Agent;
  Digest Old;
  Digest New;
};

} // namespace

BOOST_AUTO_TEST_CASE(ChainsAreAsManyAsMayBeOut) {
  for (const auto &[Share, Idle, Step] : {std::tuple{0.5, false, size_t{4}},
                                          {0.75, false, size_t{2}},
                                          {1.0, false, size_t{1}},
                                          {0.5, true, size_t{6}}}) {
    const Waiting One(Share);
    BOOST_TEST(predecessors(One.Agent, Idle).at(0) == Hosts - 1 - Step);
  }
}

// Callers of a class would find too few workers. A worker loads only when the
// one before it serves the new weights, whatever else is ready.
BOOST_AUTO_TEST_CASE(AWorkerWaitsForTheOneBeforeIt) {
  Waiting One(0.75);
  One.before(0, One.Old);
  One.before(1, One.New);
  BOOST_TEST(!One.loads());
  BOOST_TEST(!One.loads(Millis(50000)));
  One.before(0, One.New);
  BOOST_TEST(One.loads());
}

// A rollout would stand still for ever behind a worker that died, is stuck, or
// whose link comes and goes without anything getting better.
BOOST_AUTO_TEST_CASE(NobodyIsWaitedForWithoutEnd) {
  Waiting Dead(0.75);
  Dead.before(1, Dead.New);
  BOOST_TEST(!Dead.loads());
  BOOST_TEST(Dead.loads(Millis(4000)));

  Waiting BothDead(0.75);
  BOOST_TEST(!BothDead.loads());
  BOOST_TEST(BothDead.loads(Millis(4000)));

  Waiting Alive(0.75); // The one before the dead one is still at work.
  Alive.before(1, Alive.Old);
  BOOST_TEST(!Alive.loads());
  BOOST_TEST(!Alive.loads(Millis(4000)));

  Waiting Stuck(0.75);
  bool Loaded = false;
  for (uint32_t n = 0; n < 60 && !Loaded; ++n) {
    Stuck.before(0, n % 2 == 0 ? Stuck.Old : Digest{}, std::min(n, 10U));
    Stuck.before(1, Stuck.New);
    Loaded = Stuck.loads(Millis(2000));
    BOOST_TEST((!Loaded || n >= 30U));
  }
  BOOST_TEST(Loaded);
}

// An engine restarts, or obeys another agent, and holds weights that nobody
// published, or an order of this agent is still under way.
BOOST_AUTO_TEST_CASE(OnlyPublishedWeightsThatWereReadBackServe) {
  Waiting One(0.75);
  BOOST_TEST(mayServe(One.Agent.Weights));
  One.before(0, One.Old); // Not its turn: only the check keeps it out.
  One.Agent.Fleet.Joining.Fresh = false;
  One.reads("run", Digest{"unknown"});
  BOOST_TEST(!mayServe(One.Agent.Weights));
  One.reads("other run", Digest{});
  BOOST_TEST(!mayServe(One.Agent.Weights));
  One.reads("other run", One.New); // By an order of the agent before.
  BOOST_TEST(mayServe(One.Agent.Weights));

  Waiting Ordering(0.0);
  BOOST_TEST(Ordering.loads());
  Ordering.reads("run", Ordering.Old); // Read before the order ended.
  BOOST_TEST(!mayServe(Ordering.Agent.Weights));
  Effects Out;
  loadEnded(Ordering.Agent, std::nullopt, Ordering.Now, Out);
  BOOST_TEST(!mayServe(Ordering.Agent.Weights));
  Ordering.reads("run", Ordering.New);
  BOOST_TEST(mayServe(Ordering.Agent.Weights));
}

// A version is taken back while a worker drains for it: it must serve on.
BOOST_AUTO_TEST_CASE(ADrainedWorkerServesOnWhenTheVersionIsTakenBack) {
  Waiting One(0.0);
  One.Agent.Gate.Running = 1;
  BOOST_TEST(!One.loads());
  BOOST_TEST(!mayServe(One.Agent.Weights));
  ModelVersion Back;
  Back.Chunks = {sha256("old")};
  Back.Set = One.Old;
  wantWeights(One.Agent.Weights, Back);
  BOOST_TEST(mayServe(One.Agent.Weights));
}

// A process that was paused or cut off must not order by its old view.
BOOST_AUTO_TEST_CASE(NothingIsOrderedOnAViewThatIsNotFresh) {
  Waiting One(0.0);
  One.Agent.Fleet.Joining.Fresh = false;
  BOOST_TEST(!One.loads());
  One.Agent.Fleet.Joining.Fresh = true;
  BOOST_TEST(One.loads());
}

// All workers of a model drain in the same second, and callers are refused. The
// one before this one held all chunks of the set before; those that it fetches
// of the new one looked like no progress, so that it was given up.
BOOST_AUTO_TEST_CASE(ChunksOfTheSetBeforeDoNotHideProgress) {
  constexpr uint32_t OfSetBefore = 48;
  Waiting One(0.75);
  One.before(0, One.Old, OfSetBefore);
  One.before(1, One.Old, OfSetBefore);
  BOOST_TEST(!One.loads());
  for (uint32_t n = 0; n < 40; ++n) {
    One.before(0, One.Old, n);
    BOOST_TEST(!One.loads(Millis(2000)));
  }
  One.before(0, One.New, OfSetBefore);
  BOOST_TEST(One.loads());
}

// Everything lost power. The weights lie staged, yet all callers wait another
// half second for each agent to ask its peers what is wanted.
BOOST_AUTO_TEST_CASE(AnEmptyEngineOfTheOwnHostLoadsAtOnce) {
  Waiting One(0.0);
  One.Agent.Fleet.Joining.Fresh = false;
  One.Agent.Weights.AtEngine = true;
  BOOST_TEST(!One.loads()); // It serves: what it has may be what is wanted.
  One.reads("other run", Digest{}); // Restarted; the order goes out.
  BOOST_TEST(One.Agent.Weights.Loading);
}

// Entries begin nothing any more on weights that were replaced long ago. A
// worker that still waits for its turn to load would stand idle for seconds.
BOOST_AUTO_TEST_CASE(WeightsThatNobodyUsesAreNotKeptForTheTurn) {
  Waiting One(0.75);
  One.Agent.Weights.AtEngine = true;
  One.Agent.Config.WeightsChangeMillis = 8000;
  One.before(0, One.Old);
  One.before(1, One.Old);
  noteNewest(One.Agent.Weights, One.New, One.Now);
  BOOST_TEST(!One.loads(Millis(6500)));
  BOOST_TEST(One.loads(Millis(500)));
}

// A version is overtaken before this worker has it: what it serves was replaced
// when the first of both was named.
BOOST_AUTO_TEST_CASE(AnotherVersionDoesNotExtendTheTimeOfAFormerOne) {
  WeightsState Weights;
  const TimePoint Start{Millis(1000)};
  noteLoaded(Weights, Digest{"1"});
  noteNewest(Weights, Digest{"2"}, Start);
  noteNewest(Weights, Digest{"3"}, Start + Millis(2000));
  BOOST_TEST((Weights.OutdatedSince == Start));
  noteLoaded(Weights, Digest{"2"});
  BOOST_TEST((Weights.OutdatedSince == Start + Millis(2000)));
  noteLoaded(Weights, Digest{"3"});
  BOOST_TEST(!Weights.OutdatedSince);
}

// An order to load failed, since a staged chunk was damaged. The worker still
// had weights that had been replaced twice, and its agent took them for
// replaced since the second time: it gave places on them for longer than
// entries ask.
BOOST_AUTO_TEST_CASE(AnOrderThatFailsDoesNotExtendTheTimeOfWhatIsLoaded) {
  WeightsState Weights;
  const TimePoint Start{Millis(1000)};
  noteLoaded(Weights, Digest{"1"});
  noteNewest(Weights, Digest{"2"}, Start);
  noteNewest(Weights, Digest{"3"}, Start + Millis(5000));
  orderEnded(Weights, false, Start + Millis(6000));
  noteLoaded(Weights, Digest{"1"});
  BOOST_TEST((Weights.OutdatedSince == Start));
}

namespace {

/** A worker was ordered to load a set, and nothing shows what it took. */
struct Unconfirmed {
  Unconfirmed() {
    Weights.EngineRun = "run 1";
    Weights.Wanted.Set = Set;
    order();
    orderUnconfirmed(Weights);
  }

  LoadOrder order() {
    Effects Out;
    orderLoad(Weights, ConfigVersion{1}, Out);
    return std::get<LoadWeights>(Out.front()).Order;
  }

  const Digest Set{"m@2"};
  WeightsState Weights;
};

} // namespace

// Guards against places on weights that were loaded while a chunk of them was
// overwritten.
BOOST_FIXTURE_TEST_CASE(WhatAnUnconfirmedOrderLoadedIsNotServed, Unconfirmed) {
  BOOST_TEST(confirmedSet(Weights, "run 1", Set).Value.empty());
  BOOST_TEST((confirmedSet(Weights, "run 1", Digest{"m@1"}) == Digest{"m@1"}));
  BOOST_TEST(order().Anew);
  orderConfirmed(Weights);
  BOOST_TEST((confirmedSet(Weights, "run 1", Set) == Set));
}

// A worker that was started anew holds nothing of the order before.
BOOST_FIXTURE_TEST_CASE(ARestartedWorkerIsNotHeldToAnUnconfirmedOrder,
                        Unconfirmed) {
  BOOST_TEST((confirmedSet(Weights, "run 2", Set) == Set));
}
