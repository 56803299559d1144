/** @file team_access_func.h Access of teams to the administration API. */

#ifndef JACINTHPOND_CORE_TEAM_ACCESS_FUNC_H
#define JACINTHPOND_CORE_TEAM_ACCESS_FUNC_H

#include "base/error_func.h"
#include "configuration/document_type.h"
#include "status/team_access_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Finds the team of a token and what it may see.
 * @param Doc Document in force; may be null.
 * @param Authorization Value of the Authorization header, "Bearer TOKEN".
 * @return What the team may see; Unauthorized for a missing or wrong token,
 *         StaleView before the first document. The error never contains the
 * token.
 */
Result<TeamAccess> authenticateTeam(const Document *Doc,
                                    std::string_view Authorization);

/**
 * Says whether a team may see a class.
 * @param Access The team's access.
 * @param Class Name of the class.
 * @return True for its own classes, and for operators.
 */
bool canSeeClass(const TeamAccess &Access, const ClassName &Class);

/**
 * Says whether a team may see a workspace.
 * @param Access The team's access.
 * @param Workspace Name of the workspace.
 * @return True for its own workspaces, and for operators.
 */
bool canSeeWorkspace(const TeamAccess &Access, const WorkspaceName &Workspace);

/**
 * Says whether a team may see a worker.
 * @param Access The team's access.
 * @param Doc Document in force.
 * @param Host The worker.
 * @return True for operators, and when the worker serves a class that the team
 * may see.
 */
bool canSeeWorker(const TeamAccess &Access, const Document &Doc,
                  const Worker &Host);

} // namespace jacinthpond

#endif
