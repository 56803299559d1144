/** @file http_client.h Creation of HTTP clients with timeouts. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_HTTP_CLIENT_H
#define JACINTHPOND_ADAPTERS_HTTP_HTTP_CLIENT_H

#include <httplib.h>

#include <chrono>
#include <string>

namespace jacinthpond {

/** Timeouts of a client. */
struct ClientTimeouts {
  std::chrono::milliseconds Connect; ///< For connecting.
  std::chrono::milliseconds Silence; ///< Between bytes, in either direction.
};

/**
 * Creates a client; nothing is sent yet.
 * @param Url "http://IP:port".
 * @param Timeouts Its timeouts.
 * @return The client.
 */
inline httplib::Client makeClient(const std::string &Url,
                                  const ClientTimeouts &Timeouts) {
  httplib::Client Client(Url);
  Client.set_connection_timeout(Timeouts.Connect);
  Client.set_read_timeout(Timeouts.Silence);
  Client.set_write_timeout(Timeouts.Silence);
  Client.set_tcp_nodelay(true);
  return Client;
}

} // namespace jacinthpond

#endif
