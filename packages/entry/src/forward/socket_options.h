/** @file socket_options.h Addresses and options of sockets for requests. */

#ifndef JACINTHPOND_ENTRY_FORWARD_SOCKET_OPTIONS_H
#define JACINTHPOND_ENTRY_FORWARD_SOCKET_OPTIONS_H

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>

#include <cstdlib>
#include <optional>
#include <string>

namespace jacinthpond {

/**
 * Parses an address.
 * @param At "IP:port".
 * @return The endpoint; nothing if the address is malformed.
 */
inline std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &At) {
  const size_t Colon = At.rfind(':');
  boost::system::error_code ec;
  const auto Ip = boost::asio::ip::make_address(At.substr(0, Colon), ec);
  if (ec || Colon == std::string::npos)
    return std::nullopt;
  const auto Port = std::strtoul(At.c_str() + Colon + 1, nullptr, 10);
  return boost::asio::ip::tcp::endpoint(Ip, static_cast<uint16_t>(Port));
}

/**
 * TCP user timeout in milliseconds: a connection is closed when sent data stays
 * unacknowledged for so long. A host that lost power or is partitioned doesn't
 * answer, and the kernel's default would wait for minutes.
 */
constexpr int UnacknowledgedMillis = 2500;

/**
 * Sets TCP_NODELAY and TCP_USER_TIMEOUT, to send small writes at once and to
 * detect a dead peer.
 * @param Socket A connected socket. Errors are ignored, since the connection
 *        also works without these options.
 */
inline void setTrafficOptions(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  using UserTimeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UnacknowledgedMillis), Ignored);
}

} // namespace jacinthpond

#endif
