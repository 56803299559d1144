/** @file steady_route_callers.cpp Callers of routes that ask again and again.
 */

#include "fleet/steady_route_callers.h"

namespace jacinthpond::fleet {

namespace {

constexpr std::chrono::milliseconds AskPeriod{40};

} // namespace

SteadyRouteCallers::SteadyRouteCallers(const RouteFleet &Of, size_t Entries,
                                       size_t PerEntry, const Asking &Next) {
  for (size_t n = 0; n < Entries * PerEntry; ++n)
    Callers.emplace_back(
        [this, &Of, Entry = n % Entries, Next](const std::stop_token &Stop) {
          while (!Stop.stop_requested()) {
            ++Asked;
            Served += Of.ask(Entry, Next(Entry)).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(AskPeriod);
          }
        });
}

} // namespace jacinthpond::fleet
