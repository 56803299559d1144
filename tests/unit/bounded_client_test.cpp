/** @file bounded_client_test.cpp Clients of servers that do not end. */
// Labels: product

#include "http/bounded_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace jacinthpond;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/** Answers one request with a text, then with another one again and again. */
class EndlessServer {
public:
  EndlessServer(std::string Begin, const std::string &Forever,
                std::chrono::milliseconds Pause = 0ms)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Serving([this, Begin = std::move(Begin), Forever, Pause] {
          serve(Begin, Forever, Pause);
        }) {}
  ~EndlessServer() { Serving.join(); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Listening.local_endpoint().port());
  }

private:
  void serve(const std::string &Begin, const std::string &Forever,
             std::chrono::milliseconds Pause) {
    boost::system::error_code ec;
    Tcp::socket Socket = Listening.accept(ec);
    std::string Head;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                            "\r\n\r\n", ec);
    std::string Block = Forever;
    while (Pause == 0ms && Block.size() < 65536)
      Block += Forever;
    boost::asio::write(Socket, boost::asio::buffer(Begin), ec);
    while (!ec) {
      boost::asio::write(Socket, boost::asio::buffer(Block), ec);
      std::this_thread::sleep_for(Pause);
    }
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  std::thread Serving;
};

constexpr ClientLimits Limits = {1000ms, 1000ms, 0ms, 1 << 20};

/** Sends a request, and gives how it failed and how long that took. */
std::pair<httplib::Error, std::chrono::steady_clock::duration>
failureAt(const EndlessServer &Server, const ClientLimits &Bounds) {
  BoundedClient Client(Server.url(), Bounds);
  const auto Begin = std::chrono::steady_clock::now();
  const httplib::Result Answer = Client.Get("/report");
  return {Answer.error(), std::chrono::steady_clock::now() - Begin};
}

} // namespace

// Guards against answers without end that take the memory of an agent, or hold
// the thread that reads them for ever.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndAreBrokenOff) {
  const std::string Good = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Good + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Cases = {
      {"", "x"},
      {"", "x\n"},
      {Good + "X: ", "x"},
      {Good, "X: x\r\n"},
      {Good, "x\n"},
      {Good + "\r\n", "x"},
      {Good + "Content-Length: 999999999999\r\n\r\n", "x"},
      {Chunked, "5\r\nhello\r\n"},
      {Chunked + "5;x=", "x"},
      {Chunked + "0\r\nX: ", "x"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const auto &[Begin, Forever] : Cases) {
    const EndlessServer Server(Begin, Forever);
    const auto [Error, Time] = failureAt(Server, Limits);
    BOOST_TEST((Error != httplib::Error::Success), Begin << Forever);
    BOOST_TEST((Time < 2s), Begin << Forever);
  }
}

// Guards against an answer that comes byte by byte and holds its reader for
// ever.
BOOST_AUTO_TEST_CASE(AnAnswerThatTricklesIsBrokenOffInTime) {
  const EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", "x", 20ms);
  const auto [Error, Time] =
      failureAt(Server, {1000ms, 1000ms, 300ms, 1 << 20});
  BOOST_TEST((Error != httplib::Error::Success));
  BOOST_TEST((Time >= 300ms && Time < 1s));
}

// Guards against compressed answers, which may become any length.
BOOST_AUTO_TEST_CASE(AnswersAreNotDecompressed) {
  httplib::Server Server;
  Server.Get("/report", [](const auto &, httplib::Response &Answer) {
    Answer.set_content(std::string(100000, 'x'), "text/plain");
  });
  const int Port = Server.bind_to_any_port("127.0.0.1");
  std::thread Serving([&] { Server.listen_after_bind(); });
  {
    BoundedClient Client("http://127.0.0.1:" + std::to_string(Port), Limits);
    const httplib::Result Answer = Client.Get("/report");
    BOOST_REQUIRE(Answer);
    BOOST_TEST(Answer->body == std::string(100000, 'x'));
    BOOST_TEST(!Answer->has_header("Content-Encoding"));
  }
  Server.stop();
  Serving.join();
}
