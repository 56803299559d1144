/** @file steady_route_callers.h Callers of routes that ask again and again. */

#ifndef JACINTHPOND_BENCH_FLEET_STEADY_ROUTE_CALLERS_H
#define JACINTHPOND_BENCH_FLEET_STEADY_ROUTE_CALLERS_H

#include "fleet/route_fleet.h"

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

/** Callers of routes that ask every 40 ms, whatever they are told; they end
 * with this object. */
class SteadyRouteCallers {
public:
  /** Gives the requests of the callers at an entry. */
  using Asking = std::function<RouteAsk(size_t Entry)>;

  /**
   * Starts the callers.
   * @param Of Whom to ask; outlives this object.
   * @param Entries Number of its entries.
   * @param PerEntry Callers at each entry.
   * @param Next What they ask.
   */
  SteadyRouteCallers(const RouteFleet &Of, size_t Entries, size_t PerEntry,
                     const Asking &Next);

  std::atomic<int> Asked{0};  ///< Requests sent.
  std::atomic<int> Served{0}; ///< Those answered with status 200.

private:
  std::vector<std::jthread> Callers; ///< Last: joined before the counts go.
};

} // namespace jacinthpond::fleet

#endif
