/** @file quarantine_type.h Requests that were running when back ends died. */

#ifndef JACINTHPOND_CORE_QUARANTINE_TYPE_H
#define JACINTHPOND_CORE_QUARANTINE_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <map>
#include <set>
#include <string>

namespace jacinthpond {

/** What is known of a request that was running when a back end died. */
struct Suspect {
  std::set<std::string> Deaths;  ///< Ids of the deaths, each counted once.
  std::set<std::string> Cleared; ///< Deaths after which it ran to completion.
  bool Proven = false;           ///< It was running alone at one of them.
  TimePoint Last; ///< When the latest death or completed run was.
};

/** How to treat a request. */
enum class Suspicion : uint8_t {
  None,     ///< Not suspected.
  RunAlone, ///< Was running at a death that others may have caused.
  Refuse,   ///< Causes deaths: refused.
  Trial     ///< Was refused for long enough: may be tried once, alone.
};

/** Recent suspects. */
struct Quarantine {
  std::map<Digest, Suspect> Suspects; ///< By fingerprint.
};

} // namespace jacinthpond

#endif
