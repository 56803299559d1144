/** @file control_loop.h Event loop that owns the state of a process. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_CONTROL_LOOP_H
#define JACINTHPOND_ADAPTERS_THREADS_CONTROL_LOOP_H

#include "clock_port.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace jacinthpond {

/** Runs tasks one after the other, and a periodic tick, on the thread that
 * calls run(). */
class ControlLoop {
public:
  /** Work on the process's state; gets the current time. */
  using Task = std::function<void(TimePoint)>;

  /**
   * Creates a loop; run() starts it.
   * @param ProcessClock Clock of the process.
   */
  explicit ControlLoop(const ClockPort &ProcessClock) : Clock(ProcessClock) {}

  /**
   * Queues a task; thread-safe.
   * @param Work The task.
   */
  void post(Task Work);

  /**
   * Queues a task and waits until it has run. Deadlocks on the loop's own
   * thread.
   * @param Work The task.
   */
  void postAndWait(const Task &Work);

  /**
   * Runs tasks until stop().
   * @param TickPeriod Time between two ticks.
   * @param Tick Called at once, then after each period.
   */
  void run(Millis TickPeriod, const Task &Tick);

  /**
   * Changes the time between two ticks; on the loop's own thread only.
   * @param NewPeriod In force from the next tick on.
   */
  void setPeriod(Millis NewPeriod) { Period = NewPeriod; }

  /** Makes run() return after the current task; thread-safe. */
  void stop();

private:
  const ClockPort &Clock;
  std::mutex Guard;                ///< Guards Tasks and Stopped.
  std::condition_variable Changed; ///< Signals a new task or stop().
  std::deque<Task> Tasks;
  bool Stopped = false;
  Millis Period{0}; ///< Time between two ticks; used on the loop's thread only.
};

} // namespace jacinthpond

#endif
