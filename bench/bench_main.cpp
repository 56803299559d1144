/** @file bench_main.cpp Program jp-bench: one measurement a run. */

#include "bench.h"

#include <popt.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

namespace jacinthpond::bench {

namespace {

/** All measurements by name. */
const std::map<std::string, int (*)(const BenchOptions &)> &measurements() {
  static const std::map<std::string, int (*)(const BenchOptions &)> All = {
      {"choice", benchChoice},       {"suspects", benchSuspects},
      {"coldstart", benchColdstart}, {"domain", benchDomain},
      {"overload", benchOverload},   {"path", benchPath},
      {"routing", benchRouting},     {"silence", benchSilence},
      {"spread", benchSpread},       {"weights", benchWeights}};
  return All;
}

int usage() {
  std::cerr << "usage: jp-bench [OPTIONS] MEASUREMENT; one of:";
  for (const auto &[Name, Function] : measurements())
    std::cerr << " " << Name;
  std::cerr << "\n";
  return 2;
}

int parseAndRun(int Count, const char **Arguments) {
  BenchOptions Asked;
  int Hosts = static_cast<int>(Asked.Hosts);
  int Seconds = static_cast<int>(Asked.Seconds);
  long long Seed = 1;
  int Baseline = 0;
  int Faults = 0;
  int PerSecond = static_cast<int>(Asked.PerSecond);
  int SilentMillis = static_cast<int>(Asked.SilentMillis);
  int EveryMillis = static_cast<int>(Asked.EveryMillis);
  const char *Changes = nullptr;
  const std::vector<poptOption> Options = {
      {"hosts", 0, POPT_ARG_INT, &Hosts, 0, "Backend server hosts", "N"},
      {"seconds", 0, POPT_ARG_INT, &Seconds, 0, "Length of a phase", "N"},
      {"seed", 0, POPT_ARG_LONGLONG, &Seed, 0, "Seed of random choices", "N"},
      {"baseline", 0, POPT_ARG_NONE, &Baseline, 0, "Measure the naive way",
       nullptr},
      {"faults", 0, POPT_ARG_NONE, &Faults, 0, "Measure under faults", nullptr},
      {"per-second", 0, POPT_ARG_INT, &PerSecond, 0, "Requests a second", "N"},
      {"silent-ms", 0, POPT_ARG_INT, &SilentMillis, 0,
       "How long a server is silent", "MS"},
      {"every-ms", 0, POPT_ARG_INT, &EveryMillis, 0,
       "Time between two silences", "MS"},
      {"plain-share", 0, POPT_ARG_DOUBLE, &Asked.PlainShare, 0,
       "Share of the silences at plain back ends", "X"},
      {"changes", 0, POPT_ARG_STRING, &Changes, 0,
       "Kind of changes of the configuration", "NAME"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> Context(
      poptGetContext("jp-bench", Count, Arguments, Options.data(), 0),
      poptFreeContext);
  if (poptGetNextOpt(Context.get()) < -1 || Hosts < 1 || Seconds < 1 ||
      PerSecond < 1 || SilentMillis < 0 || EveryMillis < 1)
    return usage();
  const char *Name = poptGetArg(Context.get());
  if (Name == nullptr || !measurements().contains(Name))
    return usage();
  Asked.Hosts = static_cast<size_t>(Hosts);
  Asked.Seconds = static_cast<size_t>(Seconds);
  Asked.Seed = static_cast<uint64_t>(Seed);
  Asked.Baseline = Baseline != 0;
  Asked.Faults = Faults != 0;
  Asked.PerSecond = static_cast<size_t>(PerSecond);
  Asked.SilentMillis = static_cast<size_t>(SilentMillis);
  Asked.EveryMillis = static_cast<size_t>(EveryMillis);
  Asked.Changes = Changes == nullptr ? "" : Changes;
  return measurements().at(Name)(Asked);
}

} // namespace

void printRun(const std::string &Name, const BenchOptions &Options,
              const Json &Figures) {
  Json Line = {{"bench", Name},
               {"seed", Options.Seed},
               {"hosts", Options.Hosts},
               {"baseline", Options.Baseline},
               {"faults", Options.Faults},
               {"cores", std::thread::hardware_concurrency()}};
  Line.update(Figures);
  std::cout << Line.dump() << std::endl;
}

double quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return 0;
  std::ranges::sort(Samples);
  const auto n =
      static_cast<size_t>(Share * static_cast<double>(Samples.size() - 1));
  return Samples[n];
}

} // namespace jacinthpond::bench

int main(int Count, char **Arguments) {
  return jacinthpond::bench::parseAndRun(Count,
                                         const_cast<const char **>(Arguments));
}
