/** @file team_access_type.h What a team of the administration API may see. */

#ifndef JACINTHPOND_CORE_TEAM_ACCESS_TYPE_H
#define JACINTHPOND_CORE_TEAM_ACCESS_TYPE_H

#include "base/ids_type.h"

#include <set>
#include <string>

namespace jacinthpond {

/** What the team of a token may see. */
struct TeamAccess {
  std::string Team;                   ///< Name of the team, for logs.
  bool Operator = false;              ///< May see everything.
  std::set<ClassName> Classes;        ///< Classes that it may see.
  std::set<WorkspaceName> Workspaces; ///< Workspaces that it may see.
};

} // namespace jacinthpond

#endif
