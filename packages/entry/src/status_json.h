/** @file status_json.h JSON answers of the administration API. */

#ifndef JACINTHPOND_ENTRY_STATUS_JSON_H
#define JACINTHPOND_ENTRY_STATUS_JSON_H

#include "configuration/document_change_type.h"
#include "status/status_type.h"

#include <nlohmann/json.hpp>

namespace jacinthpond {

/**
 * Formats the whole status, for /v1/status.
 * @param Status The status, as far as the client may see it.
 * @return JSON object.
 */
nlohmann::json statusJson(const FleetStatus &Status);

/**
 * Formats the failure domains, for /v1/domains.
 * @param Status The status, as far as the client may see it.
 * @return JSON object.
 */
nlohmann::json domainsJson(const FleetStatus &Status);

/**
 * Formats the configuration version in force in each process, for /v1/config.
 * @param Status The status, as far as the client may see it.
 * @return JSON object.
 */
nlohmann::json configJson(const FleetStatus &Status);

/**
 * Formats the workers, for /v1/workers.
 * @param Status The status, as far as the client may see it.
 * @return JSON object.
 */
nlohmann::json workersJson(const FleetStatus &Status);

/**
 * Formats errors, refused documents and quarantined requests, for
 * /v1/refusals.
 * @param Status The status, as far as the client may see it.
 * @return JSON object.
 */
nlohmann::json refusalsJson(const FleetStatus &Status);

/**
 * Formats what a candidate document would change, for /v1/check.
 * @param Change The changes.
 * @return JSON object.
 */
nlohmann::json changeJson(const DocumentChange &Change);

} // namespace jacinthpond

#endif
