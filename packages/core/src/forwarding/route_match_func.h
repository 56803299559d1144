/** @file route_match_func.h Matching requests to routes and workspaces. */

#ifndef JACINTHPOND_CORE_ROUTE_MATCH_FUNC_H
#define JACINTHPOND_CORE_ROUTE_MATCH_FUNC_H

#include "forwarding/route_match_type.h"

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Builds the index of a document's routes and keys.
 * @param Doc The document; must outlive the index.
 * @return The index.
 */
RouteIndex makeRouteIndex(const Document &Doc);

/**
 * Normalizes a Host header.
 * @param Host Its value.
 * @return The host name in lower case, without port and blanks.
 */
std::string normalizedHost(std::string_view Host);

/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest prefix of the path.
 * @param Index The index.
 * @param Host Host header, with or without a port; case is ignored.
 * @param Target Request target; its query is ignored.
 * @return The route, or null.
 */
const Route *matchRoute(const RouteIndex &Index, std::string_view Host,
                        std::string_view Target);

/**
 * Chooses a service of a route in proportion to the weights.
 * @param Matched The route.
 * @param Hash Hash of the request's id.
 * @return The service; never one of weight 0 unless all have it.
 */
const ServiceName &chooseTarget(const Route &Matched, uint64_t Hash);

/**
 * Finds the workspace that a request belongs to by its API key.
 * @param Index The index.
 * @param Authorization Header value, "Bearer KEY".
 * @return The workspace that has the key, or null.
 */
const Workspace *matchWorkspace(const RouteIndex &Index,
                                std::string_view Authorization);

} // namespace jacinthpond

#endif
