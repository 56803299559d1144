/** @file bench_suspects.cpp Processor time of recognizing requests that crash
 * back ends.
 */

#include "bench.h"

#include "admission/quarantine_func.h"
#include "forwarding/request_identity_func.h"

#include <chrono>
#include <string>

namespace jacinthpond::bench {

namespace {

/** As many suspects as are kept at most, and how many of them are refused. */
constexpr size_t Suspects = 4096;
constexpr size_t Refused = 64;
/** Body of a usual request. */
constexpr size_t BodyBytes = 700;
/** Rounds between two readings of the clock. */
constexpr size_t Batch = 100;

Digest identityOf(const std::string &Body) {
  return routeFingerprint(WorkspaceName{"tenant"},
                          {"POST", "h.example", "/write/report", Body});
}

Quarantine fullQuarantine(TimePoint Now) {
  Quarantine State;
  for (size_t n = 0; n < Suspects; ++n)
    for (size_t Death = 0; Death < (n < Refused ? 2 : 1); ++Death)
      applySuspectNotice(
          State,
          {identityOf(std::to_string(n)),
           "i-" + std::to_string(n) + "/" + std::to_string(Death), 0, false,
           false},
          Now);
  return State;
}

/** Measures the mean time of one call, in microseconds. */
template <typename Work> double microsOf(std::chrono::seconds Length, Work Do) {
  size_t Calls = 0;
  const auto Start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < Start + Length)
    for (size_t n = 0; n < Batch; ++n, ++Calls)
      Do();
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  return Took.count() / static_cast<double>(Calls);
}

} // namespace

int benchSuspects(const BenchOptions &Options) {
  const TimePoint Now{std::chrono::hours(1)};
  const Quarantine State = fullQuarantine(Now);
  const std::string Body(BodyBytes, 'x');
  const Digest Clean = identityOf(Body);
  const Digest Fatal = identityOf("0");
  const std::chrono::seconds Length(Options.Seconds);
  size_t Found = 0;
  const auto LookUp = [&](const Digest &Request) {
    Found += suspicionOf(State, Request, Now) == Suspicion::Refuse ? 1 : 0;
  };
  const double Identity = microsOf(
      Length, [&] { Found += identityOf(Body).Value.empty() ? 1 : 0; });
  const double OfClean = microsOf(Length, [&] { LookUp(Clean); });
  const double OfFatal = microsOf(Length, [&] { LookUp(Fatal); });
  printRun("suspects", Options,
           {{"suspects", State.Suspects.size()},
            {"found", Found},
            {"us_per_identity", Identity},
            {"us_per_clean_request", OfClean},
            {"us_per_refused_request", OfFatal}});
  return 0;
}

} // namespace jacinthpond::bench
