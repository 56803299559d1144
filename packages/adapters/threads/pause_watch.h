/** @file pause_watch.h Notices that the process stood still. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_PAUSE_WATCH_H
#define JACINTHPOND_ADAPTERS_THREADS_PAUSE_WATCH_H

#include "base/time_type.h"

#include <cstdint>
#include <mutex>

namespace jacinthpond {

/**
 * Counts the pauses of a process, from the gaps between the beats of its
 * control thread. Whichever thread wakes first sees the gap, so that one that
 * was about to act on an old decision can drop it.
 */
class PauseWatch {
public:
  /**
   * Starts watching.
   * @param Now Current time.
   * @param Gap Gap between two beats that counts as a pause.
   */
  PauseWatch(TimePoint Now, Millis Gap) : Last(Now), Gap(Gap) {}

  /**
   * The control thread is alive.
   * @param Now Current time.
   */
  void beat(TimePoint Now) {
    const std::lock_guard Lock(Guard);
    if (Now - Last > Gap)
      ++Pauses;
    Last = Now;
  }

  /**
   * Counts pauses, the one that has no beat after it yet included.
   * @param Now Current time.
   * @return Pauses since the start.
   */
  uint64_t pauses(TimePoint Now) {
    const std::lock_guard Lock(Guard);
    return Pauses + (Now - Last > Gap ? 1 : 0);
  }

private:
  std::mutex Guard; ///< Guards Last and Pauses.
  TimePoint Last;   ///< Last beat.
  uint64_t Pauses = 0;
  Millis Gap;
};

} // namespace jacinthpond

#endif
