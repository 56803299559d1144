/** @file connection_state.h State of a TCP connection. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_CONNECTION_STATE_H
#define JACINTHPOND_ADAPTERS_HTTP_CONNECTION_STATE_H

#include <poll.h>

#include <chrono>

namespace jacinthpond {

/**
 * Says whether a connection whose sending side is open was reset or timed out.
 * The kernel reports that error once only, to a read or to a write; a read
 * after a failed write finds an end of file, as if the peer had closed in
 * order.
 * @param Socket Descriptor of the connected socket.
 * @param Wait Longest time to wait for that.
 * @return False also if the peer has only ended sending.
 */
inline bool isConnectionBroken(
    int Socket, std::chrono::milliseconds Wait = std::chrono::milliseconds(0)) {
  pollfd One{Socket, 0, 0};
  return ::poll(&One, 1, static_cast<int>(Wait.count())) > 0 &&
         (One.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace jacinthpond

#endif
