/** @file bench_weights.cpp Seconds until a new version is on all replicas.
 *
 * Real agents on loopback, three domains. In a window W the origin's link
 * carries four copies of the size S and each host's link two, so u = 2 S / W
 * is the rate of a host. The link between two domains carries u each way,
 * shared out among the hosts of the sending domain.
 *
 * Bounds: a host cannot receive S in less than S / u, and a chunk needs
 * log2(N) steps of doubling before it is everywhere, each as long as one chunk
 * takes: S / u x (1 + log2(N) / chunks). Nor can the last chunk leave the
 * origin before S / (4 S / W). time_over_bound is the time to all replicas
 * over the larger of both. One copy must leave the origin, and each chunk must
 * enter each domain once, be it from the origin or from another domain:
 * copies_into_domain is the mean over the domains of what entered, over S.
 */

#include "bench.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <thread>

namespace jacinthpond::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t Chunks = 128;
constexpr size_t ChunkBytes = 32768;
constexpr double TotalBytes = double{Chunks} * ChunkBytes;
/** The window in which the links carry four and two copies. */
constexpr double WindowSeconds = 16;
constexpr double OriginRate = 4 * TotalBytes / WindowSeconds;
constexpr double HostRate = 2 * TotalBytes / WindowSeconds;
constexpr size_t Domains = 3;
constexpr std::chrono::seconds StartLimit{120};
constexpr std::chrono::milliseconds LookPeriod{50};
/** Faults: one host in ten dies, in this part of the shortest transfer. */
constexpr size_t DeathEvery = 10;
constexpr double FirstDeath = 0.1;
constexpr double LastDeath = 0.6;
constexpr int CorruptPercent = 1;

/** One host that is killed in the run. */
struct Death {
  double AtSeconds; ///< After the publication.
  size_t Host;      ///< Which.
};

/** What came out of a run. */
struct Spread {
  std::vector<double> ReadyAt; ///< Seconds until each replica was ready.
  Json Last;                   ///< Last state seen.
};

fleet::FleetPlan planFleet(const BenchOptions &Options) {
  const double PerDomain =
      std::ceil(static_cast<double>(Options.Hosts) / Domains);
  fleet::FleetPlan Plan;
  Plan.ModelWorkers = Options.Hosts;
  Plan.ServiceWorkers = 0;
  Plan.Chunks = 2; // Of the first version, which is loaded before the run.
  Plan.ChunkBytes = ChunkBytes;
  Plan.SharedEngines = true;
  Plan.OriginOptions = {
      {"seed", Options.Seed},
      {"bytes_per_second", static_cast<uint64_t>(OriginRate)}};
  Plan.AgentSettings = {
      {"warm_limit", 2},
      {"uplink_bytes_per_second", static_cast<uint64_t>(HostRate)},
      {"across_bytes_per_second",
       static_cast<uint64_t>((Domains - 1) * HostRate / PerDomain)},
      {"weights_from_peers", !Options.Baseline}};
  return Plan;
}

std::vector<Death> planDeaths(const BenchOptions &Options) {
  std::vector<Death> Deaths;
  if (!Options.Faults)
    return Deaths;
  std::mt19937_64 Random(Options.Seed);
  std::vector<size_t> Hosts(Options.Hosts);
  std::iota(Hosts.begin(), Hosts.end(), size_t{0});
  std::ranges::shuffle(Hosts, Random);
  std::uniform_real_distribution<double> At(FirstDeath, LastDeath);
  for (size_t n = 0; n < std::max(size_t{1}, Options.Hosts / DeathEvery); ++n)
    Deaths.push_back({At(Random) * TotalBytes / HostRate, Hosts[n]});
  std::ranges::sort(Deaths, {}, &Death::AtSeconds);
  return Deaths;
}

