/** @file connection_table_func.h Bounds on what callers make a process hold.
 *
 * Memory is charged as it is used, not when it is announced: otherwise clients
 * that send nothing would use it up. When it is used up, a request that is not
 * complete is refused, which is true to say that it was not run. It is the one
 * that has held the most for the longest time: requests that stop or trickle
 * exceed the others soon, and those that make progress become complete.
 */

#ifndef JACINTHPOND_CORE_CONNECTION_TABLE_FUNC_H
#define JACINTHPOND_CORE_CONNECTION_TABLE_FUNC_H

#include "admission/connection_table_type.h"

#include <vector>

namespace jacinthpond {

/** Memory of a connection that is not refused for what others hold, as long as
 * the reserve for small requests lasts. */
constexpr size_t SmallRequestBytes = 16 << 10;
/** Part of the memory that only small requests may use: one in this number. */
constexpr size_t SmallReserveParts = 32;

/**
 * Adds a connection that was just accepted.
 * @param Table The connections.
 * @param Now Current time.
 * @return Its id.
 */
ConnectionId addConnection(ConnectionTable &Table, TimePoint Now);

/**
 * Removes a connection that was closed.
 * @param Table The connections.
 * @param Id The connection; may be unknown.
 */
void removeConnection(ConnectionTable &Table, ConnectionId Id);

/**
 * Records what a connection is used for and how much it holds.
 * @param Table The connections.
 * @param Id The connection; may be unknown.
 * @param Phase What it is used for.
 * @param Bytes Memory that it holds.
 * @param Now Current time.
 */
void recordConnection(ConnectionTable &Table, ConnectionId Id,
                      ConnectionPhase Phase, size_t Bytes, TimePoint Now);

/**
 * Records whose request arrives on a connection.
 * @param Table The connections.
 * @param Id The connection; may be unknown.
 * @param Owner The workspace; an empty name where no key is needed.
 */
void recordOwner(ConnectionTable &Table, ConnectionId Id,
                 const WorkspaceName &Owner);

/**
 * Chooses a connection that has to give way because of the memory. Requests
 * without a known key go first, then those of the workspace that holds most;
 * complete requests never. Where no request is arriving, an answer that is not
 * read goes.
 * @param Table The connections.
 * @param Grown The connection that holds more than before.
 * @param Now Current time.
 * @return The connection, which may be Grown; nothing if the limit is kept or
 *         Grown is the only large one.
 */
std::optional<ConnectionId> connectionOverMemory(const ConnectionTable &Table,
                                                 ConnectionId Grown,
                                                 TimePoint Now);

/**
 * Chooses the connections that have to be closed because there are too many.
 * Connections that have not delivered a request go first, those without a known
 * key before others, then idle ones, the oldest first; never one whose request
 * is complete, and the newest one only where there is no other. More than
 * needed are chosen of the first kind, so that not each new connection costs a
 * search.
 * @param Table The connections.
 * @return The connections; empty if the limit is kept.
 */
std::vector<ConnectionId> connectionsOverLimit(const ConnectionTable &Table);

} // namespace jacinthpond

#endif
