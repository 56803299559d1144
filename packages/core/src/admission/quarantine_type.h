/** @file quarantine_type.h Requests that were running when back ends died. */

#ifndef JACINTHPOND_CORE_QUARANTINE_TYPE_H
#define JACINTHPOND_CORE_QUARANTINE_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <map>
#include <set>
#include <string>

namespace jacinthpond {

/** What is known of one request that was running when a back end died. */
struct Suspect {
  std::set<std::string> Deaths;  ///< Names of the deaths, each counted once.
  std::set<std::string> Cleared; ///< Deaths after which it ran whole.
  bool Proven = false;           ///< It ran alone at one of them.
  TimePoint Last;                ///< When the last one was.
};

/** How a request is to be treated. */
enum class Suspicion : uint8_t {
  None,     ///< Like any other.
  RunAlone, ///< It was there at one death: nothing may run beside it.
  Refuse    ///< It cost two back ends: it is refused for a time.
};

/** Suspects by fingerprint. */
struct Quarantine {
  std::map<Digest, Suspect> Suspects; ///< Those of the last while.
};

} // namespace jacinthpond

#endif
