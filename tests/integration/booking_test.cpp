/** @file booking_test.cpp Bookings run at most once while processes fail. */
// Labels: promise-5 promise-6

#include "fleet/fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace jacinthpond::fleet;
using namespace std::chrono_literals;

namespace {

constexpr size_t Entries = 3;
constexpr size_t Services = 3;
constexpr size_t Callers = 12;
constexpr size_t BookingsEach = 4;

FleetPlan plan() {
  FleetPlan Plan;
  Plan.Entries = Entries;
  Plan.ModelWorkers = 0;
  Plan.ServiceWorkers = Services;
  Plan.ProxyAgents = true;
  Plan.ServiceOptions = {{"call_ms", 60}};
  return Plan;
}

/** What the callers of all keys were told last. */
struct Told {
  std::mutex Guard;                        ///< Guards all members.
  std::map<std::string, std::string> Last; ///< By key: "yes" is an answer.
  size_t Tries = 0;                        ///< Requests sent.
  size_t Unknown = 0;                      ///< Tries told "unknown".

  void note(const std::string &Key, const Answer &Got) {
    const std::lock_guard Lock(Guard);
    ++Tries;
    if (Got.Status == 0)
      return;
    const Json Body = Got.json();
    Last[Key] =
        Got.Status == 200 ? "answered" : Body["error"].value("ran", "unknown");
    Unknown += Last[Key] == "unknown" ? 1 : 0;
  }

  size_t count(const std::string &What) const {
    return static_cast<size_t>(std::ranges::count_if(
        Last, [&](const auto &Row) { return Row.second == What; }));
  }
};

/** Runs of each key in the records of all services. */
std::map<std::string, size_t> runsByKey(const Fleet &All) {
  std::map<std::string, size_t> Runs;
  for (size_t n = 0; n < Services; ++n) {
    const Json State = All.look("service-" + std::to_string(n));
    for (const Json &Row : State.at("records"))
      ++Runs[Row["key"].get<std::string>()];
  }
  return Runs;
}

/** A caller that repeats its bookings through all entries by turns. */
void book(const std::vector<std::string> &At, size_t Caller, bool Tokenless,
          Told &Into) {
  for (size_t n = 0; n < BookingsEach; ++n) {
    Ask What;
    What.Class = "bookings";
    What.Key = std::to_string(Caller) + "-" + std::to_string(n);
    What.Tokenless = Tokenless;
    What.DeadlineMillis = 1000;
    // Without a token a caller stops repeating before the retry horizon.
    const auto End = std::chrono::steady_clock::now() + 2500ms;
    for (size_t i = 0; std::chrono::steady_clock::now() < End; ++i) {
      const Answer Got = askAt(At[(Caller + i) % At.size()], What);
      Into.note(What.Key, Got);
      if (Got.Status == 200)
        break;
      std::this_thread::sleep_for(100ms);
    }
  }
}

/** Everything that befalls the homes, one after the other. */
void disturb(Fleet &All, bool Tokenless, const std::atomic<bool> &Stop) {
  const Json Workers = All.Document["workers"];
  for (size_t n = 0; !Stop; ++n) {
    const std::string Worker = "s" + std::to_string(n % Services);
    const std::string Agent = "agent-" + Worker;
    switch (n % 5) {
    case 0:
      All.control("proxy-" + Worker, {{"lose", true}});
      break;
    case 1:
      // A home by list that restarts refuses for the horizon; two may.
      if (Tokenless && n > Services * 2)
        break;
      All.process(Agent).kill();
      All.restart(Agent);
      break;
    case 2:
      All.control("proxy-" + Worker, {{"cut", true}});
      break;
    case 3:
      All.process(Agent).signal(SIGSTOP);
      std::this_thread::sleep_for(400ms);
      All.process(Agent).signal(SIGCONT);
      break;
    case 4: // A home leaves the list of workers and comes back.
      if (Tokenless && n > Services * 2)
        break;
      All.Document["workers"] = Workers;
      if (n % 2 == 0)
        All.Document["workers"].erase(n % Services);
      All.publish();
      break;
    }
    std::this_thread::sleep_for(200ms);
  }
}

void checkRecords(const Fleet &All, const Told &Seen, const char *Way) {
  const auto Runs = runsByKey(All);
  for (const auto &[Key, n] : Runs)
    BOOST_TEST(n == 1U, "key " << Key << " ran " << n << " times");
  for (const auto &[Key, Last] : Seen.Last) {
    if (Last == "no")
      BOOST_TEST(!Runs.contains(Key), "key " << Key << " told not run");
    if (Last == "answered")
      BOOST_TEST(Runs.contains(Key), "key " << Key << " answered, not run");
  }
  const size_t Keys = Callers * BookingsEach;
  BOOST_TEST_MESSAGE(Way << ": keys " << Keys << ", answered "
                         << Seen.count("answered") << ", unknown at last "
                         << Seen.count("unknown") << ", not run at last "
                         << Seen.count("no") << ", tries " << Seen.Tries
                         << ", told unknown " << Seen.Unknown);
  BOOST_TEST(Seen.count("answered") > 0U);
}

} // namespace

// Callers book slots and repeat their keys through all entries while homes are
// killed and restarted, sleep, lose their connections in silence or at once,
// and the list of workers changes. The services' own records, which outlive
// all that, must show each key at most once.
BOOST_AUTO_TEST_CASE(KeysRunAtMostOnceWhileHomesFail) {
  for (const bool Tokenless : {false, true}) {
    Fleet All(plan());
    All.Document["retry_horizon_ms"] = 3000;
    All.Document["classes"][1]["deadline_ms"] = 1000;
    All.publish();
    BOOST_REQUIRE(All.waitServing(30s));
    std::vector<std::string> At;
    for (size_t n = 0; n < Entries; ++n)
      At.push_back(All.address("entry-" + std::to_string(n), "callers"));
    if (Tokenless) {
      Ask First{"bookings", "huts", {{"n", 1}}, "first", true, 1000};
      BOOST_REQUIRE(
          waitFor(20s, [&] { return askAt(At[0], First).Status == 200; }));
    }
    Told Seen;
    std::atomic<bool> Stop{false};
    std::vector<std::thread> Threads;
    for (size_t n = 0; n < Callers; ++n)
      Threads.emplace_back([&, n] { book(At, n, Tokenless, Seen); });
    std::thread Watch([&] {
      for (std::thread &One : Threads)
        One.join();
      Stop = true;
    });
    disturb(All, Tokenless, Stop);
    Watch.join();
    checkRecords(All, Seen, Tokenless ? "by list" : "by token");
  }
}
