/** @file bench_domain.cpp Service while a failure domain goes and returns. */

#include "bench.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <string>
#include <thread>

namespace jacinthpond::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds ReadyLimit{30};
/** Requests that an engine bears, their tokens and the time of each. */
constexpr int Bears = 4;
constexpr int Tokens = 20;
constexpr int TokenMillis = 10;
/** Share of what two domains bear that is offered. */
constexpr double OfferedShare = 0.7;
/** Every so many requests one goes to the plain service. */
constexpr size_t StatusEvery = 4;
/** Requests open at a time at most. */
constexpr size_t Callers = 96;
/** Addresses that a caller tries, all entries several times. */
constexpr size_t MaxTries = 9;
/** Target for the first token of the classes used here, in milliseconds. */
constexpr double TargetMillis = 1400;
constexpr std::chrono::milliseconds MoveOnWait{50};

/** One request of a caller. */
struct Sample {
  double Begin = 0; ///< Seconds since the start.
  double First = 0; ///< Milliseconds to the first token or plain answer.
  bool Whole = false;
  bool Model = true; ///< Class reports, else class status.
};

fleet::FleetPlan planFor(bool Baseline) {
  fleet::FleetPlan Plan;
  Plan.EngineOptions = {{"bears", Bears},
                        {"token_ms", TokenMillis},
                        {"cold_bears", 1},
                        {"warm_after", 8}};
  Plan.AgentSettings = {{"warm_limit", Bears}, {"cold_limit", 1}};
  if (Baseline) {
    Plan.EntrySettings = {{"random_routing", true}};
    Plan.AgentSettings["cold_limit"] = Bears;
  }
  return Plan;
}

/** Tries once; sets the time of the first token. */
bool tryOnce(const std::string &At, Sample &One, size_t n,
             Clock::time_point Sent) {
  httplib::Client Client("http://" + At);
  Client.set_tcp_nodelay(true);
  std::string Body;
  double First = -1;
  httplib::Request Asked;
  Asked.method = "POST";
  Asked.path = std::string("/v1/classes/") +
               (One.Model ? "reports" : "status") + "/requests";
  Asked.headers = {{"X-Tenant", "huts"}};
  if (One.Model)
    Asked.headers.emplace("Accept", "text/event-stream");
  Asked.body =
      Json({{"prompt", std::to_string(n)}, {"max_tokens", Tokens}}).dump();
  Asked.content_receiver = [&](const char *Data, size_t Size, uint64_t,
                               uint64_t) {
    if (First < 0)
      First = std::chrono::duration<double, std::milli>(Clock::now() - Sent)
                  .count();
    Body.append(Data, Size);
    return true;
  };
  const httplib::Result Got = Client.send(Asked);
  One.First = First;
  return Got && Got->status == 200 &&
         (!One.Model || Body.find("event: end") != std::string::npos);
}

