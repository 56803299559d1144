/** @file guarded_server.h A listener that slow callers cannot hold up. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_GUARDED_SERVER_H
#define JACINTHPOND_ADAPTERS_HTTP_GUARDED_SERVER_H

#include "http/http_server.h"
#include "http/request_receiver.h"

#include <atomic>
#include <memory>

namespace jacinthpond {

/** The library's server, with threads only for whole requests. */
class GuardedServer final : public httplib::Server {
public:
  /**
   * Sets up; nothing is accepted yet.
   * @param Limits Bounds of the listener.
   */
  explicit GuardedServer(const ListenerLimits &Limits);
  /** Waits for answers under way, then ends all threads. */
  ~GuardedServer() override;

  /**
   * Waits until no answer is under way and ends the listener. Without the
   * wait the library cuts off streams whose last bytes are still to be sent.
   * @param Accepting The thread of startServer().
   */
  void finish(std::thread &Accepting);

private:
  bool process_and_close_socket(socket_t sock) override;
  void take(Received One);
  void serve(Received &One);

  const size_t MaxActive; ///< Requests beyond are refused.
  std::atomic<size_t> Active{
      0}; ///< Requests that have a thread or wait for it.
  std::unique_ptr<httplib::ThreadPool> Threads;
  std::unique_ptr<RequestReceiver> Receiver;
};

/**
 * Says whether the caller whose request this thread serves has gone.
 * @return False too on a thread that serves none.
 */
bool callerGone();

} // namespace jacinthpond

#endif
