/** @file route_match_type.h Which route a request belongs to. */

#ifndef JACINTHPOND_CORE_ROUTE_MATCH_TYPE_H
#define JACINTHPOND_CORE_ROUTE_MATCH_TYPE_H

#include "configuration/document_type.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jacinthpond {

/** Look-ups into one document; valid as long as the document lives. */
struct RouteIndex {
  /** Routes of each host, longest prefix first. */
  std::unordered_map<std::string, std::vector<const Route *>> ByHost;
  std::unordered_map<std::string, const Tenant *> ByKey; ///< Owner of a key.
  bool KeysWanted = false; ///< The document names tenants.
};

} // namespace jacinthpond

#endif
