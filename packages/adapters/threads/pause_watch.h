/** @file pause_watch.h Detects that the process was paused. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_PAUSE_WATCH_H
#define JACINTHPOND_ADAPTERS_THREADS_PAUSE_WATCH_H

#include "base/time_type.h"

#include <cstdint>
#include <mutex>

namespace jacinthpond {

/**
 * Counts the pauses of a process (a suspended host, a stopped process) by the
 * gaps between beats of its control thread. After a pause, any thread can see
 * the gap before the next beat. A thread that was about to act on a decision
 * from before the pause compares pauses() and drops the decision.
 */
class PauseWatch {
public:
  /**
   * Starts watching.
   * @param Now Current time.
   * @param MinPause Shortest gap between two beats that counts as a pause.
   */
  PauseWatch(TimePoint Now, Millis MinPause)
      : LastBeat(Now), Threshold(MinPause) {}

  /**
   * Records that the control thread is running.
   * @param Now Current time.
   */
  void recordBeat(TimePoint Now) {
    const std::lock_guard Lock(Guard);
    if (Now - LastBeat > Threshold)
      ++Pauses;
    LastBeat = Now;
  }

  /**
   * Gives the number of pauses, including one that no beat has followed yet.
   * @param Now Current time.
   * @return Pauses since the start.
   */
  uint64_t pauses(TimePoint Now) {
    const std::lock_guard Lock(Guard);
    return Pauses + (Now - LastBeat > Threshold ? 1 : 0);
  }

private:
  std::mutex Guard;    ///< Guards LastBeat and Pauses.
  TimePoint LastBeat;  ///< Time of the latest beat.
  uint64_t Pauses = 0; ///< Pauses that a beat has followed.
  Millis Threshold;    ///< Longest gap between two beats that is no pause.
};

} // namespace jacinthpond

#endif
