/** @file raw_caller.h A caller that sends bytes as it likes. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_RAW_CALLER_H
#define JACINTHPOND_TESTS_INTEGRATION_RAW_CALLER_H

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

namespace jacinthpond::fleet {

using namespace std::chrono_literals;

/** A caller that sends bytes as it likes. */
class RawCaller {
public:
  explicit RawCaller(const std::string &At)
      : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const size_t Colon = At.find(':');
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(static_cast<uint16_t>(std::stoi(At.substr(Colon + 1))));
    inet_pton(AF_INET, At.substr(0, Colon).c_str(), &To.sin_addr);
    BOOST_REQUIRE(
        connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) == 0);
  }
  ~RawCaller() { close(Socket); }
  RawCaller(const RawCaller &) = delete;
  RawCaller &operator=(const RawCaller &) = delete;

  void send(const std::string &Text) const {
    (void)!::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  void endInput() const { shutdown(Socket, SHUT_WR); }

  /** Reads until the other end closes, or until a text has come. */
  std::string read(const std::string &Until = "") const {
    std::string All;
    std::array<char, 4096> Buf{};
    pollfd One{Socket, POLLIN, 0};
    const auto Limit = std::chrono::steady_clock::now() + 10s;
    while (std::chrono::steady_clock::now() < Limit) {
      if (poll(&One, 1, 100) <= 0)
        continue;
      const ssize_t n = recv(Socket, Buf.data(), Buf.size(), 0);
      if (n <= 0)
        return All;
      All.append(Buf.data(), static_cast<size_t>(n));
      if (!Until.empty() && All.find(Until) != std::string::npos)
        return All;
    }
    return All + "(still open)";
  }

private:
  const int Socket;
};

} // namespace jacinthpond::fleet

#endif
