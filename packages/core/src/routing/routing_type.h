/** @file routing_type.h Input to the choice of a worker. */

#ifndef JACINTHPOND_CORE_ROUTING_TYPE_H
#define JACINTHPOND_CORE_ROUTING_TYPE_H

#include "base/ids_type.h"
#include "wire/message_type.h"

namespace jacinthpond {

/** A worker that may be chosen for a request. */
struct Candidate {
  HostName Name;                ///< Published name.
  LinkId Link;                  ///< Ready link to its agent.
  WorkerLoad Load;              ///< Last load that it reported.
  uint32_t SentSince = 0;       ///< Attempts sent to it since that report.
  uint32_t Open = 0;            ///< Attempts of this entry that are open at it.
  bool InOwnDomain = false;     ///< In the failure domain of this entry.
  bool RefusedRecently = false; ///< It refused work for lack of capacity.
};

} // namespace jacinthpond

#endif
