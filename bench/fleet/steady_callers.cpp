/** @file steady_callers.cpp Callers that ask again and again. */

#include "fleet/steady_callers.h"

#include <algorithm>
#include <utility>

namespace jacinthpond::fleet {

namespace {

/** Shortest time that a refused caller stays away. */
constexpr int ShortestWait = 20;

} // namespace

SteadyCallers::SteadyCallers(const Fleet &To, size_t Callers, Asking Next)
    : Next(std::move(Next)) {
  for (size_t n = 0; n < Callers; ++n)
    Threads.emplace_back([this, &To, n] { run(To, n); });
}

void SteadyCallers::stop() {
  Ending = true;
  for (std::thread &One : Threads)
    One.join();
  Threads.clear();
}

void SteadyCallers::run(const Fleet &To, size_t n) {
  for (size_t i = 0; !Ending; ++i) {
    const Answer Got = To.ask((n + i) % To.Plan.Entries, Next(n, i));
    const Json Body = Got.json();
    const int Wait = Body.value("/error/retry_after_ms"_json_pointer, 0);
    const bool NotRun = Body.value("/error/ran"_json_pointer, "") == "no";
    ++(Got.Status == 200 ? Good : NotRun && Wait > 0 ? Refused : Other);
    if (Got.Status != 200)
      std::this_thread::sleep_for(
          std::chrono::milliseconds(std::max(Wait, ShortestWait)));
  }
}

} // namespace jacinthpond::fleet
