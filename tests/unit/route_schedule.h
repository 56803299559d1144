/** @file route_schedule.h Days for the model of route_model.h, and their
 * stories.
 */

#ifndef JACINTHPOND_TESTS_UNIT_ROUTE_SCHEDULE_H
#define JACINTHPOND_TESTS_UNIT_ROUTE_SCHEDULE_H

#include "route_model.h"

#include <random>
#include <sstream>

namespace jacinthpond::model {

/** A day: what happens, and when. */
struct Schedule {
  uint64_t Seed = 0;               ///< Draws delays and requests.
  std::vector<Incident> Incidents; ///< In order of time.
  bool WithParts = false;          ///< Prompts have parts.
  uint32_t Slots = 8;              ///< Slots of a worker.
};

/** Time before the first incident; everything is up by then. */
constexpr Millis Settled{7000};
/** Time from then in which incidents begin. */
constexpr Millis Span{20000};
/** Length of a day; what was named last is over by then. */
constexpr Millis Day{42000};

inline std::string text(const Schedule &One) {
  std::ostringstream Out;
  Out << "seed " << One.Seed << '\n';
  for (const Incident &Each : One.Incidents)
    Out << "  " << text(Each) << '\n';
  return Out.str();
}

/** Rate limits that back ends set, in requests a second. */
constexpr std::array<double, 5> Rates = {0, 0.3, 1.8, 2.7, 40};

/** Paths of requests that crash back ends. */
constexpr std::array<const char *, 4> FatalPaths = {"/write/", "/chat/",
                                                    "/book/", "/look/"};

/** Draws one incident. */
class IncidentMaker {
public:
  explicit IncidentMaker(uint64_t Seed) : Random(Seed) {}

  size_t below(size_t Bound) { return Random() % Bound; }

  Millis between(int Least, int Most) {
    const auto Bound = static_cast<size_t>(Most) + 1;
    return Millis(Least) + Millis(below(Bound - static_cast<size_t>(Least)));
  }

  Incident draw(Trouble Kind) {
    Incident One;
    One.Kind = Kind;
    One.At = Settled + between(0, static_cast<int>(Span.count()));
    One.Length = between(200, 7000);
    switch (Kind) {
    case Trouble::StandStill:
    case Trouble::Restart:
      One.Who = below(3) > 0 ? entry() : worker();
      break;
    case Trouble::CutLink:
    case Trouble::HoldLink:
      One.Who = entry();
      One.Other = below(2) == 0 ? worker() : entry();
      if (One.Other == One.Who)
        One.Other = worker();
      break;
    case Trouble::StoreAwayFor:
      One.Who = below(2) == 0 ? entry() : worker();
      break;
    case Trouble::HostStill:
      One.Who = worker();
      break;
    case Trouble::Drain:
    case Trouble::WorkerEnds:
      One.Who = below(2) == 0 ? worker() : "p" + std::to_string(below(2));
      break;
    case Trouble::Shed:
      One.Who = below(3) > 0 ? worker() : "p" + std::to_string(below(2));
      One.Pause = between(1000, 4000);
      break;
    case Trouble::Leaves:
      One.Who = below(2) == 0 ? worker() : "p" + std::to_string(below(2));
      break;
    case Trouble::RateLimit:
      One.Who = below(3) > 0 ? worker() : "p" + std::to_string(below(2));
      One.Length = between(4000, 14000);
      One.PerSecond = Rates.at(below(Rates.size()));
      break;
    case Trouble::Fatal:
    case Trouble::FatalPart:
      One.Who = FatalPaths.at(below(FatalPaths.size()));
      One.Length = between(3000, 14000);
      break;
    case Trouble::Silence:
      One.Who = below(3) > 0 ? worker() : "p" + std::to_string(below(2));
      One.Length = between(300, 1300);
      break;
    case Trouble::DomainOut:
      One.Who = "z" + std::to_string(below(2));
      One.Length = between(1000, 12000);
      break;
    case Trouble::KeyGone:
      One.Length = between(1000, 12000);
      break;
    default:
      break;
    }
    return One;
  }

  /** Draws a process that does not run while something happens. */
  Incident beside(const Incident &What) {
    Incident One = draw(Trouble::StandStill);
    One.At = std::max(What.At - between(0, 5000), Settled);
    return One;
  }

  /** Draws a worker that stands still when its old weights may begin no more.
   */
  Incident whenOver(const Incident &Weights) {
    Incident One = draw(Trouble::HostStill);
    One.At = Weights.At + between(5500, 7000);
    One.Length = between(1000, 4000);
    return One;
  }

private:
  std::string entry() { return "e" + std::to_string(below(4)); }
  std::string worker() { return "w" + std::to_string(below(4)); }

