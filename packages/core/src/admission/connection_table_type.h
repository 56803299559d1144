/** @file connection_table_type.h What the connections of callers hold. */

#ifndef JACINTHPOND_CORE_CONNECTION_TABLE_TYPE_H
#define JACINTHPOND_CORE_CONNECTION_TABLE_TYPE_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace jacinthpond {

using ConnectionId = NumberId<struct ConnectionIdTag>; ///< Never used again.

/** What a connection is used for at the moment. */
enum class ConnectionPhase : uint8_t {
  Idle,      ///< No byte of a request has come.
  Receiving, ///< A request has begun and is not complete.
  Working,   ///< A complete request has no complete answer yet.
  Sending,   ///< The caller has not read its answer.
  Closing    ///< Refused; what the caller still sends is discarded.
};

/** One connection of a caller. */
struct ConnectionLoad {
  ConnectionPhase Phase = ConnectionPhase::Idle;
  TimePoint PhaseSince;   ///< When the phase began.
  bool Served = false;    ///< It has delivered a complete request.
  size_t Bytes = 0;       ///< Memory that it holds.
  double ByteSeconds = 0; ///< Bytes held in this phase, times how long.
  TimePoint CountedUntil; ///< Time up to which ByteSeconds counts.
  std::optional<WorkspaceName>
      Owner; ///< Workspace of the request that arrives; none: not known yet.
};

/** Bounds on all connections together. */
struct ConnectionLimits {
  size_t Bytes = 0;       ///< Memory that they may hold.
  size_t Connections = 0; ///< Most connections.
};

/** All connections of callers of one process. */
struct ConnectionTable {
  ConnectionLimits Limits;
  std::map<ConnectionId, ConnectionLoad> Rows;
  size_t Bytes = 0;    ///< Sum over all rows.
  uint64_t NextId = 1; ///< Id of the next connection.
};

} // namespace jacinthpond

#endif
