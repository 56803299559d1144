/** @file config_view_type.h The configuration in force at one process. */

#ifndef JACINTHPOND_CORE_CONFIG_VIEW_TYPE_H
#define JACINTHPOND_CORE_CONFIG_VIEW_TYPE_H

#include "base/time_type.h"
#include "configuration/document_type.h"

#include <optional>
#include <string>

namespace jacinthpond {

/** Result of offering a document. */
enum class OfferResult : uint8_t {
  Accepted, ///< It came into force.
  Same,     ///< The same text is in force already.
  Older,    ///< A newer one is in force.
  Invalid,  ///< It failed validation.
  Conflict  ///< Same version, other content; the first one stays.
};

/** The document in force: the highest valid version ever seen. */
struct ConfigView {
  DocumentPtr InForce; ///< Null until the first one is accepted.
  TimePoint Since;     ///< When it came into force.
  /** Earliest time at which it can have been published; empty: unknown. Before
   * Since by as long as this process was out of contact. */
  std::optional<TimePoint> PublishedAfter;
  uint64_t Refused = 0; ///< Invalid documents seen.
  /** Since when documents have been refused without one that was accepted. */
  std::optional<TimePoint> RefusedSince;
  uint64_t Conflicts = 0;  ///< Other documents with the version in force.
  std::string LastRefusal; ///< Validation errors of the last invalid document.
};

} // namespace jacinthpond

#endif
