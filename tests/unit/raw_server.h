/** @file raw_server.h A server that sends bytes as a test likes. */

#ifndef JACINTHPOND_TESTS_UNIT_RAW_SERVER_H
#define JACINTHPOND_TESTS_UNIT_RAW_SERVER_H

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace jacinthpond {

/** Answers one connection after another, each by the next of some scripts; the
 * listener is closed before the last of them. */
class RawServer {
public:
  using Tcp = boost::asio::ip::tcp;
  /** Called with a connection on which the head of a request has come. */
  using Script = std::function<void(Tcp::socket &)>;

  explicit RawServer(std::vector<Script> Scripts)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        At(Listening.local_endpoint()),
        Url("http://127.0.0.1:" + std::to_string(At.port())),
        Serving([this, Scripts = std::move(Scripts)] { serve(Scripts); }) {}
  ~RawServer() {
    Stopped = true;
    boost::asio::io_context Own;
    Tcp::socket Wake(Own); // Ends an accept that is under way.
    boost::system::error_code Ignored;
    Wake.connect(At, Ignored);
    Serving.join();
  }
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /** "http://IP:port". */
  const std::string &url() const { return Url; }

  /** Gives a script that sends a text. */
  static Script sending(const std::string &Text) {
    return [Text](Tcp::socket &Socket) {
      boost::system::error_code Ignored;
      boost::asio::write(Socket, boost::asio::buffer(Text), Ignored);
    };
  }

private:
  void serve(const std::vector<Script> &Scripts) {
    for (size_t n = 0; n < Scripts.size(); ++n) {
      boost::system::error_code ec;
      Tcp::socket Socket = Listening.accept(ec);
      if (Stopped)
        return;
      std::string Head;
      boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                              "\r\n\r\n", ec);
      if (n + 1 == Scripts.size())
        Listening.close(ec);
      Scripts[n](Socket);
      endInOrder(Socket);
    }
  }

  /** Ends sending, and receives until the client closes: a close with bytes
   * that were not received would reset the connection. */
  static void endInOrder(Tcp::socket &Socket) {
    boost::system::error_code ec;
    Socket.shutdown(boost::asio::socket_base::shutdown_send, ec);
    std::string Rest(4096, '\0');
    while (!ec)
      Socket.read_some(boost::asio::buffer(Rest), ec);
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  const Tcp::endpoint At;
  const std::string Url;
  std::atomic<bool> Stopped{false};
  std::thread Serving;
};

} // namespace jacinthpond

#endif
