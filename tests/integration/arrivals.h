/** @file arrivals.h Requests that arrive at stand-in workers, by entry. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_ARRIVALS_H
#define JACINTHPOND_TESTS_INTEGRATION_ARRIVALS_H

#include "fleet/route_fleet.h"
#include "fleet/steady_route_callers.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

/** A request that arrived at a worker. */
struct Arrival {
  std::chrono::duration<double, std::milli> At; ///< On the steady clock.
  std::string Id;                               ///< Id of the worker then.
  std::string Path;     ///< Its last element names the entry that was asked.
  int Status = 0;       ///< Status that it was answered with.
  bool Pause = false;   ///< The answer had a Retry-After header.
  bool Leaving = false; ///< The answer had a Server-Leaving header.
};

/** A fleet whose callers mark each request with the entry that they ask. */
struct MarkedFleet {
  static constexpr size_t Entries = 2;
  static constexpr size_t CallersOfAnEntry = 2;

  MarkedFleet() : All(RoutePlan{}) {
    BOOST_REQUIRE(All.waitServing(std::chrono::seconds(30)));
  }

  /** Gives the path of a request at an entry. */
  static std::string path(const std::string &Route, size_t Entry) {
    return "/" + Route + "/entry-" + std::to_string(Entry);
  }

  /** Gives a request on a route, marked with its entry. */
  static RouteAsk marked(const std::string &Route, size_t Entry) {
    RouteAsk What = Route == "write" ? writeAsk() : RouteAsk{};
    What.Path = path(Route, Entry);
    return What;
  }

  /** Starts callers of a route at all entries. */
  std::unique_ptr<SteadyRouteCallers> callers(const std::string &Route) const {
    return std::make_unique<SteadyRouteCallers>(
        All, Entries, CallersOfAnEntry,
        [Route](size_t Entry) { return marked(Route, Entry); });
  }

  /** Requests from an entry that arrived at a worker, in order. */
  std::vector<Arrival> arrivals(const std::string &Worker, size_t Entry) const {
    std::vector<Arrival> Found;
    const Json Arrivals = All.arrivalsFrom(Worker, 0);
    for (const Json &One : Arrivals)
      if (One["path"].get<std::string>().ends_with("/entry-" +
                                                   std::to_string(Entry)))
        Found.push_back({std::chrono::duration<double, std::milli>(
                             One["at_ms"].get<double>()),
                         One["id"], One["path"], One["status"],
                         One["retry_after"] != "", One["leaving"] != ""});
    return Found;
  }

  RouteFleet All;
};

} // namespace jacinthpond::fleet

#endif
