/** @file client_pool.h HTTP clients of one server with kept connections. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_CLIENT_POOL_H
#define JACINTHPOND_ADAPTERS_HTTP_CLIENT_POOL_H

#include "http/bounded_client.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jacinthpond {

/**
 * Sends requests to one server over connections that are kept between requests.
 * Any number of threads may use it; each request has a connection of its own.
 */
class ClientPool {
public:
  /**
   * Sets the server; nothing is sent yet.
   * @param Url "http://IP:port".
   * @param Limits Bounds of each request.
   */
  ClientPool(std::string Url, ClientLimits Limits);

  /**
   * Sends a request. Its connection is dropped when no answer came: an answer
   * that comes later would pass for that of the next request.
   * @param Request Sends the request with the given client.
   * @return The answer, or why there is none.
   */
  httplib::Result
  send(const std::function<httplib::Result(BoundedClient &)> &Request);

private:
  std::unique_ptr<BoundedClient> take();
  void keep(std::unique_ptr<BoundedClient> Client);

  std::string Url;
  ClientLimits Limits;
  std::mutex Guard;                                 ///< Protects Idle.
  std::vector<std::unique_ptr<BoundedClient>> Idle; ///< Not in use now.
};

} // namespace jacinthpond

#endif
