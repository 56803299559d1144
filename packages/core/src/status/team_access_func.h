/** @file team_access_func.h Tokens of teams and what they open. */

#ifndef JACINTHPOND_CORE_TEAM_ACCESS_FUNC_H
#define JACINTHPOND_CORE_TEAM_ACCESS_FUNC_H

#include "base/error_func.h"
#include "configuration/document_type.h"
#include "status/team_access_type.h"

#include <string_view>

namespace jacinthpond {

/**
 * Finds the team of a token.
 * @param Doc Document in force; may be null.
 * @param Authorization Content of the header, "Bearer TOKEN".
 * @return What the team may see; Unauthorized for a missing or wrong token,
 *         StaleView while there is no document. The failure never repeats the
 *         token.
 */
Result<TeamAccess> accessOf(const Document *Doc,
                            std::string_view Authorization);

/**
 * Says whether a team sees a class of work.
 * @param Access The team's access.
 * @param Class Name of the class.
 * @return True for its own classes, and for operators.
 */
bool seesClass(const TeamAccess &Access, const ClassName &Class);

/**
 * Says whether a team sees a tenant.
 * @param Access The team's access.
 * @param Tenant Name of the tenant.
 * @return True for its own tenants, and for operators.
 */
bool seesTenant(const TeamAccess &Access, const TenantName &Tenant);

/**
 * Says whether a team sees a worker.
 * @param Access The team's access.
 * @param Doc Document in force.
 * @param Host The worker.
 * @return True when the worker serves a class that the team sees.
 */
bool seesWorker(const TeamAccess &Access, const Document &Doc,
                const Worker &Host);

} // namespace jacinthpond

#endif
