/** @file poison_spread_test.cpp Equal requests, each of which kills its engine.
 */
// Labels: quarantine

#include "admission/quarantine_func.h"
#include "mesh.h"

#include <boost/test/unit_test.hpp>

using namespace jacinthpond;
using namespace jacinthpond::mesh;

namespace {

const std::string Poison = "{\"prompt\":\"poison\"}";

/** Workers that were just started bear two requests at a time. */
struct ColdMesh : Mesh {
  ColdMesh() : Mesh(4, 5, 0) {
    for (auto &[Name, Agent] : Agents)
      Agent.Gate.Limits.Cold = Agent.Gate.Limit = 2;
    pass(Millis(1000));
  }

  /** Engines that began such a request alive; each dies of it. */
  std::set<std::string> hit() {
    for (; Begun.size() < Runs.size();)
      Begun.push_back(Dying.insert(Runs[Begun.size()].first).second);
    return Dying;
  }

  /** Tells agents how the runs ended that were given to engines. */
  void endRuns() {
    hit();
    for (; Ended < Begun.size(); ++Ended)
      end(Runs[Ended].first, Runs[Ended].second.Attempt,
          Begun[Ended] ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable);
  }

  void end(const std::string &Name, const AttemptId &Which, ErrorKind Why) {
    Effects Out;
    engineEnded(Agents.at(Name), Which, {{}, {Why, "", {}}}, Now, Out);
    perform(Name, Out);
    pump();
  }

  /** Agents read the state of their engines. */
  void readStates() {
    for (auto &[Name, Agent] : Agents) {
      if (!hit().contains(Name)) {
        warm(Name);
        continue;
      }
      Effects Out;
      engineStateRead(Agent, {{}, {ErrorKind::Unreachable, "", {}}},
                      Agent.Weights.OrdersEnded, Now, Out);
      perform(Name, Out);
    }
    pump();
  }

  /** Lets everything happen that still follows. */
  void settle() {
    for (int n = 0; n < 20; ++n) {
      endRuns();
      readStates();
      pass(Millis(100));
    }
  }

  size_t Ended = 0;            ///< Runs whose end was told.
  std::vector<bool> Begun;     ///< For each run, whether its engine lived.
  std::set<std::string> Dying; ///< Engines that such a request reached.
};

} // namespace

// Guards against a third death: equal requests come through other entries
// while the agent has not yet judged the end of the first one's connection.
BOOST_FIXTURE_TEST_CASE(AThirdEngineIsSparedWhileADeathIsBeingJudged,
                        ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"}) {
    ask(Entry, "reports", "", "", Poison);
    endRuns();
    pass(Millis(50));
  }
  settle();
  BOOST_TEST(hit().size() <= 2U);
  const uint64_t Last = ask("e0", "reports", "", "", Poison);
  settle();
  BOOST_TEST((Finals.at(Last).Kind == ErrorKind::Quarantined));
}

// Guards against a third death: copies of a request are at many workers before
// the first of them kills its engine.
BOOST_FIXTURE_TEST_CASE(EqualRequestsUnderWayReachTwoWorkers, ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"}) {
    ask(Entry, "reports", "", "", Poison);
    pass(Millis(50));
  }
  settle();
  BOOST_TEST(hit().size() <= 2U);
}

// Guards against a third death: an engine gives no state any more, what waits
// there goes elsewhere, and the end of its run is seen only after that.
BOOST_FIXTURE_TEST_CASE(ASilentEngineIsSuspectBeforeItsRunsBreak, ColdMesh) {
  for (const char *Entry : {"e0", "e1", "e2", "e3"})
    ask(Entry, "reports", "", "", Poison);
  for (int n = 0; n < 20; ++n) {
    readStates();
    pass(Millis(100));
    endRuns();
  }
  BOOST_TEST(hit().size() <= 2U);
}

// Guards against innocent requests that stay suspect after a lost connection.
BOOST_FIXTURE_TEST_CASE(AConnectionThatBreaksIsNoDeath, ColdMesh) {
  for (int n = 0; n < 3; ++n) {
    ask("e0", "reports", "", "", Poison);
    const auto [Name, Request] = Runs.back();
    end(Name, Request.Attempt, ErrorKind::OutcomeUnknown);
    for (int Reads = 0; Reads < 4; ++Reads) {
      for (const auto &[Each, Agent] : Agents)
        warm(Each);
      pass(Millis(100));
    }
  }
  for (const auto &[Name, Entry] : Entries)
    BOOST_TEST((suspicionOf(Entry.Suspects,
                            fingerprintOf({"huts"}, {"reports"}, Poison),
                            Now) == Suspicion::None));
}
