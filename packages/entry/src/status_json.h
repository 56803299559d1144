/** @file status_json.h The administration API's answers as JSON. */

#ifndef JACINTHPOND_ENTRY_STATUS_JSON_H
#define JACINTHPOND_ENTRY_STATUS_JSON_H

#include "configuration/document_change_type.h"
#include "status/status_type.h"

#include <nlohmann/json.hpp>

namespace jacinthpond {

/**
 * Gives everything, for /v1/status.
 * @param Status What the reader may see.
 * @return JSON object.
 */
nlohmann::json statusJson(const FleetStatus &Status);

/**
 * Gives the domains, for /v1/domains.
 * @param Status What the reader may see.
 * @return JSON object.
 */
nlohmann::json domainsJson(const FleetStatus &Status);

/**
 * Gives what is in force in every process, for /v1/config.
 * @param Status What the reader may see.
 * @return JSON object.
 */
nlohmann::json configJson(const FleetStatus &Status);

/**
 * Gives the workers, for /v1/workers.
 * @param Status What the reader may see.
 * @return JSON object.
 */
nlohmann::json workersJson(const FleetStatus &Status);

/**
 * Gives the refusals, for /v1/refusals.
 * @param Status What the reader may see.
 * @return JSON object.
 */
nlohmann::json refusalsJson(const FleetStatus &Status);

/**
 * Gives the effect of a candidate, for /v1/check.
 * @param Change What it would change.
 * @return JSON object.
 */
nlohmann::json changeJson(const DocumentChange &Change);

} // namespace jacinthpond

#endif
