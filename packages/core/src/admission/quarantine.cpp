/** @file quarantine.cpp Requests that were running when back ends died. */

#include "admission/quarantine_func.h"

#include "base/hash_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>
#include <vector>

namespace jacinthpond {

namespace {

/** How long a request is refused after its latest death: after up to two
 * deaths, after three, and after more. */
constexpr std::array<std::chrono::minutes, 3> RefusalTimes = {
    std::chrono::minutes{10}, std::chrono::hours{2}, std::chrono::hours{24}};
/** How long deaths are remembered. */
constexpr std::chrono::hours DeathLifetime{24};
/** How long the clearing of deaths is remembered. Notices of these deaths that
 * arrive late are recognized by it. */
constexpr std::chrono::minutes ClearedLifetime{10};
/** Deaths without another explanation after which a request is refused. */
constexpr size_t MaxDeaths = 2;
/** Maximum number of suspects; the least suspect are dropped. */
constexpr size_t MaxSuspects = 4096;

/** Gives how long a record is kept after its latest notice. */
Duration lifetime(bool HasDeaths) {
  return HasDeaths ? Duration(DeathLifetime) : Duration(ClearedLifetime);
}

/** Says whether a record is too old to count. */
bool isExpired(const Suspect &One, TimePoint Now) {
  return Now - One.Last >= lifetime(!One.Deaths.empty());
}

/** Finds a suspect that has not expired; null if there is none. */
const Suspect *findSuspect(const Quarantine &State, const Digest &Fingerprint,
                           TimePoint Now) {
  const auto it = State.Suspects.find(Fingerprint);
  return it == State.Suspects.end() || isExpired(it->second, Now) ? nullptr
                                                                  : &it->second;
}

/** Removes the oldest of the records with the fewest deaths, so that requests
 * that merely ran beside others never push out one that is refused. */
void dropLeastSuspect(Quarantine &State) {
  const auto it =
      std::ranges::min_element(State.Suspects, {}, [](const auto &Row) {
        const Suspect &One = Row.second;
        const size_t Weight =
            One.Proven ? MaxDeaths : std::min(One.Deaths.size(), MaxDeaths);
        return std::pair(Weight, One.Last);
      });
  State.Suspects.erase(it);
}

/**
 * Lists the deaths at which other suspects ran that explain those of a request:
 * suspects of more deaths. Of two requests that ran at the same two deaths
 * either may have caused them; the next death tells them apart.
 */
std::vector<const std::set<std::string> *> explanations(const Quarantine &State,
                                                        const Suspect &One) {
  const size_t Own = One.Deaths.size();
  const size_t Needed = Own > MaxDeaths ? Own + 1 : MaxDeaths;
  std::vector<const std::set<std::string> *> Found;
  for (const auto &[Fingerprint, Other] : State.Suspects)
    if (Other.Deaths.size() >= Needed && &Other != &One)
      Found.push_back(&Other.Deaths);
  return Found;
}

/** Says whether a request causes deaths. */
bool isCulprit(const Quarantine &State, const Suspect &One) {
  if (One.Proven || One.Deaths.size() < MaxDeaths)
    return One.Proven;
  const auto Others = explanations(State, One);
  const auto Unexplained =
      std::ranges::count_if(One.Deaths, [&](const std::string &Death) {
        return std::ranges::none_of(Others, [&](const auto *Deaths) {
          return Deaths->contains(Death);
        });
      });
  return static_cast<size_t>(Unexplained) >= MaxDeaths;
}

/** Gives how long a request is refused after its latest death. */
Duration refusalTime(const Suspect &One) {
  const size_t Beyond = std::max(One.Deaths.size(), MaxDeaths) - MaxDeaths;
  return RefusalTimes.at(std::min(Beyond, RefusalTimes.size() - 1));
}

} // namespace

Digest fingerprintOf(const WorkspaceName &Workspace, const ClassName &Class,
                     std::string_view Body) {
  return digestOfFields({Workspace.Value, Class.Value}, Body);
}

bool applySuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                        TimePoint Now) {
  const Millis Longest = toMillis(lifetime(!Notice.Cleared));
  const Millis Age(static_cast<int64_t>(
      std::min<uint64_t>(Notice.AgeMillis, Longest.count())));
  if (Age >= Longest)
    return false;
  if (!State.Suspects.contains(Notice.Fingerprint) &&
      State.Suspects.size() >= MaxSuspects)
    dropLeastSuspect(State);
  Suspect &One = State.Suspects[Notice.Fingerprint];
  if (Notice.Cleared) {
    One.Deaths.erase(Notice.DeathId);
    One.Proven = false;
    One.Last = std::max(One.Last, Now - Age);
    return One.Cleared.insert(Notice.DeathId).second;
  }
  // A notice of a death may arrive after the notice that cleared it. Applying
  // it then would forward it around the fleet again.
  if (One.Cleared.contains(Notice.DeathId))
    return false;
  const bool NewDeath = One.Deaths.insert(Notice.DeathId).second;
  const bool NewProof = Notice.WasAlone && !One.Proven;
  One.Proven = One.Proven || Notice.WasAlone;
  One.Last = std::max(One.Last, Now - Age);
  return NewDeath || NewProof;
}

