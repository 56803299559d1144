/** @file http_server.h Set-up that all HTTP listeners share. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_HTTP_SERVER_H
#define JACINTHPOND_ADAPTERS_HTTP_HTTP_SERVER_H

#include "base/error_func.h"
#include "base/ids_type.h"

#include <httplib.h>

#include <string>
#include <thread>
#include <vector>

namespace jacinthpond {

/** Bounds of one listener. */
struct ListenerLimits {
  size_t Threads = 8;            ///< Connections served at a time.
  size_t MaxBodyBytes = 1 << 20; ///< Largest request body.
  Millis ReadTimeout{5000};      ///< Longest time for a whole request.
  size_t MaxConnections = 2048;  ///< Connections without a whole request.
  size_t MaxQueued = 256;        ///< Requests that wait for a thread.
};

/**
 * Bounds of a listener for operators and monitoring: few connections, and each
 * thread costs memory on small hosts.
 * @return The bounds.
 */
inline ListenerLimits adminLimits() {
  ListenerLimits Limits;
  Limits.Threads = 2;
  return Limits;
}

/**
 * Sets limits and error answers of a listener.
 * @param Server The listener.
 * @param Limits Its bounds.
 */
void setupServer(httplib::Server &Server, const ListenerLimits &Limits);

/**
 * Binds a listener and accepts on a thread of its own; it may be stopped as
 * soon as this returns.
 * @param Server The listener.
 * @param At "IP:port"; port 0 lets the kernel choose.
 * @param Accepting Set to the thread.
 * @return The address in use; empty when it cannot be had.
 */
std::string startServer(httplib::Server &Server, const std::string &At,
                        std::thread &Accepting);

/**
 * Writes the answer to a failure, from the error table.
 * @param Answer Where to write.
 * @param Why Kind and detail.
 * @param Executed Whether the work ran.
 * @param Request Id of the request; may be empty.
 * @param Elsewhere Addresses to use instead; may be empty.
 */
void writeError(httplib::Response &Answer, const Failure &Why, Ran Executed,
                const RequestId &Request,
                const std::vector<Address> &Elsewhere = {});

/**
 * Gives the JSON object that describes a failure.
 * @param Why Kind and detail.
 * @param Executed Whether the work ran.
 * @param Request Id of the request; may be empty.
 * @param Elsewhere Addresses to use instead; may be empty.
 * @return JSON text.
 */
std::string errorBody(const Failure &Why, Ran Executed,
                      const RequestId &Request,
                      const std::vector<Address> &Elsewhere = {});

} // namespace jacinthpond

#endif
