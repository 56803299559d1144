/** @file control_loop.cpp Event loop that owns the state of a process. */

#include "threads/control_loop.h"

#include <future>
#include <utility>

namespace jacinthpond {

void ControlLoop::post(Task Work) {
  {
    const std::lock_guard Lock(Guard);
    Tasks.push_back(std::move(Work));
  }
  Changed.notify_one();
}

void ControlLoop::postAndWait(const Task &Work) {
  std::promise<void> Done;
  post([&](TimePoint Now) {
    Work(Now);
    Done.set_value();
  });
  Done.get_future().wait();
}

void ControlLoop::run(Millis TickPeriod, const Task &Tick) {
  Period = TickPeriod;
  TimePoint NextTick = Clock.now();
  std::unique_lock Lock(Guard);
  while (!Stopped) {
    if (Clock.now() >= NextTick) {
      Lock.unlock();
      Tick(Clock.now());
      Lock.lock();
      NextTick = Clock.now() + Period;
    }
    if (Tasks.empty()) {
      Changed.wait_for(Lock, NextTick - Clock.now());
      continue;
    }
    const Task Work = std::move(Tasks.front());
    Tasks.pop_front();
    Lock.unlock();
    Work(Clock.now());
    Lock.lock();
  }
}

void ControlLoop::stop() {
  {
    const std::lock_guard Lock(Guard);
    Stopped = true;
  }
  Changed.notify_all();
}

} // namespace jacinthpond
