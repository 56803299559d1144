/** @file reader_rank_type.h Next read of the configuration service. */

#ifndef JACINTHPOND_CORE_READER_RANK_TYPE_H
#define JACINTHPOND_CORE_READER_RANK_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

namespace jacinthpond {

/** Next read of the configuration service, or the wait until a decision. */
struct ReadPlan {
  bool Reader = false; ///< False: no read; decide again after Delay.
  Millis Delay{0};     ///< Wait before the read, or until the next decision.
  ConfigVersion After; ///< Version in force; only a newer one is of interest.
  Digest InForce;      ///< Digest of the document in force.
  Millis Wait{0};      ///< How long the service may wait for a new document.
};

} // namespace jacinthpond

#endif
