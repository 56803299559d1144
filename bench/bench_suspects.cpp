/** @file bench_suspects.cpp Processor time of recognizing requests that crash
 * back ends.
 */

#include "bench.h"

#include "admission/part_history_func.h"
#include "admission/quarantine_func.h"
#include "forwarding/crash_watch_func.h"
#include "forwarding/request_identity_func.h"

#include <chrono>
#include <string>
#include <vector>

namespace jacinthpond::bench {

namespace {

/** As many suspects as are kept at most, and how many of them are refused. */
constexpr size_t Suspects = 4096;
constexpr size_t Refused = 64;
/** Body of a usual request. */
constexpr size_t BodyBytes = 700;
/** Parts of a prompt that a request shares with others. */
constexpr size_t Parts = 10;
/** A lost domain: back ends, and requests at each that had not begun. */
constexpr size_t LostBackEnds = 180;
constexpr size_t LostRequests = 16;
/** Rounds between two readings of the clock. */
constexpr size_t Batch = 100;

Digest identityOf(const std::string &Body) {
  return routeFingerprint(WorkspaceName{"tenant"},
                          {"POST", "h.example", "/write/report", {Body}});
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

/** Digests of the parts of a prompt; requests of the same group share some. */
std::vector<Digest> partsOf(size_t Group) {
  std::vector<Digest> All;
  for (size_t n = 0; n < Parts; ++n)
    All.push_back(partFingerprint(
        ModelName{"model"},
        PartId{std::to_string(n < Parts / 2 ? n : Group * Parts + n)}));
  return All;
}

/** Adds a part that is refused. */
Digest addRefusedPart(Quarantine &State, TimePoint Now) {
  const Digest Part = partsOf(1).back();
  for (int n = 0; n < 4; ++n)
    applySuspectNotice(State,
                       {Part, "p-" + std::to_string(n), 0, false, false,
                        identityOf(std::to_string(n))},
                       Now);
  return Part;
}

/** Measures the time to find who is suspect after a domain is lost, in
 * milliseconds. */
double millisOfLostDomain(TimePoint Now) {
  CrashWatch Watch;
  for (size_t n = 0; n < LostBackEnds; ++n)
    for (size_t i = 0; i < LostRequests; ++i) {
      const size_t Request = n * LostRequests + i;
      const std::string Run = "w" + std::to_string(n);
      const Digest Content = identityOf(std::to_string(Request));
      recordBrokenAnswer(Watch, Run, Content, Now);
      recordUnbegunParts(Watch, Run, {Content, partsOf(Request)});
      recordAddressCheck(Watch, Run, AddressCheck::Refused);
    }
  const auto Start = std::chrono::steady_clock::now();
  takeCrashNotices(Watch, Now);
  const std::chrono::duration<double, std::milli> Took =
      std::chrono::steady_clock::now() - Start;
  return Took.count();
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
  Quarantine State = fullQuarantine(Now);
  const Digest FatalPart = addRefusedPart(State, Now);
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
  const double OfFatalPart = microsOf(Length, [&] { LookUp(FatalPart); });
  const double OfParts = microsOf(Length, [&] {
    for (const Digest &One : partsOf(Found % Suspects))
      recordBegun(State.Seen, One, Now, Now);
    ++Found;
  });
  printRun("suspects", Options,
           {{"suspects", State.Suspects.size()},
            {"found", Found},
            {"us_per_identity", Identity},
            {"us_per_clean_request", OfClean},
            {"us_per_refused_request", OfFatal},
            {"us_per_refused_part", OfFatalPart},
            {"us_per_answer_with_parts", OfParts},
            {"parts_recorded", State.Seen.Parts.size()},
            {"ms_of_lost_domain", millisOfLostDomain(Now)}});
  return 0;
}

} // namespace jacinthpond::bench