/** Follows the spread until all survivors are ready. */
Spread watchSpread(fleet::Fleet &All, const std::string &Set, size_t Survivors,
                   const std::vector<Death> &Deaths, double LimitSeconds) {
  Spread Seen;
  size_t Dead = 0;
  const auto Begin = Clock::now();
  while (Seen.ReadyAt.size() < Survivors) {
    const double Now =
        std::chrono::duration<double>(Clock::now() - Begin).count();
    if (Now > LimitSeconds)
      break;
    for (; Dead < Deaths.size() && Deaths[Dead].AtSeconds <= Now; ++Dead)
      All.process("agent-m" + std::to_string(Deaths[Dead].Host)).kill();
    const Json Health = All.health(0);
    if (Health.contains("weights")) {
      Seen.Last = Health["weights"];
      const size_t Ready = Seen.Last["replicas"].value(Set, size_t{0});
      Seen.ReadyAt.resize(std::max(Seen.ReadyAt.size(), Ready), Now);
    }
    std::this_thread::sleep_for(LookPeriod);
  }
  return Seen;
}

double boundSeconds(size_t Hosts) {
  const double Steps = std::log2(static_cast<double>(Hosts));
  return std::max(TotalBytes / HostRate * (1 + Steps / Chunks),
                  TotalBytes / OriginRate);
}

Json describe(const BenchOptions &Options, const Spread &Seen, size_t Survivors,
              double OriginBytes) {
  const double Bound = boundSeconds(Options.Hosts);
  const double Across = Seen.Last.value("bytes_across", 0.0);
  const bool Whole = Seen.ReadyAt.size() >= Survivors;
  const auto At = [&](double Share) -> Json {
    const auto n =
        static_cast<size_t>(std::ceil(Share * static_cast<double>(Survivors)));
    return n <= Seen.ReadyAt.size() ? Json(Seen.ReadyAt[n - 1]) : Json();
  };
  Json Curve = Json::array();
  for (int n = 1; n <= 10; ++n)
    Curve.push_back(At(n / 10.0));
  return {
      {"chunks", Chunks},
      {"bytes", TotalBytes},
      {"bound_s", Bound},
      {"p50_s", At(0.5)},
      {"p90_s", At(0.9)},
      {"p100_s", At(1)},
      {"time_over_bound", Whole ? Json(Seen.ReadyAt.back() / Bound) : Json()},
      {"failed", Survivors - std::min(Survivors, Seen.ReadyAt.size())},
      {"origin_copies", OriginBytes / TotalBytes},
      {"across_copies", Across / TotalBytes},
      {"copies_into_domain", (OriginBytes + Across) / (Domains * TotalBytes)},
      {"replicas_over_time_s", Curve}};
}

} // namespace

int benchWeights(const BenchOptions &Options) {
  fleet::Fleet All(planFleet(Options));
  if (!fleet::waitFor(StartLimit, [&] {
        const Json Replicas = All.health(0)
                                  .value("weights", Json::object())
                                  .value("replicas", Json::object());
        return Replicas.size() == 1 &&
               Replicas.begin().value() == Options.Hosts;
      }))
    return 1;
  const std::string Set = All.newModel("v2", Chunks);
  if (Options.Faults)
    All.control("origin", {{"corrupt_percent", CorruptPercent}});
  const std::vector<Death> Deaths = planDeaths(Options);
  const size_t Survivors = Options.Hosts - Deaths.size();
  const double Before = All.look("origin").value("bytes", 0.0);
  const Json Start = All.health(0)["weights"];
  All.publish();
  // The naive way needs a fourth of the window for each replica.
  const double Limit =
      WindowSeconds * (4 + static_cast<double>(Options.Hosts) / 2);
  Spread Seen = watchSpread(All, Set, Survivors, Deaths, Limit);
  Seen.Last["bytes_across"] =
      Seen.Last.value("bytes_across", 0.0) - Start.value("bytes_across", 0.0);
  const double Drawn = All.look("origin").value("bytes", 0.0) - Before;
  const Json Figures = describe(Options, Seen, Survivors, Drawn);
  printRun("weights", Options, Figures);
  return Figures["failed"] == 0 ? 0 : 1;
}

} // namespace jacinthpond::bench
