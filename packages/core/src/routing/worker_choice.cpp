/** @file worker_choice.cpp Workers that an entry may give a call to. */

#include "routing/worker_choice_func.h"

#include "admission/quarantine_func.h"
#include "base/hash_func.h"
#include "configuration/document_func.h"
#include "membership/departure_func.h"
#include "membership/join_func.h"
#include "membership/membership_func.h"
#include "routing/routing_func.h"

#include <algorithm>
#include <string>

namespace jacinthpond {

namespace {

/** Bytes of a body that count as its prompt prefix for affinity. */
constexpr size_t AffinityPrefixBytes = 256;

/** True when a worker may get new work of this entry. */
bool mayTake(const EntryState &Entry, const Worker &Host, const Call &One) {
  if (!viewIsFresh(Entry.Fleet))
    return false;
  if (Entry.View.InForce->DomainsOut.contains(Host.Domain))
    return false;
  if (std::ranges::find(One.Tried, Host.Name) != One.Tried.end())
    return false;
  const PeerLink *Link = readyLink(Entry.Fleet, Host.Name);
  if (Link == nullptr || Link->Leaving ||
      isDeparting(Entry.Fleet, Host.Name, Link->Peer.Run))
    return false;
  const bool Serves = Link->Load.State == WorkerState::Serving ||
                      Link->Load.State == WorkerState::Warming;
  const bool SameWeights =
      One.Weights.Value.empty() || Link->Load.Weights == One.Weights;
  return Serves && SameWeights;
}

std::string affinityKey(const Call &One) {
  return One.Asked.Tenant.Value + "/" +
         One.Asked.Body.substr(0, AffinityPrefixBytes);
}

/**
 * The place of a suspect: one of the two to which it goes before it is one, in
 * a fixed order. Its copies are there already, if they are anywhere.
 */
size_t placeOfSuspect(const EntryState &Entry, const WorkClass &Class,
                      const Call &One, const std::vector<Candidate> &Choice) {
  const std::string Affinity = affinityKey(One);
  const std::vector<const Worker *> Listed =
      workersOf(*Entry.View.InForce, Class);
  const auto Warm = std::ranges::max_element(Listed, {}, [&](const Worker *w) {
    return rendezvousScore(Affinity, w->Name.Value);
  });
  const auto First =
      Warm == Listed.end()
          ? Choice.end()
          : std::ranges::find(Choice, (*Warm)->Name, &Candidate::Name);
  if (First != Choice.end())
    return static_cast<size_t>(First - Choice.begin());
  const Digest Fingerprint =
      fingerprintOf(One.Asked.Tenant, One.Asked.Class, One.Asked.Body);
  const auto it =
      std::ranges::max_element(Choice, {}, [&](const Candidate &Each) {
        return rendezvousScore(Fingerprint.Value, Each.Name.Value);
      });
  return static_cast<size_t>(it - Choice.begin());
}

} // namespace

std::vector<Candidate> candidatesFor(const EntryState &Entry,
                                     const WorkClass &Class, const Call &One) {
  std::vector<Candidate> Found;
  for (const Worker *Host : workersOf(*Entry.View.InForce, Class)) {
    if (!mayTake(Entry, *Host, One))
      continue;
    const PeerLink *Link = readyLink(Entry.Fleet, Host->Name);
    const auto Open = Entry.OpenAt.find(Host->Name);
    Found.push_back({Host->Name, Link->Link, Link->Load, Link->SentSince,
                     Open == Entry.OpenAt.end() ? 0 : Open->second,
                     Host->Domain == Entry.Fleet.Self.Domain,
                     Entry.Fleet.LastTick < Link->AvoidUntil});
  }
  return Found;
}

size_t chooseFor(const EntryState &Entry, const WorkClass &Class,
                 const Call &One, const std::vector<Candidate> &Choice,
                 TimePoint Now) {
  if (suspicionOf(Entry, One, Now) == Suspicion::RunAlone)
    return placeOfSuspect(Entry, Class, One, Choice);
  // Entries started together count alike; their choices must still differ.
  const uint64_t Salt = Entry.Fleet.Self.Run.Value + Entry.NextAttempt;
  if (Entry.Config.RandomRouting)
    return chooseAtRandom(Choice, Salt);
  if (Class.Kind != BackEndKind::Model)
    return chooseWorker(Choice, "", Salt);
  return chooseForPrompt(Choice, affinityKey(One), [&] {
    return fingerprintOf(One.Asked.Tenant, One.Asked.Class, One.Asked.Body)
        .Value;
  });
}

Suspicion suspicionOf(const EntryState &Entry, const Call &One, TimePoint Now) {
  // Digesting every body would cost time for nothing on ordinary days.
  if (Entry.Suspects.Suspects.empty())
    return Suspicion::None;
  return suspicionOf(
      Entry.Suspects,
      fingerprintOf(One.Asked.Tenant, One.Asked.Class, One.Asked.Body), Now);
}

} // namespace jacinthpond
