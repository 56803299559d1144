/** @file quarantine_type.h Requests, and parts of prompts, that were under way
 * when back ends died.
 */

#ifndef JACINTHPOND_CORE_QUARANTINE_TYPE_H
#define JACINTHPOND_CORE_QUARANTINE_TYPE_H

#include "admission/part_history_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

#include <map>
#include <set>
#include <string>

namespace jacinthpond {

/** The end of a back end while a suspect was running there. */
struct Death {
  TimePoint At;   ///< When it was.
  Digest Request; ///< Request with the part; empty: the suspect is a request.
};

/** What is known of a request, or of a part of prompts, that was running when a
 * back end died. */
struct Suspect {
  std::map<std::string, Death> Deaths; ///< By id, each counted once.
  std::set<std::string> Cleared;       ///< Deaths that it did not cause.
  bool Proven = false;                 ///< It was running alone at one of them.
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
  PartHistory Seen; ///< Parts with which answers were begun here.
};

} // namespace jacinthpond

#endif
