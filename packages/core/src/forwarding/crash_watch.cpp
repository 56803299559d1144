/** @file crash_watch.cpp Telling crashes of back ends from lost answers. */

#include "forwarding/crash_watch_func.h"

#include "admission/part_history_func.h"
#include "admission/quarantine_func.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace jacinthpond {

namespace {

/** Time for which a broken run is remembered. */
constexpr std::chrono::seconds RunLifetime{10};
/** Maximum number of broken runs; the oldest are dropped. */
constexpr size_t MaxRuns = 256;
/** Time in which a crashed back end cannot have started again under its id. */
constexpr Millis MinRestartTime{1000};
/** Crashes count as one event, such as the loss of a domain, if more than this
 * number come within this time of each other. */
constexpr size_t MaxSeparateCrashes = 8;
constexpr Millis CrashWindow{200};

/** Says whether more runs broke together than single crashes explain. */
bool isMassEvent(const CrashWatch &Watch, const BrokenRun &One) {
  const auto Together = std::ranges::count_if(Watch.Runs, [&](const auto &Row) {
    const Duration Apart = Row.second.BrokeAt - One.BrokeAt;
    return Apart <= CrashWindow && Apart >= -CrashWindow;
  });
  return static_cast<size_t>(Together) > MaxSeparateCrashes;
}

/** Says whether a request or part was under way at a broken run. */
bool wasAt(const BrokenRun &One, const Digest &Suspect) {
  return One.Suspects.contains(Suspect) || One.Announced.contains(Suspect);
}

/** Says whether a request or part was under way at two crashed runs. */
bool wasAtTwoCrashes(const CrashWatch &Watch, const Digest &Suspect) {
  return std::ranges::count_if(Watch.Runs, [&](const auto &Row) {
           return Row.second.HasCrashed && wasAt(Row.second, Suspect);
         }) > 1;
}

/** Says whether the broken runs mean nothing yet for a part, since it is in so
 * many requests. */
bool isSilenceUsual(const CrashWatch &Watch, const PartHistory &Seen,
                    const Digest &Part, TimePoint Now) {
  if (!Seen.Parts.contains(Part))
    return false;
  TimePoint First = Now;
  size_t Crashes = 0;
  for (const auto &[Run, One] : Watch.Runs)
    if (wasAt(One, Part)) {
      First = std::min(First, One.BrokeAt);
      ++Crashes;
    }
  return isSilenceUsual(Seen, Part, First, Crashes, Now);
}

} // namespace

std::string runName(const BackEndServer &Server) {
  return Server.Id.Value + "/" + std::to_string(Server.Born);
}

bool recordBrokenAnswer(CrashWatch &Watch, const std::string &Run,
                        const Digest &Request, TimePoint Now) {
  if (!Watch.Runs.contains(Run) && Watch.Runs.size() >= MaxRuns)
    Watch.Runs.erase(std::ranges::min_element(
        Watch.Runs, {}, [](const auto &Row) { return Row.second.BrokeAt; }));
  const auto [it, New] = Watch.Runs.try_emplace(Run);
  BrokenRun &One = it->second;
  if (New)
    One.BrokeAt = Now;
  if (!One.Announced.contains(Request))
    One.Suspects.try_emplace(Request);
  return New;
}

void recordUnbegunParts(CrashWatch &Watch, const std::string &Run,
                        const RequestDigests &Request) {
  const auto it = Watch.Runs.find(Run);
  if (it == Watch.Runs.end())
    return;
  for (const Digest &Part : Request.Parts)
    if (!it->second.Announced.contains(Part))
      it->second.Suspects.try_emplace(Part, Request.Content);
}

void recordAddressCheck(CrashWatch &Watch, const std::string &Run,
                        AddressCheck Result) {
  const auto it = Watch.Runs.find(Run);
  if (it == Watch.Runs.end())
    return;
  if (Result == AddressCheck::Refused)
    it->second.HasCrashed = true;
  else
    Watch.Runs.erase(it);
}

