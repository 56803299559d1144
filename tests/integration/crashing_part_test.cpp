/** @file crashing_part_test.cpp Parts of prompts that crash each back end which
 * begins to answer a request with them.
 */
// Labels: quarantine routes platform

#include "restarted_servers.h"

#include "fleet/route_fleet.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <vector>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

using Clock = RestartedServers::Clock;

constexpr size_t Entries = 3;
constexpr size_t Models = 4;
constexpr size_t Plains = 8;
/** A crashed back end is back after this time. */
constexpr auto Downtime = 1s;
/** Crashes that one part may cause. */
constexpr size_t MostCrashes = 8;
/** Number of the crash after which all entries know the part, and when. */
constexpr size_t KnownCrash = 5;
constexpr auto KnownAfter = 500ms;
/** Sound requests have to be served as before from then on. */
constexpr auto SoundAfter = 6s;
/** Share of what was served before. */
constexpr double LeastSoundShare = 0.95;
/** Time before the first request that crashes, and from then on. */
constexpr auto CalmTime = 3s;
constexpr auto CrashTime = 12s;
constexpr double SoundPerSecond = 50;
constexpr double CrashingPerSecond = 8;

/** Gives the Nth request of a kind. */
using Asking = std::function<RouteAsk(size_t n)>;

/** A request and what came of it. */
struct Outcome {
  Clock::time_point At; ///< When it was sent.
  bool Served = false;  ///< It got its whole answer.
};

/** Sends requests to all entries by turns, so many a second, until it goes
 * away. */
class PacedCallers {
public:
  PacedCallers(const RouteFleet &All, double PerSecond, const Asking &Next) {
    const size_t Count = static_cast<size_t>(PerSecond) / 2 + 1;
    const auto Period = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(Count) / PerSecond));
    Outcomes.resize(Count);
    for (size_t i = 0; i < Count; ++i)
      Threads.emplace_back([=, this, &All](const std::stop_token &Stop) {
        auto Due = Clock::now() + Period * i / Count;
        for (size_t n = i; !Stop.stop_requested(); n += Count, Due += Period) {
          std::this_thread::sleep_until(Due);
          const RouteAsk What = Next(n);
          const auto At = Clock::now();
          const httplib::Response Got = All.ask(n % Entries, What);
          const std::string Wanted = "answer to " + What.Path;
          Outcomes[i].push_back(
              {At, Got.status == 200 && (What.Path.starts_with("/write") ||
                                         Got.body == Wanted)});
          Truncated += Got.status == 200 && Got.body.size() < 2 ? 1 : 0;
        }
      });
  }

  /** Ends the callers. @return What came of all requests. */
  std::vector<Outcome> finish() {
    for (std::jthread &One : Threads)
      One.request_stop();
    Threads.clear();
    std::vector<Outcome> All;
    for (const auto &Each : Outcomes)
      All.insert(All.end(), Each.begin(), Each.end());
    return All;
  }

  std::atomic<int> Truncated{0}; ///< Answers of which a part came as a whole.

private:
  std::vector<std::vector<Outcome>> Outcomes; ///< By thread.
  std::vector<std::jthread> Threads;
};

/** Share of the requests of some time that were served. */
double servedShare(const std::vector<Outcome> &All, Clock::time_point From,
                   Clock::time_point Until) {
  double Asked = 0;
  double Served = 0;
  for (const Outcome &One : All)
    if (One.At >= From && One.At < Until) {
      ++Asked;
      Served += One.Served ? 1 : 0;
    }
  BOOST_TEST(Asked >= 20);
  return Served / Asked;
}

/** A request with its own path, body and last part. */
RouteAsk withParts(const std::string &Route, const std::string &Shared,
                   size_t n) {
  const std::string Number = std::to_string(n);
  RouteAsk What = Route == "write" ? writeAsk() : RouteAsk{};
  What.Path = "/" + Route + "/" + Number;
  if (Route == "write")
    What.Body = "prompt " + Number;
  What.Headers = {
      {"X-Jacinthpond-Model", "trail"},
      {"X-Jacinthpond-Token-Counts", "1000,80"},
      {"X-Jacinthpond-Prompt-Prefix", Shared + "c" + Number + "ffff:250"}};
  return What;
}

/** Requests with these parts before their own one. */
Asking asking(const std::string &Route, const std::string &Shared,
              size_t First) {
  return [=](size_t n) { return withParts(Route, Shared, First + n); };
}

constexpr size_t FirstCrashing = 1000000;

struct PartFleet {
  PartFleet() : All(plan()), Servers(All, serverNames(plan()), Downtime) {
    BOOST_REQUIRE(All.waitServing(30s));
  }

  static RoutePlan plan() {
    RoutePlan Plan;
    Plan.Entries = Entries;
    Plan.ModelWorkers = Models;
    Plan.PlainServers = Plains;
    Plan.WorkerOptions = {{"crash_part", {"5c1e07a2", "91bd3f06"}},
                          {"ends_by_close", 3}};
    return Plan;
  }

