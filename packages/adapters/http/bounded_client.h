/** @file bounded_client.h HTTP clients that bound what they read. */

#ifndef JACINTHPOND_ADAPTERS_HTTP_BOUNDED_CLIENT_H
#define JACINTHPOND_ADAPTERS_HTTP_BOUNDED_CLIENT_H

#include <httplib.h>

#include <chrono>
#include <string>

namespace jacinthpond {

/** Bounds of the requests of a client. */
struct ClientLimits {
  std::chrono::milliseconds Connect; ///< For connecting.
  std::chrono::milliseconds Silence; ///< Between bytes, in either direction.
  /** For a request and its answer; 0: no limit. */
  std::chrono::milliseconds Whole{0};
  size_t AnswerBytes = 16 << 20; ///< Head, framing and body of an answer.
};

/**
 * A client of one server. The library bounds neither heads nor bodies nor the
 * time of an answer, and a faulty server may send bytes without end. Nor does
 * it check the fields and the status of a head.
 */
class BoundedClient final : public httplib::ClientImpl {
public:
  /**
   * Creates a client; nothing is sent yet.
   * @param Url "http://IP:port".
   * @param Limits Bounds of each request.
   */
  BoundedClient(const std::string &Url, const ClientLimits &Limits);

  /**
   * Changes the time limits of the next requests.
   * @param Silence Between bytes, in either direction.
   * @param Whole For a request and its answer; 0: no limit.
   */
  void setTimeouts(std::chrono::milliseconds Silence,
                   std::chrono::milliseconds Whole);

private:
  bool process_socket(const Socket &Connected,
                      std::function<bool(httplib::Stream &)> Exchange) override;

  ClientLimits Limits;
};

} // namespace jacinthpond

#endif
