/** @file control_loop.h The one thread that owns a process's state. */

#ifndef JACINTHPOND_ADAPTERS_THREADS_CONTROL_LOOP_H
#define JACINTHPOND_ADAPTERS_THREADS_CONTROL_LOOP_H

#include "clock_port.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace jacinthpond {

/** Runs tasks one after the other on the thread that calls run(). */
class ControlLoop {
public:
  /** Work on the state; gets the time at which it runs. */
  using Task = std::function<void(TimePoint)>;

  /**
   * Makes a loop that is not running yet.
   * @param Source Clock of the process.
   */
  explicit ControlLoop(const ClockPort &Source) : Clock(Source) {}

  /**
   * Adds a task; may be called from any thread.
   * @param Work The task.
   */
  void post(Task Work);

  /**
   * Adds a task and waits until it ran; not from the loop's own thread.
   * @param Work The task.
   */
  void postAndWait(const Task &Work);

  /**
   * Runs tasks until stop().
   * @param Between Time between two ticks.
   * @param Tick Called when a period has passed.
   */
  void run(Millis Between, const Task &Tick);

  /**
   * Changes the time between two ticks; from the loop's own thread only.
   * @param Next The time from the next tick on.
   */
  void setPeriod(Millis Next) { Period = Next; }

  /** Ends run() after the task under way; may be called from any thread. */
  void stop();

private:
  const ClockPort &Clock;
  std::mutex Guard; ///< Guards Tasks and Stopped.
  std::condition_variable Changed;
  std::deque<Task> Tasks;
  bool Stopped = false;
  Millis Period{0}; ///< Time between two ticks; the loop's own.
};

} // namespace jacinthpond

#endif
