/** @file bench_spread.cpp How fast and at what price a version spreads. */

#include "bench.h"
#include "codec/message_codec.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

namespace jacinthpond::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds StartLimit{120};
constexpr std::chrono::seconds SpreadLimit{30};
/** Versions that are published one after the other. */
constexpr int Publications = 8;
/** One process in so many is an entry. */
constexpr size_t ProcessesForEntry = 5;
/** Time between two rounds of questions; they cost processor time too. */
constexpr std::chrono::milliseconds AskPeriod{20};

double secondsSince(Clock::time_point Begin) {
  return std::chrono::duration<double>(Clock::now() - Begin).count();
}

/** Waits until each entry and all its peers have the published version. */
bool waitEverywhere(const fleet::Fleet &All, std::chrono::seconds Limit) {
  const uint64_t Wanted = All.Document["version"];
  const auto End = Clock::now() + Limit;
  for (size_t n = 0; n < All.Plan.Entries; ++n)
    for (;;) {
      const Json State = All.health(n);
      if (State.value("version", uint64_t{0}) == Wanted &&
          State.value("fresh", false) && State.value("links_behind", 1) == 0 &&
          State.value("ready_workers", size_t{0}) == All.Plan.ServiceWorkers)
        break;
      if (Clock::now() >= End)
        return false;
      std::this_thread::sleep_for(AskPeriod);
    }
  return true;
}

/** Seconds of processor time that a process has used. */
double cpuSeconds(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text(std::istreambuf_iterator<char>(File), {});
  std::istringstream Rest(Text.substr(Text.rfind(')') + 1));
  const std::vector<std::string> Words{std::istream_iterator<std::string>(Rest),
                                       {}};
  constexpr size_t UserTime = 11; // Counted from the state, which is word 0.
  return (std::stod(Words.at(UserTime)) + std::stod(Words.at(UserTime + 1))) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Resident memory of a process in MiB. */
double residentMiB(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  double Size = 0;
  double Resident = 0;
  File >> Size >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/** What is used while nothing is published and nobody asks. */
Json quietUse(fleet::Fleet &All, size_t Seconds) {
  const int Entry = All.process("entry-0").pid();
  const int Agent = All.process("agent-s0").pid();
  const double EntryBefore = cpuSeconds(Entry);
  const double AgentBefore = cpuSeconds(Agent);
  const uint64_t Calls = All.look("platform")["calls"];
  const auto Begin = Clock::now();
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
  const double Took = secondsSince(Begin);
  const uint64_t CallsAfter = All.look("platform")["calls"];
  return {
      {"service_calls_per_s", static_cast<double>(CallsAfter - Calls) / Took},
      {"entry_cpu_share", (cpuSeconds(Entry) - EntryBefore) / Took},
      {"agent_cpu_share", (cpuSeconds(Agent) - AgentBefore) / Took},
      {"entry_mib", residentMiB(Entry)},
      {"agent_mib", residentMiB(Agent)}};
}

/** Bytes of one heartbeat on a link, without the headers of TCP and IP. */
size_t heartbeatBytes() {
  constexpr size_t FrameHeader = 8; // Length and mask of a websocket frame.
  constexpr size_t DigestChars = 64;
  Heartbeat Beat;
  Beat.Sequence = 100000;
  Beat.Run.Value = UINT64_MAX >> 1U;
  Beat.Version.Value = 100000;
  Beat.ConfigDigest.Value = std::string(DigestChars, 'a');
  Beat.Load.Weights = Beat.ConfigDigest;
  return encodeMessage(Beat).size() + FrameHeader;
}

} // namespace

int benchSpread(const BenchOptions &Options) {
  fleet::FleetPlan Plan;
  Plan.Entries = std::max<size_t>(3, Options.Hosts / ProcessesForEntry);
  Plan.ModelWorkers = 0;
  Plan.ServiceWorkers = Options.Hosts - Plan.Entries;
  Plan.SharedService = true;
  fleet::Fleet All(Plan);
  if (!waitEverywhere(All, StartLimit))
    return 1;
  const Json Quiet = quietUse(All, Options.Seconds);
  std::vector<double> Took;
  const uint64_t Calls = All.look("platform")["calls"];
  const auto Begin = Clock::now();
  for (int n = 0; n < Publications; ++n) {
    const auto Published = Clock::now();
    All.publish();
    if (!waitEverywhere(All, SpreadLimit))
      return 1;
    Took.push_back(secondsSince(Published));
  }
  const uint64_t CallsAfter = All.look("platform")["calls"];
  Json Figures = {{"entries", Plan.Entries},
                  {"agents", Plan.ServiceWorkers},
                  {"entry_links", All.health(0)["links"]},
                  {"seconds_median", quantile(Took, 0.5)},
                  {"seconds_worst", quantile(Took, 1.0)},
                  {"calls_while_publishing", CallsAfter - Calls},
                  {"seconds_publishing", secondsSince(Begin)},
                  {"document_bytes", All.Document.dump().size()},
                  {"heartbeat_bytes", heartbeatBytes()}};
  Figures.update(Quiet);
  printRun("spread", Options, Figures);
  return 0;
}

} // namespace jacinthpond::bench
