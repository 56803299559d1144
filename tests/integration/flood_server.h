/** @file flood_server.h A server whose responses do not end. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_FLOOD_SERVER_H
#define JACINTHPOND_TESTS_INTEGRATION_FLOOD_SERVER_H

#include "fleet/route_fleet.h"
#include "process_memory.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::fleet {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

/** What a server sends to each request. */
struct Flood {
  const char *Name;    ///< For messages.
  std::string Begin;   ///< Sent first; "ID" stands for the attempt's id.
  std::string Forever; ///< Sent again and again, until the entry closes.
};

/** A server that sends bytes until it is cut off. */
class FloodServer {
public:
  FloodServer()
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}),
        Accepting([this] { accept(); }) {}
  ~FloodServer() {
    Stopped = true;
    boost::system::error_code Ignored;
    Tcp::socket Wake(Io); // Ends the accept that is under way.
    Wake.connect(Listening.local_endpoint(), Ignored);
    Accepting.join();
    for (std::thread &One : Serving)
      One.join();
  }
  FloodServer(const FloodServer &) = delete;
  FloodServer &operator=(const FloodServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  }
  void setFlood(const Flood &To) {
    const std::lock_guard Lock(Guard);
    Now = To;
  }
  /** Requests that were answered so far. */
  size_t answered() const { return Answered; }

private:
  void accept() {
    while (!Stopped) {
      boost::system::error_code ec;
      auto Socket = std::make_shared<Tcp::socket>(Listening.accept(ec));
      if (!ec && !Stopped)
        Serving.emplace_back([this, Socket] { serve(*Socket); });
    }
  }

  void serve(Tcp::socket &Socket) {
    boost::system::error_code ec;
    std::string Head;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Head),
                            "\r\n\r\n", ec);
    if (ec)
      return;
    ++Answered;
    Flood Mine;
    {
      const std::lock_guard Lock(Guard);
      Mine = Now;
    }
    constexpr std::string_view Field = "X-Jacinthpond-Attempt-Id: ";
    const size_t At = Head.find(Field) + Field.size();
    const std::string Id = Head.substr(At, Head.find('\r', At) - At);
    for (size_t n = 0; (n = Mine.Begin.find("ID", n)) != std::string::npos;)
      Mine.Begin.replace(n, 2, Id);
    std::string Block;
    while (Block.size() < 65536)
      Block += Mine.Forever;
    boost::asio::write(Socket, boost::asio::buffer(Mine.Begin), ec);
    while (!ec && !Stopped)
      boost::asio::write(Socket, boost::asio::buffer(Block), ec);
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  std::atomic<bool> Stopped{false};
  std::atomic<size_t> Answered{0};
  std::mutex Guard; ///< Protects Now.
  Flood Now{};
  std::vector<std::thread> Serving;
  std::thread Accepting;
};

inline const std::string Good =
    "HTTP/1.1 200 OK\r\nX-Jacinthpond-Attempt-Id: ID\r\n"
    "X-Jacinthpond-Response-Signature: sig\r\n";
inline const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

/** All kinds of responses without end. */
inline std::vector<Flood> allFloods() {
  const std::string Other =
      "HTTP/1.1 200 OK\r\nX-Jacinthpond-Attempt-Id: x\r\n";
  const std::string Events = Good + "Content-Type: text/event-stream\r\n";
  return {
      {"no HTTP", "", "x"},
      {"no HTTP, lines", "", "x\r\n"},
      {"head, one line", Good + "X: ", "x"},
      {"head, lines", Good, "X: x\r\n"},
      {"body until the close", Good + "\r\n", "x"},
      {"body by chunks", Good + Chunked, "5\r\nhello\r\n"},
      {"body of a length", Good + "Content-Length: 999999999999\r\n\r\n", "x"},
      {"chunk extension", Good + Chunked + "5;x=", "x"},
      {"chunk extensions", Good + Chunked,
       "1;x=" + std::string(9000, 'x') + "\r\nx\r\n"},
      {"trailer", Good + Chunked + "0\r\nX: ", "x"},
      {"another's answer", Other + "\r\n", "x"},
      {"another's chunks", Other + Chunked, "5\r\nhello\r\n"},
      {"another's length", Other + "Content-Length: 999999999999\r\n\r\n", "x"},
      {"answers of others", "", Other + "Content-Length: 1\r\n\r\nx"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"failure", "HTTP/1.1 500 Failed\r\nX-Jacinthpond-Attempt-Id: ID\r\n\r\n",
       "x"},
      {"comments", Events + "\r\n", ": beat\n\n"},
      {"comments by chunks", Events + Chunked, "8\r\n: beat\n\n\r\n"},
      {"empty lines", Events + "\r\n", "\n"},
      {"event", Events + "\r\n", "data: x\n"},
  };
}

/** One entry before a sound server and one that floods. */
struct FloodedEntry {
  FloodedEntry() {
    RoutePlan Plan;
    Plan.Entries = 1;
    Plan.ModelWorkers = 1;
    Plan.PlainServers = 1;
    All = std::make_unique<RouteFleet>(Plan);
    BOOST_REQUIRE(All->waitServing(30s));
    const Json Item = {{"service", "plain"},
                       {"address", Bad.address()},
                       {"zone", "z0"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"sequence", 1}};
    All->store({{"put", {{"servers/flood", Item.dump()}}}});
  }

  /** Sends requests from several callers at a time; gives their answers, and
   * how long the slowest one took. */
  std::vector<httplib::Response> askAll(const RouteAsk &What, size_t Callers,
                                        size_t Each,
                                        std::chrono::milliseconds &Slowest) {
    std::vector<httplib::Response> Answers(Callers * Each);
    std::vector<std::chrono::milliseconds> Times(Answers.size());
    std::vector<std::jthread> Threads;
    for (size_t n = 0; n < Callers; ++n)
      Threads.emplace_back([&, n] {
        for (size_t i = n * Each; i < (n + 1) * Each; ++i) {
          const auto Begin = std::chrono::steady_clock::now();
          Answers[i] = All->ask(0, What);
          Times[i] = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::steady_clock::now() - Begin);
        }
      });
    Threads.clear();
    Slowest = *std::ranges::max_element(Times);
    return Answers;
  }

  /** Sends until the bad server has answered something. */
  void meet(const RouteAsk &What) {
    const size_t Before = Bad.answered();
    BOOST_TEST(waitFor(10s, [&] {
      All->ask(0, What);
      return Bad.answered() > Before;
    }));
  }

  size_t peak() { return peakMegabytes(All->process("entry-0").pid()); }

  FloodServer Bad;
  std::unique_ptr<RouteFleet> All;
};

/** Memory that the platform gives an entry, in MB. */
constexpr size_t MemoryLimit = 260;
/** Time by which a caller hears of a response that is broken off. Its deadline
 * is 4 s. */
constexpr std::chrono::milliseconds AtOnce{2000};

} // namespace jacinthpond::fleet

#endif
