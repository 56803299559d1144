/** @file reader_rank_type.h What a reader of the configuration service does. */

#ifndef JACINTHPOND_CORE_READER_RANK_TYPE_H
#define JACINTHPOND_CORE_READER_RANK_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

namespace jacinthpond {

/** What to do next with the configuration service. */
struct ReadTurn {
  bool Reader = false; ///< False: look again after Delay.
  Millis Delay{0};     ///< Wait before the read, or before the next look.
  ConfigVersion After; ///< Version in force.
  Digest InForce;      ///< Digest of the document in force.
  Millis Wait{0};      ///< Longest wait of the watch.
};

} // namespace jacinthpond

#endif
