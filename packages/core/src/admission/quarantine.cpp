/** @file quarantine.cpp Requests that were running when back ends died. */

#include "admission/quarantine_func.h"

#include "base/hash_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** How long a request is refused, or runs only alone, after a death. */
constexpr Millis SuspectLifetime{60000};
/** Deaths after which a request is refused. */
constexpr size_t MaxDeaths = 2;
/** Maximum number of suspects; the oldest are dropped. */
constexpr size_t MaxSuspects = 4096;

/** Finds a suspect that has not expired; null if there is none. */
const Suspect *findSuspect(const Quarantine &State, const Digest &Fingerprint,
                           TimePoint Now) {
  const auto it = State.Suspects.find(Fingerprint);
  if (it == State.Suspects.end() || Now - it->second.Last >= SuspectLifetime)
    return nullptr;
  return &it->second;
}

/** Removes the suspect with the oldest notice. */
void dropOldest(Quarantine &State) {
  const auto it = std::ranges::min_element(
      State.Suspects, {}, [](const auto &Row) { return Row.second.Last; });
  State.Suspects.erase(it);
}

} // namespace

Digest fingerprintOf(const WorkspaceName &Workspace, const ClassName &Class,
                     std::string_view Body) {
  return digestOfFields({Workspace.Value, Class.Value}, Body);
}

bool applySuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                        TimePoint Now) {
  const Millis Age(static_cast<int64_t>(
      std::min<uint64_t>(Notice.AgeMillis, SuspectLifetime.count())));
  if (Age >= SuspectLifetime)
    return false;
  if (!State.Suspects.contains(Notice.Fingerprint) &&
      State.Suspects.size() >= MaxSuspects)
    dropOldest(State);
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
  return One->Proven || One->Deaths.size() >= MaxDeaths ? Suspicion::Refuse
                                                        : Suspicion::RunAlone;
}

Millis refusalTimeLeft(const Quarantine &State, const Digest &Fingerprint,
                       TimePoint Now) {
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  return One == nullptr ? Millis{0}
                        : toMillis(One->Last + SuspectLifetime - Now);
}

void clearSuspect(Quarantine &State, const Digest &Fingerprint,
                  const Membership &Fleet, TimePoint Now, Effects &Out) {
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  if (One == nullptr)
    return;
  // Many callers may send equal requests. Unless all hosts clear these deaths,
  // two deaths with other causes would add up on hosts where the request did
  // not run in between.
  const std::set<std::string> Deaths = One->Deaths;
  for (const std::string &Death : Deaths) {
    const SuspectNotice Notice{Fingerprint, Death, 0, false, true};
    applySuspectNotice(State, Notice, Now);
    broadcastNotice(Fleet, Notice, {}, Out);
  }
}

void dropExpiredSuspects(Quarantine &State, TimePoint Now) {
  std::erase_if(State.Suspects, [&](const auto &Row) {
    return Now - Row.second.Last >= SuspectLifetime;
  });
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

void broadcastNotice(const Membership &Fleet, const Message &Notice,
                     std::optional<Role> Only, Effects &Out) {
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready && (!Only || Peer.Peer.Sender == *Only))
      Out.push_back(SendMessage{Link, Notice});
}

} // namespace jacinthpond
