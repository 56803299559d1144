/** @file open_requests.h HTTP requests that another thread can cancel. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_OPEN_REQUESTS_H
#define JACINTHPOND_ADAPTERS_HTTP_OPEN_REQUESTS_H

#include <httplib.h>

#include <functional>
#include <mutex>
#include <set>

namespace jacinthpond {

/** The requests that are under way, each with a client of its own. */
class OpenRequests {
public:
  /**
   * Sends a request that stopAll() can cancel.
   * @param Client The client that sends it.
   * @param Request Sends the request.
   * @return The answer, or why there is none.
   */
  httplib::Result send(httplib::ClientImpl &Client,
                       const std::function<httplib::Result()> &Request);

  /** Closes the connections of all requests that are under way. */
  void stopAll();

private:
  std::mutex Guard;                        ///< Protects Clients.
  std::set<httplib::ClientImpl *> Clients; ///< Clients with an open request.
};

} // namespace jacinthpond

#endif
