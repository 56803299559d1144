/** @file quarantine.cpp Requests, and parts of prompts, that were running when
 * back ends died.
 */

#include "admission/quarantine_func.h"

#include "admission/part_history_func.h"
#include "base/hash_func.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <limits>
#include <utility>
#include <vector>

namespace jacinthpond {

namespace {

/** How long a request is refused after its latest death: after up to two
 * deaths, after three, and after more. */
constexpr std::array<std::chrono::minutes, 3> RefusalTimes = {
    std::chrono::minutes{10}, std::chrono::hours{2}, std::chrono::hours{24}};
/** The same for a part that was sound before, by the trials that failed: many
 * requests may have it, so that the first trial comes soon. */
constexpr std::array<std::chrono::seconds, 3> RefusalTimesOfSoundPart = {
    std::chrono::seconds{10}, std::chrono::minutes{10}, std::chrono::hours{24}};
/** Least time between two deaths of which the later one was a trial's. */
constexpr std::chrono::seconds MinTrialGap{5};
/** How long deaths are remembered. */
constexpr std::chrono::hours DeathLifetime{24};
/** How long the clearing of deaths is remembered. Notices of these deaths that
 * arrive late are recognized by it. */
constexpr std::chrono::minutes ClearedLifetime{10};
/** Deaths without another explanation after which a request is refused. */
constexpr size_t MaxDeaths = 2;
/** The same for a part: three deaths of three requests, or four of two.
 * Requests that are lost at crashes of other causes share parts by chance. */
constexpr size_t MaxDeathsOfPart = 3;
constexpr size_t MaxDeathsAndRequestsOfPart = 6;
/** Requests with a part from which it may be refused, or explain deaths of
 * others. */
constexpr size_t MinRequestsOfPart = 2;
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

/** Says whether a suspect is a part of prompts. */
bool isPart(const Suspect &One) {
  return std::ranges::any_of(One.Deaths, [](const auto &Row) {
    return !Row.second.Request.Value.empty();
  });
}

/** Counts the different requests with a part at its deaths. */
size_t countRequests(const Suspect &One) {
  std::set<Digest> Requests;
  for (const auto &[Id, Each] : One.Deaths)
    Requests.insert(Each.Request);
  return Requests.size();
}

/** Says whether the deaths of a part mean nothing yet, since it is in so many
 * requests. */
bool isSilenceUsual(const Quarantine &State, const Digest &Fingerprint,
                    const Suspect &One, TimePoint Now) {
  if (!isPart(One))
    return false;
  const auto First = std::ranges::min_element(
      One.Deaths, {}, [](const auto &Row) { return Row.second.At; });
  return isSilenceUsual(State.Seen, Fingerprint, First->second.At,
                        One.Deaths.size(), Now);
}

/**
 * Gives the number of deaths from which another suspect explains those of a
 * request or part at which both ran: more than it has itself. Of two requests
 * that ran at the same two deaths either may have caused them; the next death
 * tells them apart. Parts that were sound here before are at many deaths that
 * they did not cause: they explain only those of each other, and those with
 * which no answer was ever begun explain theirs.
 */
size_t deathsToExplain(const Suspect &One, bool WasSound, const Suspect &Other,
                       bool OtherWasSound) {
  const size_t Own = One.Deaths.size();
  if (OtherWasSound && !WasSound)
    return std::numeric_limits<size_t>::max();
  if (WasSound && !OtherWasSound)
    return MaxDeaths;
  return Own > MaxDeaths || isPart(Other) ? Own + 1 : MaxDeaths;
}

/** Lists the suspects that explain deaths of another one. */
std::vector<const Suspect *> explanations(const Quarantine &State,
                                          const Digest &Own, const Suspect &One,
                                          TimePoint Now) {
  const auto WasSound = [&](const Digest &Fingerprint) {
    return State.Seen.Parts.contains(Fingerprint);
  };
  std::vector<const Suspect *> Found;
  for (const auto &[Fingerprint, Other] : State.Suspects)
    if (&Other != &One &&
        Other.Deaths.size() >=
            deathsToExplain(One, WasSound(Own), Other, WasSound(Fingerprint)) &&
        (!isPart(Other) || countRequests(Other) >= MinRequestsOfPart) &&
        !isSilenceUsual(State, Fingerprint, Other, Now))
      Found.push_back(&Other);
  return Found;
}

/** Says whether a request or part causes deaths. */
bool isCulprit(const Quarantine &State, const Digest &Fingerprint,
               const Suspect &One, TimePoint Now) {
  const bool Part = isPart(One);
  const size_t Needed = Part ? MaxDeathsOfPart : MaxDeaths;
  if (One.Proven || One.Deaths.size() < Needed)
    return One.Proven;
  const size_t Requests = countRequests(One);
  if (Part && (Requests < MinRequestsOfPart ||
               One.Deaths.size() + Requests < MaxDeathsAndRequestsOfPart))
    return false;
  const auto Others = explanations(State, Fingerprint, One, Now);
  const auto Unexplained =
      std::ranges::count_if(One.Deaths, [&](const auto &Row) {
        return std::ranges::none_of(Others, [&](const Suspect *Other) {
          return Other->Deaths.contains(Row.first);
        });
      });
  return static_cast<size_t>(Unexplained) >= Needed;
}

/** Counts the deaths of a part that came some time after the one before, as
 * those of trials do. */
size_t countLateDeaths(const Suspect &One) {
  std::vector<TimePoint> Times;
  std::ranges::transform(One.Deaths, std::back_inserter(Times),
                         [](const auto &Row) { return Row.second.At; });
  std::ranges::sort(Times);
  size_t Late = 0;
  for (size_t n = 1; n < Times.size(); ++n)
    Late += Times[n] - Times[n - 1] >= MinTrialGap ? 1 : 0;
  return Late;
}

/** Gives how long a request or part is refused after its latest death. */
Duration refusalTime(const Quarantine &State, const Digest &Fingerprint,
                     const Suspect &One) {
  const auto At = [](const auto &Times, size_t n) {
    return Duration(Times.at(std::min(n, Times.size() - 1)));
  };
  if (isPart(One) && State.Seen.Parts.contains(Fingerprint))
    return At(RefusalTimesOfSoundPart, countLateDeaths(One));
  return At(RefusalTimes, std::max(One.Deaths.size(), MaxDeaths) - MaxDeaths);
}

} // namespace

Digest fingerprintOf(const WorkspaceName &Workspace, const ClassName &Class,
                     std::string_view Body) {
  return digestOfFields({Workspace.Value, Class.Value}, {Body});
}

bool applySuspectNotice(Quarantine &State, const SuspectNotice &Notice,
                        TimePoint Now) {
  const Millis Longest = toMillis(lifetime(!Notice.Cleared));
  const Millis Age(static_cast<int64_t>(
      std::min<uint64_t>(Notice.AgeMillis, Longest.count())));
  if (Age >= Longest)
    return false;
  const bool IsDeathOfPart = !Notice.Cleared && !Notice.Request.Value.empty();
  if (IsDeathOfPart && hasBegunSince(State.Seen, Notice.Fingerprint, Now - Age))
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
  const bool NewDeath =
      One.Deaths.try_emplace(Notice.DeathId, Death{Now - Age, Notice.Request})
          .second;
  const bool NewProof = Notice.WasAlone && !One.Proven;
  One.Proven = One.Proven || Notice.WasAlone;
  One.Last = std::max(One.Last, Now - Age);
  return NewDeath || NewProof;
}

Suspicion suspicionOf(const Quarantine &State, const Digest &Fingerprint,
                      TimePoint Now) {
  const Suspect *One = findSuspect(State, Fingerprint, Now);
  if (One == nullptr || One->Deaths.empty() ||
      isSilenceUsual(State, Fingerprint, *One, Now))
    return Suspicion::None;
  if (!isCulprit(State, Fingerprint, *One, Now))
    return Suspicion::RunAlone;
  return Now - One->Last < refusalTime(State, Fingerprint, *One)
             ? Suspicion::Refuse
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
             : std::max(toMillis(One->Last +
                                 refusalTime(State, Fingerprint, *One) - Now),
                        Millis{0});
}

std::vector<SuspectNotice>
clearSuspect(Quarantine &State, const Digest &Fingerprint, TimePoint Now) {
  return clearPart(State, Fingerprint, TimePoint::max(), Now);
}

std::vector<SuspectNotice> clearPart(Quarantine &State, const Digest &Part,
                                     TimePoint BegunAt, TimePoint Now) {
  std::vector<SuspectNotice> Notices;
  const Suspect *One = findSuspect(State, Part, Now);
  if (One == nullptr)
    return Notices;
  // Many callers may send equal requests, or requests with the part. Unless all
  // hosts clear these deaths, deaths with other causes would add up on hosts
  // where none of them ran in between.
  for (const auto &[Id, Each] : One->Deaths)
    if (Each.At < BegunAt)
      Notices.push_back({Part, Id, 0, false, true, Each.Request});
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
  dropIdleParts(State.Seen, State.Suspects, Now);
}

void sendSuspects(const Quarantine &State, LinkId Link, TimePoint Now,
                  Effects &Out) {
  const auto AgeOf = [&](TimePoint At) {
    return static_cast<uint64_t>(toMillis(Now - At).count());
  };
  for (const auto &[Fingerprint, One] : State.Suspects) {
    for (const auto &[Id, Each] : One.Deaths)
      Out.push_back(
          SendMessage{Link, SuspectNotice{Fingerprint, Id, AgeOf(Each.At),
                                          One.Proven, false, Each.Request}});
    for (const std::string &Id : One.Cleared)
      Out.push_back(SendMessage{
          Link,
          SuspectNotice{Fingerprint, Id, AgeOf(One.Last), false, true, {}}});
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
