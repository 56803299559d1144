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
 * Reads an address.
 * @param At "IP:port".
 * @return The endpoint; nothing when it is no such address.
 */
inline std::optional<boost::asio::ip::tcp::endpoint>
endpointOf(const std::string &At) {
  const size_t Colon = At.rfind(':');
  boost::system::error_code ec;
  const auto Ip = boost::asio::ip::make_address(At.substr(0, Colon), ec);
  if (ec || Colon == std::string::npos)
    return std::nullopt;
  const auto Port = std::strtoul(At.c_str() + Colon + 1, nullptr, 10);
  return boost::asio::ip::tcp::endpoint(Ip, static_cast<uint16_t>(Port));
}

/**
 * Time in milliseconds after which sent bytes that nobody acknowledges close a
 * connection. A host without power or behind a partition answers nothing, and
 * the kernel alone would wait for minutes.
 */
constexpr int UnacknowledgedMillis = 2500;

/**
 * Sends small pieces at once and notices a silent other end.
 * @param Socket A connected socket; what it refuses is left as it is, since
 *        both options only make failures show sooner.
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
