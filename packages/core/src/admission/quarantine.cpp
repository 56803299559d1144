/** @file quarantine.cpp Requests that were running when back ends died. */

#include "admission/quarantine_func.h"

#include "base/hash_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** How long a request is refused, or runs only alone, after a death. */
constexpr Millis Keep{60000};
/** Deaths that a request may cost. */
constexpr size_t MaxDeaths = 2;
/** Suspects held at most; the oldest make way. */
constexpr size_t MaxSuspects = 4096;

const Suspect *find(const Quarantine &State, const Digest &Fingerprint,
                    TimePoint Now) {
  const auto it = State.Suspects.find(Fingerprint);
  if (it == State.Suspects.end() || Now - it->second.Last >= Keep)
    return nullptr;
  return &it->second;
}

void dropOldest(Quarantine &State) {
  const auto it = std::ranges::min_element(
      State.Suspects, {}, [](const auto &Row) { return Row.second.Last; });
  State.Suspects.erase(it);
}

} // namespace

Digest fingerprintOf(const TenantName &Tenant, const ClassName &Class,
                     std::string_view Body) {
  // Lengths keep apart what plain joining would make equal.
  std::string All = std::to_string(Tenant.Value.size()) + "/" + Tenant.Value +
                    std::to_string(Class.Value.size()) + "/" + Class.Value;
  All.append(Body);
  return sha256(All);
}

bool noteSuspect(Quarantine &State, const SuspectNotice &Notice,
                 TimePoint Now) {
  const Millis Age(
      static_cast<int64_t>(std::min<uint64_t>(Notice.AgeMillis, Keep.count())));
  if (Age >= Keep)
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
  // News of a death may be passed on more slowly than that of the whole run
  // after it; taken then, it would go round again.
  if (One.Cleared.contains(Notice.DeathId))
    return false;
  const bool NewDeath = One.Deaths.insert(Notice.DeathId).second;
  const bool NewProof = Notice.Alone && !One.Proven;
  One.Proven = One.Proven || Notice.Alone;
  One.Last = std::max(One.Last, Now - Age);
  return NewDeath || NewProof;
}

Suspicion suspicionOf(const Quarantine &State, const Digest &Fingerprint,
                      TimePoint Now) {
  const Suspect *One = find(State, Fingerprint, Now);
  if (One == nullptr || One->Deaths.empty())
    return Suspicion::None;
  return One->Proven || One->Deaths.size() >= MaxDeaths ? Suspicion::Refuse
                                                        : Suspicion::RunAlone;
}

Millis refusedFor(const Quarantine &State, const Digest &Fingerprint,
                  TimePoint Now) {
  const Suspect *One = find(State, Fingerprint, Now);
  return One == nullptr ? Millis{0} : toMillis(One->Last + Keep - Now);
}

void clearSuspect(Quarantine &State, const Digest &Fingerprint,
                  const Membership &Fleet, TimePoint Now, Effects &Out) {
  const Suspect *One = find(State, Fingerprint, Now);
  if (One == nullptr)
    return;
  // Many callers may send equal requests. Without this news, two deaths of
  // other causes would add up wherever the request did not run in between.
  const std::set<std::string> Deaths = One->Deaths;
  for (const std::string &Death : Deaths) {
    const SuspectNotice Notice{Fingerprint, Death, 0, false, true};
    noteSuspect(State, Notice, Now);
    spreadNotice(Fleet, Notice, {}, Out);
  }
}

void forgetSuspects(Quarantine &State, TimePoint Now) {
  std::erase_if(State.Suspects,
                [&](const auto &Row) { return Now - Row.second.Last >= Keep; });
}

void tellSuspects(const Quarantine &State, LinkId Link, TimePoint Now,
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

void spreadNotice(const Membership &Fleet, const Message &Notice,
                  std::optional<Role> Only, Effects &Out) {
  for (const auto &[Link, Peer] : Fleet.Links)
    if (Peer.State == LinkState::Ready && (!Only || Peer.Peer.Sender == *Only))
      Out.push_back(SendMessage{Link, Notice});
}

} // namespace jacinthpond