Suspicion suspicionOf(const Quarantine &State, const Digest &Fingerprint,
                      TimePoint Now) {
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  if (One == nullptr || One->Deaths.empty())
    return Suspicion::None;
  if (!isCulprit(State, *One))
    return Suspicion::RunAlone;
  return Now - One->Last < refusalTime(*One) ? Suspicion::Refuse
                                             : Suspicion::Trial;
}

bool mustRunAlone(Suspicion Suspected) {
  return Suspected == Suspicion::RunAlone || Suspected == Suspicion::Trial;
}

Millis refusalTimeLeft(const Quarantine &State, const Digest &Fingerprint,
                       TimePoint Now) {
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  return One == nullptr
             ? Millis{0}
             : std::max(toMillis(One->Last + refusalTime(*One) - Now),
                        Millis{0});
}

std::vector<SuspectNotice>
clearSuspect(Quarantine &State, const Digest &Fingerprint, TimePoint Now) {
  std::vector<SuspectNotice> Notices;
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  if (One == nullptr)
    return Notices;
  // Many callers may send equal requests. Unless all hosts clear these deaths,
  // two deaths with other causes would add up on hosts where the request did
  // not run in between.
  for (const std::string &Death : One->Deaths)
    Notices.push_back({Fingerprint, Death, 0, false, true});
  for (const SuspectNotice &Notice : Notices)
    applySuspectNotice(State, Notice, Now);
  return Notices;
}

void clearSuspect(Quarantine &State, const Digest &Fingerprint,
                  const Membership &Fleet, TimePoint Now, Effects &Out) {
  for (const SuspectNotice &Notice : clearSuspect(State, Fingerprint, Now))
    broadcastNotice(Fleet, Notice, {}, Out);
}

void dropExpiredSuspects(Quarantine &State, TimePoint Now) {
  std::erase_if(State.Suspects,
                [&](const auto &Row) { return isExpired(Row.second, Now); });
}

void sendSuspects(const Quarantine &State, LinkId Link, TimePoint Now,
                  Effects &Out) {
  for (const auto &[Fingerprint, One] : State.Suspects) {
    const auto Age = static_cast<uint64_t>(toMillis(Now - One.Last).count());
    for (const std::string &Death : One.Deaths)
      Out.push_back(SendMessage{
          Link, SuspectNotice{Fingerprint, Death, Age, One.Proven, false}});
    for (const std::string &Death : One.Cleared)
      Out.push_back(SendMessage{
          Link, SuspectNotice{Fingerprint, Death, Age, false, true}});
  }
}

void publishSuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                          const Membership &Fleet, TimePoint Now,
                          Effects &Out) {
  if (applySuspectNotice(State, Notice, Now))
    broadcastNotice(Fleet, Notice, {}, Out);
}

void broadcastNotice(const Membership &Fleet, const Message &Notice,
                     std::optional<Role> Only, Effects &Out) {
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready && (!Only || Peer.Peer.Sender == *Only))
      Out.push_back(SendMessage{Link, Notice});
}

} // namespace jacinthpond
