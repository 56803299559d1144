/** @file route_match_type.h Matching requests to routes and workspaces. */

#ifndef JACINTHPOND_CORE_ROUTE_MATCH_TYPE_H
#define JACINTHPOND_CORE_ROUTE_MATCH_TYPE_H

#include "configuration/document_type.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jacinthpond {

/** Index of the routes and keys of one document, which must outlive it. */
struct RouteIndex {
  /** Routes by host in lower case, longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const Workspace *> ByKey; ///< By API key.
  bool KeysRequired = false; ///< Requests need a key: there are workspaces.
};

} // namespace jacinthpond

#endif
