/** @file routing.cpp Choice of the worker for a request. */

#include "routing/routing_func.h"

#include "base/hash_func.h"

#include <algorithm>
#include <numeric>
#include <string>

namespace jacinthpond {

namespace {

/** A warm worker is left when it is busier than its peers by this factor. */
constexpr double AffinityLoadFactor = 1.25;
/**
 * Up to this share of its limit it is kept in any case: with little work a
 * single request makes a worker much busier than its peers.
 */
constexpr double AffinityFreeLoad = 0.5;
/** Added for a worker that refused: it goes last, but is not given up. */
constexpr double FullLoad = 1000;

/**
 * Work at a candidate. What was sent since it last told is not in its word;
 * what is open here may be missing in it too, when the word is older.
 */
uint32_t busy(const Candidate &One) {
  return std::max(One.Load.Running + One.Load.Waiting + One.SentSince,
                  One.Open);
}

/** Open work relative to what the worker bears, with one request more. */
double relativeLoad(const Candidate &One) {
  const double Load = (busy(One) + 1.0) / std::max(1U, One.Load.Limit);
  return One.Avoid ? Load + FullLoad : Load;
}

double meanLoad(const std::vector<Candidate> &Candidates) {
  const double Sum = std::accumulate(
      Candidates.begin(), Candidates.end(), 0.0,
      [](double All, const Candidate &One) { return All + relativeLoad(One); });
  return Sum / static_cast<double>(Candidates.size());
}

constexpr size_t Nobody = SIZE_MAX;

/** The candidate that a key ranks first, of all others than one. */
size_t firstRank(const std::vector<Candidate> &Candidates, std::string_view Key,
                 size_t Except = Nobody) {
  size_t First = Nobody;
  uint64_t Best = 0;
  for (size_t n = 0; n < Candidates.size(); ++n) {
    const uint64_t Score = rendezvousScore(Key, Candidates[n].Name.Value);
    if (n == Except || (First != Nobody && Score <= Best))
      continue;
    First = n;
    Best = Score;
  }
  return First;
}

/** Says whether the worker where a prefix is warm may get one more. */
bool fitsWarm(const std::vector<Candidate> &Candidates, size_t Warm) {
  const double Bound =
      std::max(AffinityLoadFactor * meanLoad(Candidates), AffinityFreeLoad);
  return relativeLoad(Candidates[Warm]) <= Bound;
}

/** One of the first Count indices of Order, by hash. */
size_t pick(const std::vector<size_t> &Order, size_t Count, uint64_t Salt,
            const char *Which) {
  return Order[rendezvousScore(Which, std::to_string(Salt)) % Count];
}

/**
 * The less busy of two. The first one is near where there is a near one, and
 * stays when both are equal: near work saves the links between domains.
 */
size_t lessBusyOfTwo(const std::vector<Candidate> &Candidates, uint64_t Salt) {
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  const auto Far = std::partition(Order.begin(), Order.end(),
                                  [&](size_t n) { return Candidates[n].Near; });
  const auto Near = static_cast<size_t>(Far - Order.begin());
  const size_t First =
      pick(Order, Near > 0 ? Near : Order.size(), Salt, "first");
  std::erase(Order, First);
  if (Order.empty())
    return First;
  const size_t Second = pick(Order, Order.size(), Salt, "second");
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
    const size_t Warm = firstRank(Candidates, AffinityKey);
    if (fitsWarm(Candidates, Warm))
      return Warm;
  }
  return lessBusyOfTwo(Candidates, Salt);
}

size_t chooseForPrompt(const std::vector<Candidate> &Candidates,
                       std::string_view AffinityKey,
                       const std::function<std::string()> &RequestKey) {
  if (Candidates.empty())
    return 0;
  const size_t Warm = firstRank(Candidates, AffinityKey);
  if (fitsWarm(Candidates, Warm) || Candidates.size() == 1)
    return Warm;
  const size_t Other = firstRank(Candidates, RequestKey(), Warm);
  return relativeLoad(Candidates[Other]) < relativeLoad(Candidates[Warm])
             ? Other
             : Warm;
}

size_t chooseAtRandom(const std::vector<Candidate> &Candidates, uint64_t Salt) {
  return Candidates.empty()
             ? 0
             : rendezvousScore("any", std::to_string(Salt)) % Candidates.size();
}

} // namespace jacinthpond
