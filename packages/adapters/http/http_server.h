/** @file http_server.h Set-up and error answers of all HTTP listeners. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_HTTP_SERVER_H
#define JACINTHPOND_ADAPTERS_HTTP_HTTP_SERVER_H

#include "base/error_func.h"
#include "base/ids_type.h"
#include "settings/resource_shares_func.h"

#include <httplib.h>

#include <string>
#include <thread>
#include <vector>

namespace jacinthpond {

/** Limits of one listener. */
struct ListenerLimits {
  std::string Name;              ///< Of the listener, for the log.
  size_t Threads = 8;            ///< Threads that handle requests.
  size_t MaxBodyBytes = 1 << 20; ///< Largest request body.
  Millis ReadTimeout{5000};      ///< Longest time for a whole request.
  size_t MaxConnections = 2048;  ///< Connections, served ones included.
  size_t MaxBytes = 64 << 20;    ///< Memory of all requests together.
  size_t Copies = 2;             ///< Copies of a request while it is served.
  size_t MaxQueued = 256;        ///< Requests that wait for a thread.
};

/**
 * Gives the limits of a listener for operators and monitoring. It has few
 * connections, and each thread costs memory on small hosts.
 * @param Shares What the listener may use of the process.
 * @return The limits.
 */
inline ListenerLimits adminLimits(const ResourceShares &Shares) {
  ListenerLimits Limits;
  Limits.Name = "admin";
  Limits.Threads = 2;
  Limits.MaxConnections = Shares.AdministrationConnections;
  Limits.MaxBytes = Shares.AdministrationBytes;
  return Limits;
}

/**
 * Sets the limits of a listener, and the body of error answers that the library
 * makes itself.
 * @param Server The listener.
 * @param Limits Its limits.
 */
void configureServer(httplib::Server &Server, const ListenerLimits &Limits);

/**
 * Binds a listener and starts a thread that accepts connections. The listener
 * may be stopped as soon as this returns.
 * @param Server The listener.
 * @param At "IP:port"; port 0 lets the kernel choose.
 * @param AcceptThread Set to the new thread.
 * @return The address in use; empty when it cannot be bound.
 */
std::string startServer(httplib::Server &Server, const std::string &At,
                        std::thread &AcceptThread);

/**
 * Gives the value of Retry-After for a failed request.
 * @param Why Kind and detail.
 * @return Whole seconds, rounded up; empty where coming back does not help.
 */
std::string retryAfterSeconds(const Failure &Why);

/**
 * Writes the answer to a failed request: the status of the error table,
 * Retry-After and errorBody().
 * @param Answer The answer to set.
 * @param Why Kind and detail.
 * @param Executed Whether the request was executed.
 * @param Request Id of the request; may be empty.
 * @param AlternativeEntries Addresses of other entries to use instead; may be
 * empty.
 */
void writeError(httplib::Response &Answer, const Failure &Why, Ran Executed,
                const RequestId &Request,
                const std::vector<Address> &AlternativeEntries = {});

/**
 * Gives the body of an error answer, a JSON object.
 * @param Why Kind and detail.
 * @param Executed Whether the request was executed.
 * @param Request Id of the request; may be empty.
 * @param AlternativeEntries Addresses of other entries to use instead; may be
 * empty.
 * @return JSON text.
 */
std::string errorBody(const Failure &Why, Ran Executed,
                      const RequestId &Request,
                      const std::vector<Address> &AlternativeEntries = {});

} // namespace jacinthpond

#endif
