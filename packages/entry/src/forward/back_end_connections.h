/** @file back_end_connections.h Connections to back ends. */

#ifndef JACINTHPOND_ENTRY_FORWARD_BACK_END_CONNECTIONS_H
#define JACINTHPOND_ENTRY_FORWARD_BACK_END_CONNECTIONS_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace jacinthpond {

/** A TCP connection to a back end. */
struct BackEndConnection {
  boost::asio::ip::tcp::socket Socket; ///< The socket.
  boost::beast::flat_buffer Buffer;    ///< Bytes received but not yet parsed.
  Address At;                          ///< Address of the back end.
  TimePoint IdleSince;                 ///< When the last response ended.
  Millis IdleLimit{0};                 ///< Longest idle time before reuse.
};

/**
 * Says whether a connection was reset or timed out, or is closed here.
 * @param One The connection.
 * @return False also if the back end has only ended sending.
 */
bool isBroken(BackEndConnection &One);

/** Pool of idle keep-alive connections; used by the traffic thread only. */
class BackEndConnectionPool {
public:
  /**
   * Takes an idle connection that has not expired and is still open.
   * @param At Address of the back end.
   * @param Now Current time.
   * @return The connection, or null if there is none.
   */
  std::unique_ptr<BackEndConnection> take(const Address &At, TimePoint Now);

  /**
   * Returns a connection to the pool after a complete response. Closes it
   * instead if the pool is full for this back end or reuse isn't allowed.
   * @param Idle The connection.
   * @param MaxKept Maximum number of idle connections to the same back end.
   */
  void keep(std::unique_ptr<BackEndConnection> Idle, size_t MaxKept);

  /**
   * Closes connections that have been idle for longer than their limit.
   * @param Now Current time.
   */
  void closeExpired(TimePoint Now);

private:
  std::map<Address, std::vector<std::unique_ptr<BackEndConnection>>>
      Connections; ///< Idle connections of each back end, newest last.
};

} // namespace jacinthpond

#endif
