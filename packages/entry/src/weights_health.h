/** @file weights_health.h Distribution of weights as an entry sees it. */

#ifndef JACINTHPOND_ENTRY_WEIGHTS_HEALTH_H
#define JACINTHPOND_ENTRY_WEIGHTS_HEALTH_H

#include "attempts/entry_type.h"

#include <nlohmann/json.hpp>

namespace jacinthpond {

/**
 * Sums up the weights that agents report, for /v1/health.
 * @param Entry State of the entry.
 * @return "replicas": number of workers that admit requests, by digest of their
 *         weights; and sums of chunks and of transferred bytes by source.
 */
nlohmann::json weightsHealth(const EntryState &Entry);

} // namespace jacinthpond

#endif