  std::mt19937_64 Random;
};

/** Makes the day of a seed: new weights once to three times, and up to nine
 * other incidents. */
inline Schedule makeSchedule(uint64_t Seed) {
  IncidentMaker Maker(Seed);
  Schedule One;
  One.Seed = Seed;
  for (size_t n = 1 + Maker.below(3); n > 0; --n) {
    const Incident Named = Maker.draw(Trouble::NewWeights);
    One.Incidents.push_back(Named);
    if (Maker.below(3) == 0)
      One.Incidents.push_back(Maker.beside(Named));
    if (Maker.below(3) == 0)
      One.Incidents.push_back(Maker.whenOver(Named));
    // A second one soon after, before the first has reached any worker.
    if (Maker.below(4) > 0)
      continue;
    Incident Next = Maker.draw(Trouble::NewWeights);
    Next.At = Named.At;
    Next.At += Maker.between(100, 4000);
    One.Incidents.push_back(Next);
  }
  for (size_t n = Maker.below(10); n > 0; --n)
    One.Incidents.push_back(
        Maker.draw(static_cast<Trouble>(Maker.below(KindsWithoutRates))));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** Adds rate limits of back ends, one to five, to the day of a seed. */
inline Schedule makeLimitedSchedule(uint64_t Seed) {
  Schedule One = makeSchedule(Seed);
  IncidentMaker Maker(~Seed);
  for (size_t n = 1 + Maker.below(5); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::RateLimit));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** Adds back ends that shed load or say that they leave, one to five, to the
 * day of a seed. */
inline Schedule makeNoticedSchedule(uint64_t Seed) {
  Schedule One = makeSchedule(Seed);
  IncidentMaker Maker(Seed ^ (Seed << 32U));
  for (size_t n = 1 + Maker.below(5); n > 0; --n)
    One.Incidents.push_back(
        Maker.draw(Maker.below(3) > 0 ? Trouble::Shed : Trouble::Leaves));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** Adds one or two requests that crash back ends, and crashes of other causes,
 * to the day of a seed. */
inline Schedule makeCrashingSchedule(uint64_t Seed) {
  Schedule One = makeSchedule(Seed);
  IncidentMaker Maker(~Seed ^ (Seed << 32U));
  for (size_t n = 1 + Maker.below(2); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::Fatal));
  for (size_t n = Maker.below(4); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::WorkerEnds));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** Adds one or two parts that crash back ends, other requests that do so, and
 * crashes of other causes, to the day of a seed. */
inline Schedule makePartSchedule(uint64_t Seed) {
  Schedule One = makeSchedule(Seed);
  One.WithParts = true;
  IncidentMaker Maker(Seed * 31U + 7U);
  for (size_t n = 1 + Maker.below(2); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::FatalPart));
  if (Maker.below(3) == 0)
    One.Incidents.push_back(Maker.draw(Trouble::Fatal));
  for (size_t n = Maker.below(4); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::WorkerEnds));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** Adds silences of sound back ends, six to fourteen, to the day of a seed, and
 * leaves workers few slots: the others are often full. */
inline Schedule makeSilentSchedule(uint64_t Seed) {
  Schedule One = makeSchedule(Seed);
  IncidentMaker Maker(Seed * 37U + 11U);
  One.Slots = static_cast<uint32_t>(2 + Maker.below(3));
  for (size_t n = 6 + Maker.below(9); n > 0; --n)
    One.Incidents.push_back(Maker.draw(Trouble::Silence));
  std::ranges::stable_sort(One.Incidents, {}, &Incident::At);
  return One;
}

/** What a day came to. */
struct DayEnd {
  std::optional<Broken> Fault; ///< The rule that was broken first.
  uint64_t Started = 0;        ///< Requests that workers began.
  uint64_t Refusals = 0;       ///< Requests refused as not run.
};

inline DayEnd play(const Schedule &One, std::ostream *Log = nullptr) {
  Fleet All(One.Seed, One.Slots);
  All.WithParts = One.WithParts;
  if (Log != nullptr)
    All.OnLog = [Log](Millis At, const std::string &Who,
                      const std::string &Line) {
      *Log << At.count() << ' ' << Who << ' ' << Line << '\n';
    };
  for (const Incident &Each : One.Incidents)
    All.at(All.Begin + Each.At, [&All, Each] { All.happen(Each); });
  All.pass(Day);
  return {All.Fault, All.Started, All.Refusals};
}

/** Drops and shortens incidents while the same rule is still broken. */
inline Schedule shrink(Schedule One, const std::string &Rule) {
  const auto Breaks = [&](const Schedule &Tried) {
    const DayEnd Came = play(Tried);
    return Came.Fault && Came.Fault->Rule == Rule;
  };
  for (bool Smaller = true; Smaller;) {
    Smaller = false;
    for (size_t n = 0; n < One.Incidents.size();) {
      Schedule Tried = One;
      Tried.Incidents.erase(Tried.Incidents.begin() +
                            static_cast<std::ptrdiff_t>(n));
      if (!Breaks(Tried)) {
        ++n;
        continue;
      }
      One = std::move(Tried);
      Smaller = true;
    }
  }
  return One;
}

} // namespace jacinthpond::model

#endif
