/** @file table/route_table.h Name of each route kind, in enum order. */

#ifndef JACINTHPOND_CORE_TABLE_ROUTE_TABLE_H
#define JACINTHPOND_CORE_TABLE_ROUTE_TABLE_H

#include <array>
#include <string_view>

namespace jacinthpond {

/** Names of RouteKind in documents, indexed by RouteKind. */
constexpr std::array<std::string_view, 3> RouteKindNames = {
    "idempotent", "at_most_once", "stream"};

} // namespace jacinthpond

#endif
