/** @file crash_watch_type.h Back ends that may have crashed. */

#ifndef JACINTHPOND_CORE_FORWARDING_CRASH_WATCH_TYPE_H
#define JACINTHPOND_CORE_FORWARDING_CRASH_WATCH_TYPE_H

#include "admission/quarantine_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond {

/** Digests by which a request on a route is known. */
struct RequestDigests {
  Digest Content;            ///< The same for copies of the request.
  std::vector<Digest> Parts; ///< Parts of its prompt that others may share.
};

/** How to treat a request, and why. */
struct Verdict {
  Suspicion How = Suspicion::None; ///< How.
  Digest Suspect; ///< Request or part that is suspected; empty: none.
};

/** What came of a connection to the address of a back end. */
enum class AddressCheck : uint8_t {
  Refused,  ///< The host runs, and nobody listens: the back end has ended.
  Accepted, ///< The back end runs, or was replaced.
  NoAnswer  ///< The host is gone or cut off; nothing is known of the back end.
};

/** A run of a back end at which answers broke off. */
struct BrokenRun {
  TimePoint BrokeAt;       ///< When the first answer broke off.
  bool HasCrashed = false; ///< The address refused a connection afterwards.
  /** Requests under way there, and the parts of their prompts with a request
   * that has each; not announced yet. */
  std::map<Digest, Digest> Suspects;
  std::set<Digest> Announced; ///< Those that peers were told of.
};

/** Runs of back ends at which answers of this entry broke off lately. */
struct CrashWatch {
  std::map<std::string, BrokenRun> Runs; ///< By name of the run.
};

} // namespace jacinthpond

#endif
