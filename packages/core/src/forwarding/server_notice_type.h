/** @file server_notice_type.h What back ends announce in their answers. */

#ifndef JACINTHPOND_CORE_SERVER_NOTICE_TYPE_H
#define JACINTHPOND_CORE_SERVER_NOTICE_TYPE_H

#include "admission/server_backoff_type.h"

#include <cstdint>

namespace jacinthpond {

/** What one run of a back end announced to this entry. */
struct ServerNotices {
  uint64_t Born = 0;             ///< Start of that run; see BackEndServer.
  ServerBackoff Backoff;         ///< Pause that it asked for.
  bool Leaving = false;          ///< It told this entry that it shuts down.
  bool LeavingElsewhere = false; ///< It told so another process of the fleet.
  TimePoint ForgetAt;            ///< Kept until then without a row.
  bool HasUnreadable = false;    ///< A notice of it could not be read.
};

} // namespace jacinthpond

#endif
