/** @file config_view_type.h The configuration in force at one process. */

#ifndef JACINTHPOND_CORE_CONFIG_VIEW_TYPE_H
#define JACINTHPOND_CORE_CONFIG_VIEW_TYPE_H

#include "base/time_type.h"
#include "configuration/document_type.h"

#include <optional>
#include <string>

namespace jacinthpond {

/** What became of a document that was offered. */
enum class OfferResult : uint8_t {
  Accepted, ///< Now in force.
  Same,     ///< In force already.
  Older,    ///< A newer one is in force.
  Invalid,  ///< Refused by validation.
  Conflict  ///< Same version with another content; the first one stays.
};

/** The highest valid version ever seen; it never goes back. */
struct ConfigView {
  DocumentPtr InForce; ///< Null until the first one is accepted.
  TimePoint Since;     ///< When it came into force.
  /** It was not published before this; nothing: not known. Earlier than Since
   * by as long as this process was out of touch. */
  std::optional<TimePoint> PublishedAfter;
  uint64_t Refused = 0;    ///< Invalid documents seen.
  uint64_t Conflicts = 0;  ///< Documents with a version taken already.
  std::string LastRefusal; ///< Faults of the last invalid document.
};

} // namespace jacinthpond

#endif
