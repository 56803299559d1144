/** @file weights_health.h What an entry sees of the spread of weights. */

#ifndef JACINTHPOND_ENTRY_WEIGHTS_HEALTH_H
#define JACINTHPOND_ENTRY_WEIGHTS_HEALTH_H

#include "attempts/entry_type.h"

#include <nlohmann/json.hpp>

namespace jacinthpond {

/**
 * Sums up what agents say of their weights.
 * @param Entry State of the entry.
 * @return "replicas": workers that would admit a request, by digest of their
 *         weights; and bytes of chunks by where they came from.
 */
nlohmann::json weightsHealth(const EntryState &Entry);

} // namespace jacinthpond

#endif
