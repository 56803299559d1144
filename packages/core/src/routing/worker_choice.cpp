/** @file worker_choice.cpp Choice of a worker for a call. */

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

/** Length of the start of a body that is its prompt prefix. */
constexpr size_t AffinityPrefixBytes = 256;

/** True when this entry may send a call to a worker. */
bool canTakeCall(const EntryState &Entry, const Worker &Host,
                 const Call &ActiveCall) {
  if (!isViewFresh(Entry.Fleet))
    return false;
  if (Entry.View.InForce->DomainsOut.contains(Host.Domain))
    return false;
  if (std::ranges::find(ActiveCall.Tried, Host.Name) != ActiveCall.Tried.end())
    return false;
  const PeerLink *Link = readyLink(Entry.Fleet, Host.Name);
  if (Link == nullptr || Link->Leaving ||
      isDeparting(Entry.Fleet, Host.Name, Link->Peer.Run))
    return false;
  const bool Serves = Link->Load.State == WorkerState::Serving ||
                      Link->Load.State == WorkerState::Warming;
  const bool SameWeights = ActiveCall.Weights.Value.empty() ||
                           Link->Load.Weights == ActiveCall.Weights;
  return Serves && SameWeights;
}

/** Key of the prompt prefix, within its workspace. */
std::string affinityKey(const Call &ActiveCall) {
  return ActiveCall.Received.Workspace.Value + "/" +
         ActiveCall.Received.Body.substr(0, AffinityPrefixBytes);
}

/**
 * Chooses a worker for a suspect, a request that was running when a back end
 * failed: the preferred worker of its prefix, else the candidate that ranks
 * first for the whole request. chooseForPrompt() sent earlier copies of it to
 * these two only, so no other back end is put at risk.
 */
size_t chooseForSuspect(const EntryState &Entry, const WorkClass &Class,
                        const Call &ActiveCall,
                        const std::vector<Candidate> &Candidates) {
  const std::string Affinity = affinityKey(ActiveCall);
  const std::vector<const Worker *> Listed =
      workersOf(*Entry.View.InForce, Class);
  const auto Preferred =
      std::ranges::max_element(Listed, {}, [&](const Worker *w) {
        return rendezvousScore(Affinity, w->Name.Value);
      });
  const auto First =
      Preferred == Listed.end()
          ? Candidates.end()
          : std::ranges::find(Candidates, (*Preferred)->Name, &Candidate::Name);
  if (First != Candidates.end())
    return static_cast<size_t>(First - Candidates.begin());
  const Digest Fingerprint =
      fingerprintOf(ActiveCall.Received.Workspace, ActiveCall.Received.Class,
                    ActiveCall.Received.Body);
  const auto it =
      std::ranges::max_element(Candidates, {}, [&](const Candidate &Option) {
        return rendezvousScore(Fingerprint.Value, Option.Name.Value);
      });
  return static_cast<size_t>(it - Candidates.begin());
}

} // namespace

std::vector<Candidate> candidatesFor(const EntryState &Entry,
                                     const WorkClass &Class,
                                     const Call &ActiveCall) {
  std::vector<Candidate> Found;
  for (const Worker *Host : workersOf(*Entry.View.InForce, Class)) {
    if (!canTakeCall(Entry, *Host, ActiveCall))
      continue;
    const PeerLink *Link = readyLink(Entry.Fleet, Host->Name);
    const auto Open = Entry.OpenByWorker.find(Host->Name);
    Found.push_back({Host->Name, Link->Link, Link->Load,
                     Link->AttemptsSinceLoad,
                     Open == Entry.OpenByWorker.end() ? 0 : Open->second,
                     Host->Domain == Entry.Fleet.Self.Domain,
                     Entry.Fleet.LastTick < Link->AvoidUntil});
  }
  return Found;
}

size_t chooseCandidate(const EntryState &Entry, const WorkClass &Class,
                       const Call &ActiveCall,
                       const std::vector<Candidate> &Candidates,
                       TimePoint Now) {
  if (mustRunAlone(suspicionOf(Entry, ActiveCall, Now)))
    return chooseForSuspect(Entry, Class, ActiveCall, Candidates);
  // The incarnation differs between entries. Attempt numbers alone do not:
  // entries that were started together count alike.
  const uint64_t Salt = Entry.Fleet.Self.Run.Value + Entry.NextAttempt;
  if (Entry.Config.RandomRouting)
    return chooseAtRandom(Candidates, Salt);
  if (Class.Kind != BackEndKind::Model)
    return chooseWorker(Candidates, "", Salt);
  return chooseForPrompt(Candidates, affinityKey(ActiveCall), [&] {
    return fingerprintOf(ActiveCall.Received.Workspace,
                         ActiveCall.Received.Class, ActiveCall.Received.Body)
        .Value;
  });
}

Suspicion suspicionOf(const EntryState &Entry, const Call &ActiveCall,
                      TimePoint Now) {
  // Saves the digest of the body while there are no suspects.
  if (Entry.Suspects.Suspects.empty())
    return Suspicion::None;
  return suspicionOf(Entry.Suspects,
                     fingerprintOf(ActiveCall.Received.Workspace,
                                   ActiveCall.Received.Class,
                                   ActiveCall.Received.Body),
                     Now);
}

} // namespace jacinthpond
