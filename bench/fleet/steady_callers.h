/** @file steady_callers.h Callers that ask again and again. */

#ifndef JACINTHPOND_BENCH_FLEET_STEADY_CALLERS_H
#define JACINTHPOND_BENCH_FLEET_STEADY_CALLERS_H

#include "fleet/fleet.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

/** Callers that ask again and again, coming back when told; end with it. */
class SteadyCallers {
public:
  /** Gives the i-th request of the n-th caller. */
  using Asking = std::function<Ask(size_t n, size_t i)>;

  /**
   * Starts the callers.
   * @param To Whom to ask, by turns through all entries.
   * @param Callers How many.
   * @param Next What each asks.
   */
  SteadyCallers(const Fleet &To, size_t Callers, Asking Next);
  ~SteadyCallers() { stop(); }
  SteadyCallers(const SteadyCallers &) = delete;
  SteadyCallers &operator=(const SteadyCallers &) = delete;

  /** Lets every caller finish its request and ends them. */
  void stop();

  std::atomic<size_t> Good{0};    ///< Whole answers.
  std::atomic<size_t> Refused{0}; ///< Not run, with a time to come back.
  std::atomic<size_t> Other{0};   ///< Anything else.

private:
  void run(const Fleet &To, size_t n);

  Asking Next;
  std::atomic<bool> Ending{false};
  std::vector<std::thread> Threads;
};

} // namespace jacinthpond::fleet

#endif
