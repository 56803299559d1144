/** @file bench_choice.cpp Processor time of the choice of a back end. */

#include "bench.h"

#include "forwarding/server_notice_func.h"
#include "forwarding/server_pool_func.h"

#include <chrono>
#include <memory>

namespace jacinthpond::bench {

namespace {

/** Failure domains that the back ends are in by turns. */
constexpr size_t Domains = 10;
constexpr uint32_t Slots = 16;
/** Choices between two readings of the clock. */
constexpr size_t Batch = 100;
constexpr std::chrono::minutes Pause{10};

Document documentOf(size_t Servers) {
  Document Doc;
  Service Spec;
  Spec.Name.Value = "llm";
  Spec.Model.Value = "m";
  Doc.Services = {Spec};
  ModelVersion Wanted;
  Wanted.Name.Value = "m";
  Wanted.Version = "1";
  Wanted.Set.Value = "m@1";
  Doc.Models = {Wanted};
  for (size_t n = 0; n < Servers; ++n) {
    BackEndServer One;
    One.Id.Value = "i-" + std::to_string(n);
    One.Service = Spec.Name;
    One.At.Value = "10.0.0.1:" + std::to_string(n);
    One.Domain.Value = "d" + std::to_string(n % Domains);
    One.Slots = Slots;
    One.Weights = Wanted.Set;
    Doc.Servers.push_back(One);
  }
  return Doc;
}

} // namespace

int benchChoice(const BenchOptions &Options) {
  ServerPool Pool;
  Pool.Options.Domain.Value = "d0";
  Pool.Random = Options.Seed | 1U;
  const TimePoint Now{std::chrono::hours(1)};
  applyPoolDocument(Pool,
                    std::make_shared<const Document>(documentOf(Options.Hosts)),
                    Now, Now);
  if (Options.Faults)
    for (size_t n = 0; n < Options.Hosts; n += 2)
      recordPause(Pool, {"i-" + std::to_string(n)}, Pause, Now);
  Route Matched;
  Matched.Target = Millis(400);
  ServerNeeds Needs;
  Needs.Service.Value = "llm";
  Needs.MatchedRoute = &Matched;
  size_t Choices = 0;
  size_t Found = 0;
  const auto Start = std::chrono::steady_clock::now();
  const auto End = Start + std::chrono::seconds(Options.Seconds);
  while (std::chrono::steady_clock::now() < End)
    for (size_t n = 0; n < Batch; ++n, ++Choices)
      Found += chooseServer(Pool, Needs, Now).Server != nullptr ? 1 : 0;
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  printRun("choice", Options,
           {{"choices", Choices},
            {"found", Found},
            {"us_per_choice", Took.count() / static_cast<double>(Choices)}});
  return 0;
}

} // namespace jacinthpond::bench
