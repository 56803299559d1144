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
/** Time for which a server that has begun to answer may read nothing of the
 * rest of the request. */
constexpr std::chrono::milliseconds UploadStallTime{500};

/** One request and its answer on a connection. Reads fail once the answer is
 * longer than allowed, takes longer, or has a malformed head. The library sends
 * the whole request before it reads: where the server takes no more of it, the
 * rest counts as sent, since an answer may have come before. */
class BoundedStream final : public httplib::Stream {
public:
  BoundedStream(int Socket, const ClientLimits &Limits)
      : Socket(Socket), Limits(Limits), BytesLeft(Limits.AnswerBytes),
        End(Limits.Whole.count() > 0 ? Clock::now() + Limits.Whole
                                     : Clock::time_point::max()) {}

  bool is_readable() const override {
    return wait(POLLIN, Limits.Silence) != 0;
  }
  bool is_writable() const override {
    return RequestEnded || wait(POLLOUT, Limits.Silence) != 0;
  }

  ssize_t read(char *Into, size_t Size) override {
    if (Begin == Filled && (Failed || !fill()))
      return Failed ? -1 : 0;
    const size_t n = std::min(Size, Filled - Begin);
    std::memcpy(Into, Buffer.data() + Begin, n);
    Begin += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char *From, size_t Size) override {
    ssize_t n = 0;
    while (n == 0 && !RequestEnded)
      n = writeSome(From, Size);
    return RequestEnded ? static_cast<ssize_t>(Size) : n;
  }

  // Only servers ask for these.
  void get_remote_ip_and_port(std::string &, int &) const override {}
  void get_local_ip_and_port(std::string &, int &) const override {}
  socket_t socket() const override { return Socket; }

private:
  /** Waits until the socket is ready, for a time and until the request is given
   * up; gives the events, or 0. */
  short wait(short Events, std::chrono::milliseconds Limit) const {
    for (;;) {
      const auto Left = std::chrono::ceil<std::chrono::milliseconds>(
          std::min<Clock::duration>(End - Clock::now(), Limit));
      pollfd One{Socket, Events, 0};
      const int Ready = Left.count() > 0
                            ? ::poll(&One, 1, static_cast<int>(Left.count()))
                            : 0;
      if (Ready >= 0 || errno != EINTR)
        return Ready > 0 ? One.revents : static_cast<short>(0);
    }
  }

  /** Sends bytes of the request, or receives the first ones of an answer that
   * comes before its end. Gives how many were sent, or -1 after a timeout. */
  ssize_t writeSome(const char *From, size_t Size) {
    const bool Answered = Heads.isComplete();
    const bool Receives =
        RequestBegun && !Answered && Filled < Buffer.size() && BytesLeft > 0;
    const auto Limit =
        Answered ? std::min(UploadStallTime, Limits.Silence) : Limits.Silence;
    const short Ready = wait(Receives ? POLLIN | POLLOUT : POLLOUT, Limit);
    if (Ready == 0) {
      RequestEnded = Answered;
      return Answered ? 0 : -1;
    }
    if (Receives && (Ready & POLLIN) != 0) {
      RequestEnded = !receive();
      return 0;
    }
    const ssize_t n = ::send(Socket, From, Size, MSG_NOSIGNAL | MSG_DONTWAIT);
    RequestEnded = n < 0 && errno != EAGAIN && errno != EINTR;
    RequestBegun = RequestBegun || n > 0;
    return std::max<ssize_t>(n, 0);
  }

  /** Receives the next bytes once all others were read; false at the end of the
   * connection, and when that failed. */
  bool fill() {
    Begin = Filled = 0;
    Failed = BytesLeft == 0 || wait(POLLIN, Limits.Silence) == 0;
    return !Failed && receive();
  }

  /** Receives bytes behind those in the buffer; false as above. */
  bool receive() {
    char *Into = Buffer.data() + Filled;
    const ssize_t n =
        ::recv(Socket, Into, std::min(Buffer.size() - Filled, BytesLeft), 0);
    Failed = n < 0 || (n == 0 && isConnectionBroken(Socket, CloseCheckTime));
    if (n <= 0)
      return false;
    const auto Received = static_cast<size_t>(n);
    Filled += Received;
    BytesLeft -= Received;
    Failed = !Heads.accept({Into, Received});
    if (Failed)
      Begin = Filled = 0;
    return !Failed;
  }

  const int Socket;
  const ClientLimits &Limits;
  size_t BytesLeft;            ///< Bytes that may still be received.
  const Clock::time_point End; ///< When the request is given up.
  std::array<char, 4096> Buffer{};
  size_t Begin = 0;          ///< First byte of Buffer that was not read yet.
  size_t Filled = 0;         ///< End of the bytes in Buffer.
  bool Failed = false;       ///< A receive failed.
  bool RequestBegun = false; ///< Bytes of the request were sent.
  bool RequestEnded = false; ///< The server takes no more of the request.
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