std::vector<SuspectNotice> recordSignOfLife(CrashWatch &Watch,
                                            const std::string &Run,
                                            TimePoint SentAt, TimePoint Now) {
  std::vector<SuspectNotice> Withdrawn;
  const auto it = Watch.Runs.find(Run);
  if (it == Watch.Runs.end() || SentAt <= it->second.BrokeAt ||
      Now - it->second.BrokeAt >= MinRestartTime)
    return Withdrawn;
  for (const Digest &Suspect : it->second.Announced)
    Withdrawn.push_back({Suspect, Run, 0, false, true});
  Watch.Runs.erase(it);
  return Withdrawn;
}

void forgetCompleted(CrashWatch &Watch, const Digest &Request) {
  forgetBegun(Watch, Request, TimePoint::max());
}

void forgetBegun(CrashWatch &Watch, const Digest &Part, TimePoint BegunAt) {
  for (auto &[Run, One] : Watch.Runs)
    if (One.BrokeAt < BegunAt)
      One.Suspects.erase(Part);
}

std::vector<SuspectNotice> takeCrashNotices(CrashWatch &Watch, TimePoint Now,
                                            const PartHistory &Seen) {
  std::vector<SuspectNotice> Notices;
  for (auto &[Run, One] : Watch.Runs) {
    if (!One.HasCrashed || One.Suspects.empty())
      continue;
    const bool Mass = isMassEvent(Watch, One);
    const auto Age = static_cast<uint64_t>(toMillis(Now - One.BrokeAt).count());
    for (const auto &[Suspect, Request] : One.Suspects)
      if ((!Mass || wasAtTwoCrashes(Watch, Suspect)) &&
          !isSilenceUsual(Watch, Seen, Suspect, Now))
        Notices.push_back({Suspect, Run, Age, false, false, Request});
  }
  for (const SuspectNotice &Notice : Notices) {
    BrokenRun &One = Watch.Runs.at(Notice.DeathId);
    One.Suspects.erase(Notice.Fingerprint);
    One.Announced.insert(Notice.Fingerprint);
  }
  return Notices;
}

bool isUnderWatch(const CrashWatch &Watch, const Digest &Request) {
  return std::ranges::any_of(Watch.Runs, [&](const auto &Row) {
    return Row.second.Suspects.contains(Request);
  });
}

Suspicion suspicionOf(const Quarantine &Suspects, const CrashWatch &Watch,
                      const Digest &Request, TimePoint Now) {
  const Suspicion Known = suspicionOf(Suspects, Request, Now);
  return Known == Suspicion::None && isUnderWatch(Watch, Request) &&
                 !isSilenceUsual(Watch, Suspects.Seen, Request, Now)
             ? Suspicion::RunAlone
             : Known;
}

Verdict verdictOn(const Quarantine &Suspects, const CrashWatch &Watch,
                  const RequestDigests &Request, TimePoint Now) {
  // Strictest last; a trial of one suspect is no reason to send another.
  constexpr std::array<int, 4> Strictness = {0, 1, 3, 2};
  Verdict Strictest;
  auto Highest = std::tuple(0, size_t{0});
  const auto Consider = [&](const Digest &One) {
    const Suspicion How = suspicionOf(Suspects, Watch, One, Now);
    const auto it = Suspects.Suspects.find(One);
    const size_t Deaths =
        it == Suspects.Suspects.end() ? 0 : it->second.Deaths.size();
    const std::tuple Own(Strictness.at(static_cast<size_t>(How)), Deaths);
    if (Own <= Highest)
      return;
    Highest = Own;
    Strictest = {How, One};
  };
  std::ranges::for_each(Request.Parts, Consider);
  Consider(Request.Content);
  return Strictest;
}

void dropOldRuns(CrashWatch &Watch, TimePoint Now) {
  std::erase_if(Watch.Runs, [&](const auto &Row) {
    return Now - Row.second.BrokeAt >= RunLifetime;
  });
}

} // namespace jacinthpond
