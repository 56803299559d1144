/** @file routing_type.h What the choice of a worker is made from. */

#ifndef JACINTHPOND_CORE_ROUTING_TYPE_H
#define JACINTHPOND_CORE_ROUTING_TYPE_H

#include "base/ids_type.h"
#include "wire/message_type.h"

namespace jacinthpond {

/** A worker that could take a request. */
struct Candidate {
  HostName Name;          ///< Published name.
  LinkId Link;            ///< Ready link to its agent.
  WorkerLoad Load;        ///< Last load told.
  uint32_t SentSince = 0; ///< Attempts sent there since Load was told.
  uint32_t Open = 0;      ///< Attempts that this entry has open there.
  bool Near = false;      ///< In the failure domain of this entry.
  bool Avoid = false;     ///< It refused work a moment ago.
};

} // namespace jacinthpond

#endif
