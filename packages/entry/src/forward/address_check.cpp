/** @file address_check.cpp Checks whether anybody listens at an address. */

#include "forward/address_check.h"

#include "forward/socket_options.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace jacinthpond {

namespace {

using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

/** Timeout of a check: many times the latency between regions. */
constexpr Millis CheckTimeout{300};

/** One check; its handlers keep it alive. */
struct Check {
  Tcp::socket Socket;
  boost::asio::steady_timer Timer;
  Tcp::endpoint To;
  std::function<void(AddressCheck)> Done; ///< Empty once it was called.

  void end(AddressCheck Result) {
    const auto Tell = std::exchange(Done, nullptr);
    Timer.cancel();
    Error Ignored; // The socket is not used again.
    Socket.close(Ignored);
    if (Tell)
      Tell(Result);
  }
};

AddressCheck resultOf(const Error &ec) {
  if (!ec)
    return AddressCheck::Accepted;
  return ec == boost::asio::error::connection_refused ? AddressCheck::Refused
                                                      : AddressCheck::NoAnswer;
}

void connect(const std::shared_ptr<Check> &One) {
  One->Timer.expires_after(CheckTimeout);
  One->Timer.async_wait([One](const Error &ec) {
    if (!ec)
      One->end(AddressCheck::NoAnswer);
  });
  One->Socket.async_connect(One->To,
                            [One](const Error &ec) { One->end(resultOf(ec)); });
}

} // namespace

void checkAddress(boost::asio::io_context &Io, const Address &At, Millis Delay,
                  std::function<void(AddressCheck)> Done) {
  const auto To = parseEndpoint(At.Value);
  if (!To) {
    Done(AddressCheck::NoAnswer);
    return;
  }
  const auto One = std::make_shared<Check>(Check{
      Tcp::socket(Io), boost::asio::steady_timer(Io), *To, std::move(Done)});
  One->Timer.expires_after(Delay);
  One->Timer.async_wait([One](const Error &ec) {
    if (!ec)
      connect(One);
  });
}

} // namespace jacinthpond
