/** @file guarded_server.h HTTP server that slow callers cannot block. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_GUARDED_SERVER_H
#define JACINTHPOND_ADAPTERS_HTTP_GUARDED_SERVER_H

#include "http/http_server.h"
#include "http/request_receiver.h"

#include <atomic>
#include <memory>

namespace jacinthpond {

/** The library's server, but a request gets a thread only when it has arrived
 * completely. */
class GuardedServer final : public httplib::Server {
public:
  /**
   * Configures the server; startServer() starts it.
   * @param Limits Limits of the listener.
   */
  explicit GuardedServer(const ListenerLimits &Limits);
  /** Waits for requests that have a thread, then ends all threads. */
  ~GuardedServer() override;

  /**
   * Waits, for a limited time, until no request is in progress and stops the
   * listener. Without the wait, the library would cut off streams whose last
   * bytes are not sent yet.
   * @param AcceptThread The thread that startServer() started; joined.
   */
  void drainAndStop(std::thread &AcceptThread);

private:
  /** Passes an accepted connection to the receiver. */
  bool process_and_close_socket(socket_t sock) override;
  /** Gives a request to a thread, or refuses it when too many wait. */
  void dispatch(ReceivedRequest Pending);
  /** Answers a request; returns its connection to the receiver or closes it. */
  void serveRequest(ReceivedRequest &Pending);

  const size_t MaxActiveRequests; ///< More requests are refused.
  /** Requests that have a thread or wait for one. */
  std::atomic<size_t> ActiveRequests{0};
  std::unique_ptr<httplib::ThreadPool> Threads;
  std::unique_ptr<RequestReceiver> Receiver;
};

/**
 * Says whether the caller has closed the connection of the request that the
 * current thread serves.
 * @return False also on a thread that serves no request.
 */
bool isCallerGone();

} // namespace jacinthpond

#endif
