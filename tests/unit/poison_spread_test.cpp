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

  /** Engines that began such a request. */
  std::set<std::string> hit() const {
    std::set<std::string> Names;
    for (const auto &[Name, Request] : Runs)
      Names.insert(Name);
    return Names;
  }

  /** Ends what was given to engines; those that lived die of it. */
  void endRuns() {
    for (; Ended < Runs.size(); ++Ended) {
      const auto [Name, Request] = Runs[Ended];
      const bool Lived = Engines.insert(Name).second;
      end(Name, Request.Attempt,
          Lived ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable);
      if (!Lived)
        Runs.erase(Runs.begin() + static_cast<ptrdiff_t>(Ended--));
    }
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
      if (!Engines.contains(Name)) {
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

  size_t Ended = 0;              ///< Runs whose end was told.
  std::set<std::string> Engines; ///< Those that died.
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

// Guards against innocent requests that stay suspect after a lost connection.
BOOST_FIXTURE_TEST_CASE(AConnectionThatBreaksIsNoDeath, ColdMesh) {
  for (int n = 0; n < 3; ++n) {
    ask("e0", "reports", "", "", Poison);
    const auto [Name, Request] = Runs.at(Ended);
    Ended = Runs.size();
    end(Name, Request.Attempt, ErrorKind::OutcomeUnknown);
    for (int Reads = 0; Reads < 4; ++Reads) {
      readStates();
      pass(Millis(100));
    }
    Ended = Runs.size();
  }
  for (const auto &[Name, Entry] : Entries)
    BOOST_TEST((suspicionOf(Entry.Suspects,
                            fingerprintOf({"huts"}, {"reports"}, Poison),
                            Now) == Suspicion::None));
}
