/** @file route_match_func.h Which route a request belongs to. */

#ifndef JACINTHPOND_CORE_ROUTE_MATCH_FUNC_H
#define JACINTHPOND_CORE_ROUTE_MATCH_FUNC_H

#include "forwarding/route_match_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Prepares a document for look-ups.
 * @param Doc The document; must outlive the index.
 * @return The index.
 */
RouteIndex makeRouteIndex(const Document &Doc);

/**
 * Finds the route of a request: of those of its host, the one with the longest
 * prefix that begins the path.
 * @param Index The index.
 * @param Host Host header, with or without a port, in any case.
 * @param Target Request target; its query does not count.
 * @return The route, or null.
 */
const Route *matchRoute(const RouteIndex &Index, std::string_view Host,
                        std::string_view Target);

/**
 * Finds whose request it is.
 * @param Index The index.
 * @param Authorization Header value, "Bearer KEY".
 * @return The tenant that holds the key, or null.
 */
const Tenant *matchTenant(const RouteIndex &Index,
                          std::string_view Authorization);

} // namespace jacinthpond

#endif
