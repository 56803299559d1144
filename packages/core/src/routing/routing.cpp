/** @file routing.cpp Choice of a worker for a request. */

#include "routing/routing_func.h"

#include "base/hash_func.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace jacinthpond {

namespace {

/**
 * The preferred worker of a prompt prefix, whose cache is likely warm, is
 * passed over when its load exceeds the mean by this factor.
 */
constexpr double AffinityLoadFactor = 1.25;
/**
 * Below this fraction of its limit it is used in any case: under light load a
 * single request puts a worker far above the mean.
 */
constexpr double AffinityFreeLoad = 0.5;
/**
 * Added to the relative load of a worker that refused work recently, so that
 * it is chosen last rather than never.
 */
constexpr double AvoidPenalty = 1000;

/**
 * Estimated requests at a candidate. Attempts sent since its last load report
 * are added to it; a report that is older than the attempts open from here is
 * raised to their number.
 */
uint32_t openWork(const Candidate &One) {
  return std::max(One.Load.Running + One.Load.Waiting + One.SentSince,
                  One.Open);
}

/** Load of a worker with one more request, relative to its limit. */
double relativeLoad(const Candidate &One) {
  const double Load = (openWork(One) + 1.0) / std::max(1U, One.Load.Limit);
  return One.RefusedRecently ? Load + AvoidPenalty : Load;
}

/** Mean relative load of the candidates. */
double meanLoad(const std::vector<Candidate> &Candidates) {
  const double Sum = std::accumulate(
      Candidates.begin(), Candidates.end(), 0.0,
      [](double All, const Candidate &One) { return All + relativeLoad(One); });
  return Sum / static_cast<double>(Candidates.size());
}

/** Index that stands for no candidate. */
constexpr size_t NoCandidate = SIZE_MAX;

/**
 * Index of the candidate with the highest rendezvous score for a key, leaving
 * one out.
 */
size_t highestRanked(const std::vector<Candidate> &Candidates,
                     std::string_view Key, size_t Except = NoCandidate) {
  size_t First = NoCandidate;
  uint64_t Best = 0;
  for (size_t n = 0; n < Candidates.size(); ++n) {
    const uint64_t Score = rendezvousScore(Key, Candidates[n].Name.Value);
    if (n == Except || (First != NoCandidate && Score <= Best))
      continue;
    First = n;
    Best = Score;
  }
  return First;
}

/** Says whether the preferred worker of a prefix may get one more request. */
bool canPreferredTakeMore(const std::vector<Candidate> &Candidates,
                          size_t Preferred) {
  const double Bound =
      std::max(AffinityLoadFactor * meanLoad(Candidates), AffinityFreeLoad);
  return relativeLoad(Candidates[Preferred]) <= Bound;
}

/** Picks one of the first Count elements of Order by hash. */
size_t pickByHash(const std::vector<size_t> &Order, size_t Count, uint64_t Salt,
                  const char *Which) {
  return Order[rendezvousScore(Which, std::to_string(Salt)) % Count];
}

/**
 * Chooses the less busy of two candidates that are picked by hash. The first is
 * one in the domain of this entry if there is any, and wins a tie, to save
 * traffic between domains.
 */
size_t chooseLessBusyOfTwo(const std::vector<Candidate> &Candidates,
                           uint64_t Salt) {
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  const auto Far = std::partition(Order.begin(), Order.end(), [&](size_t n) {
    return Candidates[n].InOwnDomain;
  });
  const auto Near = static_cast<size_t>(Far - Order.begin());
  const size_t First =
      pickByHash(Order, Near > 0 ? Near : Order.size(), Salt, "first");
  std::erase(Order, First);
  if (Order.empty())
    return First;
  const size_t Second = pickByHash(Order, Order.size(), Salt, "second");
  return relativeLoad(Candidates[Second]) < relativeLoad(Candidates[First])
             ? Second
             : First;
}

} // namespace

size_t chooseWorker(const std::vector<Candidate> &Candidates,
                    std::string_view AffinityKey, uint64_t Salt) {
  if (Candidates.empty())
    return 0;
  if (!AffinityKey.empty()) {
    const size_t Preferred = highestRanked(Candidates, AffinityKey);
    if (canPreferredTakeMore(Candidates, Preferred))
      return Preferred;
  }
  return chooseLessBusyOfTwo(Candidates, Salt);
}

size_t chooseForPrompt(const std::vector<Candidate> &Candidates,
                       std::string_view AffinityKey,
                       const std::function<std::string()> &RequestKey) {
  if (Candidates.empty())
    return 0;
  const size_t Preferred = highestRanked(Candidates, AffinityKey);
  if (canPreferredTakeMore(Candidates, Preferred) || Candidates.size() == 1)
    return Preferred;
  const size_t Other = highestRanked(Candidates, RequestKey(), Preferred);
  return relativeLoad(Candidates[Other]) < relativeLoad(Candidates[Preferred])
             ? Other
             : Preferred;
}

size_t chooseAtRandom(const std::vector<Candidate> &Candidates, uint64_t Salt) {
  return Candidates.empty()
             ? 0
             : rendezvousScore("any", std::to_string(Salt)) % Candidates.size();
}

} // namespace jacinthpond