  /** Plays sound requests, and from some time on such that crash; checks what
   * both cost. */
  void play(const Asking &Sound, const std::vector<Asking> &Crashing) {
    PacedCallers SoundCallers(All, SoundPerSecond, Sound);
    const auto Start = Clock::now();
    Servers.pass(CalmTime);
    const auto Begin = Clock::now();
    std::list<PacedCallers> Others;
    for (const Asking &One : Crashing)
      Others.emplace_back(
          All, CrashingPerSecond / static_cast<double>(Crashing.size()), One);
    Servers.pass(CrashTime);
    const auto End = Clock::now();
    for (PacedCallers &One : Others) {
      One.finish();
      BOOST_TEST(One.Truncated == 0);
    }
    const std::vector<Outcome> Came = SoundCallers.finish();
    const auto &Crashes = Servers.Crashes;
    BOOST_TEST_MESSAGE(Crashes.size() << " crashes");
    BOOST_TEST(Crashes.size() >= 2U);
    BOOST_TEST(Crashes.size() <= MostCrashes * Crashing.size());
    BOOST_TEST(Servers.crashesAfter(KnownCrash * Crashing.size(), KnownAfter) ==
               0U);
    if (Crashes.empty())
      return;
    const auto Known = Crashes[std::min(KnownCrash, Crashes.size()) - 1];
    const double Before = servedShare(Came, Start, Begin);
    const double After = servedShare(Came, Known + SoundAfter, End);
    BOOST_TEST_MESSAGE("served " << Before << " before, " << After
                                 << " afterwards");
    BOOST_TEST(After >= LeastSoundShare * Before);
  }

  RouteFleet All;
  RestartedServers Servers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashingParts, PartFleet)

// Guards against requests, no two alike, that crash one back end after the
// other by a part of their prompts which they share.
BOOST_AUTO_TEST_CASE(APartCrashesFewBackEnds) {
  play(asking("read", "a1:40,b2:410,", 0),
       {asking("read", "a1:40,5c1e07a2:800,b2:410,", FirstCrashing)});
}

// Guards against one such part that hides another.
BOOST_AUTO_TEST_CASE(TwoPartsAtOnceCrashFewBackEnds) {
  play(asking("read", "a1:40,b2:410,", 0),
       {asking("read", "a1:40,5c1e07a2:800,", FirstCrashing),
        asking("read", "a1:40,91bd3f06:800,", 2 * FirstCrashing)});
}

// Guards against a sound part that is refused since it is in each request with
// the one that crashes back ends.
BOOST_AUTO_TEST_CASE(ASoundPartBesideTheFirstOneIsServed) {
  play(
      [](size_t n) {
        return withParts("read", n % 2 == 0 ? "a1:40,b2:410," : "a1:40,", n);
      },
      {asking("read", "5c1e07a2:800,b2:410,", FirstCrashing)});
}

// Guards against streams that crash model workers by a part of their prompts.
BOOST_AUTO_TEST_CASE(APartCrashesFewModelWorkers) {
  play(asking("write", "a1:40,b2:410,", 0),
       {asking("write", "a1:40,5c1e07a2:800,", FirstCrashing)});
}

// Guards against an entry that starts and sends on what the others refuse.
BOOST_AUTO_TEST_CASE(AnEntryThatStartsKnowsTheRefusedPart) {
  const Asking Crashing = asking("read", "a1:40,5c1e07a2:800,", FirstCrashing);
  {
    const PacedCallers Callers(All, CrashingPerSecond, Crashing);
    Servers.pass(3s);
  }
  Servers.passUntilUp(2);
  const size_t Before = Servers.Crashes.size();
  All.restart("entry-1");
  BOOST_REQUIRE(All.waitServing(15s));
  for (size_t n = 0; n < 10; ++n)
    BOOST_TEST(All.ask(1, Crashing(1000 + n)).status == 503);
  Servers.pass(1s);
  BOOST_TEST(Servers.Crashes.size() == Before);
}

// Guards against parts that are refused since back ends were killed, one after
// the other, while requests with them ran there.
BOOST_AUTO_TEST_CASE(KilledBackEndsAccuseNoPart) {
  const Asking Hot = asking("read", "a1:40,b2:410,", 0);
  PacedCallers Callers(All, SoundPerSecond, [](size_t n) {
    return withParts("read", "a1:40,d" + std::to_string(n % 20) + ":410,", n);
  });
  for (const char *Name : {"plain-0", "plain-3", "plain-1", "plain-4"}) {
    Servers.pass(300ms);
    All.process(Name).signal(SIGKILL);
  }
  Servers.passUntilUp(4);
  const auto Up = Clock::now();
  Servers.pass(3s);
  BOOST_TEST(Servers.Crashes.size() == 4U);
  BOOST_TEST(servedShare(Callers.finish(), Up, Clock::now()) == 1.0);
  for (size_t n = 0; n < Entries; ++n)
    BOOST_TEST(All.ask(n, Hot(FirstCrashing + n)).status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
