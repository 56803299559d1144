/** @file route_soak.h Random failures of a fleet that serves routes. */

#ifndef JACINTHPOND_BENCH_CHAOS_ROUTE_SOAK_H
#define JACINTHPOND_BENCH_CHAOS_ROUTE_SOAK_H

#include "fleet/process_runner.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace jacinthpond::chaos {

/** One run. */
struct SoakPlan {
  uint64_t Seed = 1;               ///< Of all choices.
  std::chrono::seconds Length{20}; ///< Time with failures.
  size_t Entries = 3;              ///< Entries.
  size_t Models = 3;               ///< Model workers with agents.
  size_t Plains = 3;               ///< Plain back ends.
  std::string Only = {};           ///< Kinds of failures; empty: by the seed.
  bool Busy = false;               ///< Streams take all slots.
};

/**
 * Callers ask without pause while processes, links, store and back ends fail
 * and configurations change; then everything is healed and has to be served
 * again. What callers and workers saw is judged on the way.
 * @param Plan What to run.
 * @return What was seen; "violations" lists what did not hold. Where there are
 * any, "faults" has each failure with its time, and "logs" is the folder of all
 * processes' logs, which is kept.
 */
fleet::Json soakRoutes(const SoakPlan &Plan);

} // namespace jacinthpond::chaos

#endif
