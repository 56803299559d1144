/** @file checks.cpp The promises, checked from the stand-ins' records. */

#include "chaos/checks.h"

#include "base/hash_func.h"

#include <algorithm>

namespace jacinthpond::chaos {

using fleet::Json;

namespace {

/** The answer that the engine stand-in must give; see tests/standin. */
std::string rightText(const std::string &Body, const std::string &Weights) {
  const size_t Count = Json::parse(Body).value("max_tokens", size_t{8});
  std::string Text;
  for (size_t n = 0; n < Count; ++n)
    Text += sha256(Body + "|" + Weights + "|" + std::to_string(n))
                .Value.substr(0, 8) +
            " ";
  return Text;
}

void checkAnswers(const Ledger &Seen, const std::set<std::string> &Published,
                  std::vector<std::string> &Broken) {
  for (const ModelAnswer &One : Seen.Answers) {
    if (!Published.contains(One.Weights))
      Broken.push_back("1: answer from weights never published");
    if (One.Text != rightText(One.Body, One.Weights))
      Broken.push_back("4: wrong or short answer to " + One.Body);
  }
}

void checkEngines(const fleet::Fleet &All,
                  const std::set<std::string> &Published,
                  std::vector<std::string> &Broken) {
  const int Cold = All.Plan.EngineOptions.value("cold_bears", 2);
  const int Warm = All.Plan.EngineOptions.value("bears", 16);
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n) {
    const std::string Name = "engine-" + std::to_string(n);
    const Json State = All.look(Name);
    for (const Json &Loaded : State["loads"])
      if (!Published.contains(Loaded))
        Broken.push_back("1: " + Name + " loaded a mixed or partial set");
    if (State.value("max_running", 0) > Warm)
      Broken.push_back("2: " + Name + " ran more than it bears when warm");
    if (State.value("max_running_cold", 0) > Cold)
      Broken.push_back("2: " + Name + " ran " +
                       State["max_running_cold"].dump() + " while cold");
  }
}

/** All records of all plain services. */
std::vector<Json> serviceRecords(const fleet::Fleet &All) {
  std::vector<Json> Records;
  for (size_t n = 0; n < All.Plan.ServiceWorkers; ++n) {
    const Json State = All.look("service-" + std::to_string(n));
    for (const Json &One : State["records"])
      Records.push_back(One);
  }
  return Records;
}

void checkServices(const fleet::Fleet &All, const Ledger &Seen,
                   std::vector<std::string> &Broken) {
  std::map<std::string, int> Runs;
  std::set<std::string> Bodies;
  for (const Json &One : serviceRecords(All)) {
    Bodies.insert(One.value("body", ""));
    if (!One.value("key", "").empty())
      ++Runs[One.value("key", "")];
  }
  for (const auto &[Key, Count] : Runs)
    if (Count > 1)
      Broken.push_back("6: " + Key + " ran " + std::to_string(Count) +
                       " times");
  for (const auto &[Body, Last] : Seen.Calls)
    if (Last == Told::NotRun && Bodies.contains(Body))
      Broken.push_back("5: " + Body + " ran, its caller was told not");
  for (const auto &[Key, Last] : Seen.Bookings) {
    if (Last == Told::NotRun && Runs.contains(Key))
      Broken.push_back("5: " + Key + " ran, its caller was told not");
    if (Last == Told::Answered && !Runs.contains(Key))
      Broken.push_back("6: " + Key + " answered but never ran");
  }
  for (const auto &[Key, Answers] : Seen.BookingAnswers)
    if (Answers.size() > 1)
      Broken.push_back("6: " + Key + " got different answers");
}

} // namespace

std::vector<std::string> checkPromises(const fleet::Fleet &All,
                                       const Ledger &Seen,
                                       const std::set<std::string> &Published) {
  std::vector<std::string> Broken;
  checkAnswers(Seen, Published, Broken);
  checkEngines(All, Published, Broken);
  checkServices(All, Seen, Broken);
  return Broken;
}

std::vector<std::string> VersionWatch::look(const fleet::Fleet &All) {
  std::vector<std::string> Back;
  for (size_t n = 0; n < All.Plan.Entries; ++n) {
    const std::string Name = "entry-" + std::to_string(n);
    const int Pid = All.pidOf(Name);
    const Json State = All.health(n);
    const uint64_t Version = State.value("version", uint64_t{0});
    auto &[LastPid, Last] = Highest[Name];
    if (LastPid == Pid && Pid != 0 && !State.empty() && Version < Last)
      Back.push_back("9: " + Name + " went from " + std::to_string(Last) +
                     " to " + std::to_string(Version));
    if (!State.empty() || LastPid != Pid)
      Last = Version;
    LastPid = Pid;
  }
  return Back;
}

} // namespace jacinthpond::chaos