/** Sends requests at a fixed rate until the time is over. */
class SteadyLoad {
public:
  SteadyLoad(std::vector<std::string> Entries, double PerSecond, double Seconds)
      : Addresses(std::move(Entries)), Start(Clock::now()) {
    const auto Count = static_cast<size_t>(PerSecond * Seconds);
    for (size_t Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([this, Caller, Count, PerSecond] {
        for (size_t n = Caller; n < Count; n += Callers) {
          const std::chrono::duration<double> At(static_cast<double>(n) /
                                                 PerSecond);
          std::this_thread::sleep_until(
              Start + std::chrono::duration_cast<Clock::duration>(At));
          send(n);
        }
      });
  }

  std::vector<Sample> finish() {
    for (std::thread &One : Threads)
      One.join();
    return Samples;
  }

private:
  void send(size_t n) {
    Sample One;
    One.Model = n % StatusEvery != 0;
    const auto Sent = Clock::now();
    One.Begin = std::chrono::duration<double>(Sent - Start).count();
    for (size_t Try = 0; Try < MaxTries && !One.Whole; ++Try) {
      if (Try > 0)
        std::this_thread::sleep_for(MoveOnWait);
      One.Whole =
          tryOnce(Addresses[(n + Try) % Addresses.size()], One, n, Sent);
    }
    const std::lock_guard Lock(Guard);
    Samples.push_back(One);
  }

  std::vector<std::string> Addresses;
  Clock::time_point Start;
  std::vector<std::thread> Threads;
  std::mutex Guard; ///< Guards Samples.
  std::vector<Sample> Samples;
};

Json describe(const std::vector<Sample> &All, bool Model, double From,
              double Until) {
  std::vector<double> Good;
  size_t Sent = 0;
  for (const Sample &One : All) {
    if (One.Model != Model || One.Begin < From || One.Begin >= Until)
      continue;
    ++Sent;
    if (One.Whole)
      Good.push_back(One.First);
  }
  const auto InTarget = std::ranges::count_if(
      Good, [](double Took) { return Took <= TargetMillis; });
  return {{"sent", Sent},
          {"failed", Sent - Good.size()},
          {"in_target",
           static_cast<double>(InTarget) / std::max(1.0, double(Sent))},
          {"p50_ms", quantile(Good, 0.5)},
          {"p95_ms", quantile(Good, 0.95)}};
}

/** The processes of the first domain. */
std::vector<std::string> firstDomain(const fleet::Fleet &All) {
  std::vector<std::string> Names = {"entry-0", "agent-s0"};
  for (size_t n = 0; n < All.Plan.ModelWorkers; ++n)
    if (All.domainOf(n) == All.Plan.Domains[0])
      Names.push_back("agent-m" + std::to_string(n));
  return Names;
}

void goOut(fleet::Fleet &All, bool Killed) {
  if (Killed) {
    for (const std::string &Name : firstDomain(All))
      All.process(Name).kill();
    return;
  }
  All.Document["domains_out"] = {All.Plan.Domains[0]};
  All.publish();
}

void comeBack(fleet::Fleet &All, bool Killed) {
  if (Killed) {
    for (const std::string &Name : firstDomain(All))
      All.restart(Name);
    return;
  }
  All.Document["domains_out"] = Json::array();
  All.publish();
}

/** Figures of a class in the three phases. */
Json phases(const std::vector<Sample> &All, bool Model, double Length) {
  Json Found;
  for (const auto &[Name, n] :
       {std::pair{"before", 0}, {"during", 1}, {"after", 2}})
    Found[Name] = describe(All, Model, n * Length, (n + 1) * Length);
  const double Before = Found["before"]["p95_ms"];
  Found["p95_ratio"] = std::max(Found["during"]["p95_ms"].get<double>(),
                                Found["after"]["p95_ms"].get<double>()) /
                       std::max(Before, 0.001);
  return Found;
}

} // namespace

int benchDomain(const BenchOptions &Options) {
  fleet::Fleet All(planFor(Options.Baseline));
  if (!All.waitServing(ReadyLimit))
    return 1;
  std::vector<std::string> Entries;
  for (size_t n = 0; n < All.Plan.Entries; ++n)
    Entries.push_back(All.address("entry-" + std::to_string(n), "callers"));
  const double Workers = static_cast<double>(All.Plan.ModelWorkers) * 2 / 3;
  const double Borne = Workers * Bears * 1000 / (Tokens * TokenMillis);
  const double Rate = OfferedShare * Borne * StatusEvery / (StatusEvery - 1);
  SteadyLoad(Entries, Rate / 2, 4).finish(); // Warms all engines.
  const auto Length = static_cast<double>(Options.Seconds);
  const auto Start = Clock::now();
  SteadyLoad Load(Entries, Rate, 3 * Length);
  std::this_thread::sleep_until(Start + std::chrono::seconds(Options.Seconds));
  goOut(All, Options.Faults);
  std::this_thread::sleep_until(Start +
                                std::chrono::seconds(2 * Options.Seconds));
  comeBack(All, Options.Faults);
  const std::vector<Sample> Samples = Load.finish();
  const Json Reports = phases(Samples, true, Length);
  const Json Status = phases(Samples, false, Length);
  const auto Failed = std::ranges::count_if(
      Samples, [](const Sample &One) { return !One.Whole; });
  printRun("domain", Options,
           {{"per_second", Rate},
            {"failed", Failed},
            {"p95_ratio", Reports["p95_ratio"]},
            {"reports", Reports},
            {"status", Status}});
  return 0;
}

} // namespace jacinthpond::bench
