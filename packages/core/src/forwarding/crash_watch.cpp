/** @file crash_watch.cpp Telling crashes of back ends from lost answers. */

#include "forwarding/crash_watch_func.h"

#include "admission/quarantine_func.h"

#include <algorithm>

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

/** Says whether a request was under way at a broken run. */
bool wasAt(const BrokenRun &One, const Digest &Request) {
  return One.Requests.contains(Request) || One.Announced.contains(Request);
}

/** Says whether a request was under way at two crashed runs. */
bool wasAtTwoCrashes(const CrashWatch &Watch, const Digest &Request) {
  return std::ranges::count_if(Watch.Runs, [&](const auto &Row) {
           return Row.second.HasCrashed && wasAt(Row.second, Request);
         }) > 1;
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
    One.Requests.insert(Request);
  return New;
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
  for (const Digest &Request : it->second.Announced)
    Withdrawn.push_back({Request, Run, 0, false, true});
  Watch.Runs.erase(it);
  return Withdrawn;
}

void forgetCompleted(CrashWatch &Watch, const Digest &Request) {
  for (auto &[Run, One] : Watch.Runs)
    One.Requests.erase(Request);
}

std::vector<SuspectNotice> takeCrashNotices(CrashWatch &Watch, TimePoint Now) {
  std::vector<SuspectNotice> Notices;
  for (auto &[Run, One] : Watch.Runs) {
    if (!One.HasCrashed || One.Requests.empty())
      continue;
    const bool Mass = isMassEvent(Watch, One);
    const auto Age = static_cast<uint64_t>(toMillis(Now - One.BrokeAt).count());
    for (const Digest &Request : One.Requests)
      if (!Mass || wasAtTwoCrashes(Watch, Request))
        Notices.push_back({Request, Run, Age, false, false});
  }
  for (const SuspectNotice &Notice : Notices) {
    BrokenRun &One = Watch.Runs.at(Notice.DeathId);
    One.Requests.erase(Notice.Fingerprint);
    One.Announced.insert(Notice.Fingerprint);
  }
  return Notices;
}

bool isUnderWatch(const CrashWatch &Watch, const Digest &Request) {
  return std::ranges::any_of(Watch.Runs, [&](const auto &Row) {
    return Row.second.Requests.contains(Request);
  });
}

Suspicion suspicionOf(const Quarantine &Suspects, const CrashWatch &Watch,
                      const Digest &Request, TimePoint Now) {
  const Suspicion Known = suspicionOf(Suspects, Request, Now);
  return Known == Suspicion::None && isUnderWatch(Watch, Request)
             ? Suspicion::RunAlone
             : Known;
}

void dropOldRuns(CrashWatch &Watch, TimePoint Now) {
  std::erase_if(Watch.Runs, [&](const auto &Row) {
    return Now - Row.second.BrokeAt >= RunLifetime;
  });
}

} // namespace jacinthpond
