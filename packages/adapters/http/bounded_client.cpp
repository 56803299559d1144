/** @file bounded_client.cpp HTTP clients that bound what they read. */

#include "http/bounded_client.h"

#include "http/connection_state.h"
#include "http/response_head.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace jacinthpond {

namespace {

using Clock = std::chrono::steady_clock;

/** Time after the end of an answer in which a server that has crashed resets
 * the connection, and no longer accepts others. */
constexpr std::chrono::milliseconds CloseCheckTime{20};

/** One request and its answer on a connection. Reads fail once the answer is
 * longer than allowed, takes longer, or has a malformed head. */
class BoundedStream final : public httplib::Stream {
public:
  BoundedStream(int Socket, const ClientLimits &Limits)
      : Socket(Socket), Limits(Limits), BytesLeft(Limits.AnswerBytes),
        End(Limits.Whole.count() > 0 ? Clock::now() + Limits.Whole
                                     : Clock::time_point::max()) {}

  bool is_readable() const override { return wait(POLLIN); }
  bool is_writable() const override { return wait(POLLOUT); }

  ssize_t read(char *Into, size_t Size) override {
    if (Begin == Filled && !fill())
      return Failed ? -1 : 0;
    const size_t n = std::min(Size, Filled - Begin);
    std::memcpy(Into, Buffer.data() + Begin, n);
    Begin += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char *From, size_t Size) override {
    if (!wait(POLLOUT))
      return -1;
    return ::send(Socket, From, Size, MSG_NOSIGNAL);
  }

  // Only servers ask for these.
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Socket; }

private:
  /** Waits until the socket is ready, within both time limits. */
  bool wait(short Event) const {
    for (;;) {
      const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
          std::min<Clock::duration>(End - Clock::now(), Limits.Silence));
      pollfd One{Socket, Event, 0};
      const int Ready = Left.count() > 0
                            ? ::poll(&One, 1, static_cast<int>(Left.count()))
                            : 0;
      if (Ready >= 0 || errno != EINTR)
        return Ready > 0;
    }
  }

  /** Receives the next bytes; false at the end of the connection, and when that
   * failed. */
  bool fill() {
    Failed = BytesLeft == 0 || !wait(POLLIN);
    if (Failed)
      return false;
    const ssize_t n =
        ::recv(Socket, Buffer.data(), std::min(Buffer.size(), BytesLeft), 0);
    Failed = n < 0 || (n == 0 && isConnectionBroken(Socket, CloseCheckTime));
    if (n <= 0)
      return false;
    Begin = 0;
    Filled = static_cast<size_t>(n);
    BytesLeft -= Filled;
    Failed = !Heads.accept({Buffer.data(), Filled});
    if (Failed)
      Filled = 0;
    return !Failed;
  }

  const int Socket;
  const ClientLimits &Limits;
  size_t BytesLeft;            ///< Bytes that may still be received.
  const Clock::time_point End; ///< When the request is given up.
  std::array<char, 4096> Buffer{};
  size_t Begin = 0;    ///< First byte of Buffer that was not read yet.
  size_t Filled = 0;   ///< Bytes in Buffer.
  bool Failed = false; ///< The last receive failed.
  ResponseHeadCheck Heads;
};

/** Host of "http://IP:port". */
std::string hostOf(const std::string &Url) {
  const std::string At = Url.substr(Url.find("//") + 2);
  return At.substr(0, At.find(':'));
}

/** Port of "http://IP:port". */
int portOf(const std::string &Url) {
  constexpr int DefaultPort = 80;
  const size_t Colon = Url.find(':', Url.find("//"));
  return Colon == std::string::npos ? DefaultPort
                                    : std::atoi(Url.c_str() + Colon + 1);
}

} // namespace

BoundedClient::BoundedClient(const std::string &Url, const ClientLimits &Limits)
    : ClientImpl(hostOf(Url), portOf(Url)), Limits(Limits) {
  set_connection_timeout(Limits.Connect);
  set_tcp_nodelay(true);
  set_decompress(false); // A short answer may become any length.
}

void BoundedClient::setTimeouts(std::chrono::milliseconds Silence,
                                std::chrono::milliseconds Whole) {
  Limits.Silence = Silence;
  Limits.Whole = Whole;
}

bool BoundedClient::process_socket(
    const Socket &Connected, std::function<bool(httplib::Stream &)> Exchange) {
  BoundedStream Stream(Connected.sock, Limits);
  return Exchange(Stream);
}

} // namespace jacinthpond
