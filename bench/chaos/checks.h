/** @file checks.h The promises, checked from the records of the stand-ins. */

#ifndef JACINTHPOND_BENCH_CHAOS_CHECKS_H
#define JACINTHPOND_BENCH_CHAOS_CHECKS_H

#include "chaos/callers.h"

#include <set>
#include <string>
#include <vector>

namespace jacinthpond::chaos {

/**
 * Compares what callers were told with what the back ends recorded.
 * @param All The fleet, healed.
 * @param Seen What callers saw.
 * @param Published Digests of all weights that were published.
 * @return One line for each promise found broken, its number first.
 */
std::vector<std::string> checkPromises(const fleet::Fleet &All,
                                       const Ledger &Seen,
                                       const std::set<std::string> &Published);

/** Highest version that each entry told, to see that none goes back. */
class VersionWatch {
public:
  /**
   * Looks at all entries that answer.
   * @param All The fleet.
   * @return Entries that went back to an older version.
   */
  std::vector<std::string> look(const fleet::Fleet &All);

private:
  std::map<std::string, std::pair<int, uint64_t>> Highest; ///< By pid.
};

} // namespace jacinthpond::chaos

#endif
