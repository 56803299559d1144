/** @file heals.h Failures under way, each with what undoes it. */

#ifndef JACINTHPOND_BENCH_CHAOS_HEALS_H
#define JACINTHPOND_BENCH_CHAOS_HEALS_H

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace jacinthpond::chaos {

using Clock = std::chrono::steady_clock;

/** What undoes failures, and when. Used by the main thread only. */
class Heals {
public:
  /**
   * Undoes a failure later.
   * @param Target What fails; counts as faulty until then.
   * @param Length How long it fails.
   * @param Action Undoes it.
   */
  void later(const std::string &Target, std::chrono::milliseconds Length,
             std::function<void()> Action);

  /**
   * Tells whether a failure is under way.
   * @param Target Of what.
   * @return Whether one is.
   */
  bool isFaulty(const std::string &Target) const;

  /** Undoes what is due. */
  void runDue();

  /** Undoes everything, also what actions put off meanwhile. */
  void runAll();

private:
  /** One failure. */
  struct Heal {
    Clock::time_point Due;        ///< When it ends.
    std::function<void()> Action; ///< Undoes it.
    std::string Target;           ///< Whose failure it is.
  };

  std::vector<Heal> Waiting;
};

} // namespace jacinthpond::chaos

#endif
