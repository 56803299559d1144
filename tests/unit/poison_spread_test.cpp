/** @file poison_spread_test.cpp Equal requests that each crash their engine. */
// Labels: quarantine

#include "admission/quarantine_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using namespace jacinthpond::mesh;

namespace {

const std::string Poison = "{\"prompt\":\"poison\"}";

/** Five workers that have just started, with a limit of two requests each. */
struct ColdMesh : Mesh {
  ColdMesh() : Mesh(4, 5, 0) {
    for (auto &[Name, Agent] : Agents)
      Agent.Gate.Limits.Cold = Agent.Gate.Limit = 2;
    advanceTime(Millis(1000));
  }

  /** Gives the engines that such a request reached and crashed. */
  std::set<std::string> crashedEngines() {
    for (; Begun.size() < EngineRequests.size();)
      Begun.push_back(
          Crashed.insert(EngineRequests[Begun.size()].first).second);
    return Crashed;
  }

  /** Ends all runs given to engines, at crashed engines too. */
  void endRuns() {
    crashedEngines();
    for (; Ended < Begun.size(); ++Ended)
      failRun(EngineRequests[Ended].first, EngineRequests[Ended].second.Attempt,
              Begun[Ended] ? ErrorKind::OutcomeUnknown
                           : ErrorKind::Unreachable);
  }

  /** Ends a run at an engine with an error. */
  void failRun(const std::string &Name, const AttemptId &Which, ErrorKind Why) {
    Effects Out;
    handleEngineEnd(Agents.at(Name), Which, {{}, {Why, "", {}}}, Now, Out);
    perform(Name, Out);
    deliverAll();
  }

  /** Lets all agents read the state of their engines. */
  void readStates() {
    for (auto &[Name, Agent] : Agents) {
      if (!crashedEngines().contains(Name)) {
        reportWeightsLoaded(Name);
        continue;
      }
      Effects Out;
      handleEngineReport(Agent, {{}, {ErrorKind::Unreachable, "", {}}},
                         Agent.Weights.OrdersEnded, Now, Out);
      perform(Name, Out);
    }
    deliverAll();
  }

  /** Runs the system for 2 s, so that all effects of the deaths have spread. */
  void settle() {
    for (int n = 0; n < 20; ++n) {
      endRuns();
      readStates();
      advanceTime(Millis(100));
    }
  }

  size_t Ended = 0;        ///< Number of runs that have ended.
  std::vector<bool> Begun; ///< For each run, whether its engine was alive.
  std::set<std::string> Crashed; ///< Engines that such a request reached.
};

} // namespace

// Guards against a third death: equal requests arrive through other entries
// before the agent has found out whether its engine died or just a connection
// broke.
BOOST_FIXTURE_TEST_CASE(AThirdEngineIsSparedBeforeADeathIsConfirmed, ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"}) {
    sendRequest(Entry, "reports", "", "", Poison);
    endRuns();
    advanceTime(Millis(50));
  }
  settle();
  BOOST_TEST(crashedEngines().size() <= 2U);
  const uint64_t Last = sendRequest("e0", "reports", "", "", Poison);
  settle();
  BOOST_TEST((Finals.at(Last).Kind == ErrorKind::Quarantined));
}

// Guards against a third death: equal requests are sent to many workers before
// the first one has crashed its engine.
BOOST_FIXTURE_TEST_CASE(EqualRequestsInFlightReachTwoEnginesAtMost, ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"}) {
    sendRequest(Entry, "reports", "", "", Poison);
    advanceTime(Millis(50));
  }
  settle();
  BOOST_TEST(crashedEngines().size() <= 2U);
}

// Guards against a third death: an engine stops answering, its queued requests
// move to other workers, and only then its running request is seen to fail.
BOOST_FIXTURE_TEST_CASE(RunsAtASilentEngineAreSuspectBeforeTheyFail, ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"})
    sendRequest(Entry, "reports", "", "", Poison);
  for (int n = 0; n < 20; ++n) {
    readStates();
    advanceTime(Millis(100));
    endRuns();
  }
  BOOST_TEST(crashedEngines().size() <= 2U);
}

// A broken connection to an engine that is still alive must not make a request
// a suspect.
BOOST_FIXTURE_TEST_CASE(ABrokenConnectionIsNoDeath, ColdMesh) {
  for (int n = 0; n < 3; ++n) {
    sendRequest("e0", "reports", "", "", Poison);
    const auto [Name, Request] = EngineRequests.back();
    failRun(Name, Request.Attempt, ErrorKind::OutcomeUnknown);
    for (int Reads = 0; Reads < 4; ++Reads) {
      for (const auto &[Each, Agent] : Agents)
        reportWeightsLoaded(Each);
      advanceTime(Millis(100));
    }
  }
  for (const auto &[Name, Entry] : Entries)
    BOOST_TEST((suspicionOf(Entry.Suspects,
                            fingerprintOf({"huts"}, {"reports"}, Poison),
                            Now) == Suspicion::None));
}
