/** @file scripted_server.h A back end whose behaviour a test writes down. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_SCRIPTED_SERVER_H
#define JACINTHPOND_TESTS_INTEGRATION_SCRIPTED_SERVER_H

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
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace jacinthpond::fleet {

using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

/** A request at a scripted server, of which the head was read. */
struct ScriptedRequest {
  Tcp::socket &Socket;              ///< Closed after the script.
  const std::string &Head;          ///< Head, and what was read behind it.
  const std::atomic<bool> &Stopped; ///< The server is to end.

  /** Gives the value of a field of the head. @param Name Its name. */
  std::string field(const std::string &Name) const {
    const std::string Line = "\r\n" + Name + ": ";
    const size_t At = Head.find(Line);
    if (At == std::string::npos)
      return "";
    const size_t Begin = At + Line.size();
    return Head.substr(Begin, Head.find('\r', Begin) - Begin);
  }

  /** Gives a text in which "ID" was replaced by the attempt's id. */
  std::string withId(std::string Text) const {
    const std::string Id = field("X-Jacinthpond-Attempt-Id");
    for (size_t n = 0; (n = Text.find("ID", n)) != std::string::npos;)
      Text.replace(n, 2, Id);
    return Text;
  }
};

/** What a scripted server does after it has read the head of a request. */
using ServerScript = std::function<void(ScriptedRequest &)>;

/** Size of the receive buffer of a server that reads nothing, in bytes. */
constexpr int SmallReceiveBuffer = 16384;

/** A server that answers one request on each connection by a script. */
class ScriptedServer {
public:
  /** @param ReceiveBuffer Size of the kernel's buffers; 0: the usual one. */
  explicit ScriptedServer(int ReceiveBuffer = 0)
      : Listening(Io, {boost::asio::ip::address_v4::loopback(), 0}) {
    if (ReceiveBuffer > 0)
      Listening.set_option(
          boost::asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Accepting = std::thread([this] { accept(); });
  }
  ~ScriptedServer() {
    Stopped = true;
    boost::system::error_code Ignored;
    Tcp::socket Wake(Io); // Ends the accept that is under way.
    Wake.connect(Listening.local_endpoint(), Ignored);
    Accepting.join();
    for (std::thread &One : Serving)
      One.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Listening.local_endpoint().port());
  }
  void setScript(ServerScript To) {
    const std::lock_guard Lock(Guard);
    Now = std::move(To);
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
    ServerScript Mine;
    {
      const std::lock_guard Lock(Guard);
      Mine = Now;
    }
    ScriptedRequest Request{Socket, Head, Stopped};
    if (Mine)
      Mine(Request);
    Socket.close(ec);
  }

  boost::asio::io_context Io;
  Tcp::acceptor Listening;
  std::atomic<bool> Stopped{false};
  std::atomic<size_t> Answered{0};
  std::mutex Guard; ///< Protects Now.
  ServerScript Now;
  std::vector<std::thread> Serving;
  std::thread Accepting;
};

/** One entry before a sound server and a scripted one. */
struct ScriptedEntry {
  /**
   * Starts everything.
   * @param ReceiveBuffer See ScriptedServer.
   * @param Limits Replaces limits of the configuration.
   */
  explicit ScriptedEntry(int ReceiveBuffer = 0, Json Limits = Json::object())
      : Bad(ReceiveBuffer) {
    RoutePlan Plan;
    Plan.Limits = std::move(Limits);
    Plan.Entries = 1;
    Plan.ModelWorkers = 1;
    Plan.PlainServers = 1;
    All = std::make_unique<RouteFleet>(Plan);
    BOOST_REQUIRE(All->waitServing(30s));
    enterAnew();
  }

  /** Enters the scripted server in the store as one that has just started:
   * nothing is held against it. */
  void enterAnew() {
    ++Starts;
    const Json Item = {{"service", "plain"},
                       {"address", Bad.address()},
                       {"zone", "z0"},
                       {"version", "v1"},
                       {"slots", 8},
                       {"state", "ready"},
                       {"cold_remaining_ms", 0},
                       {"born", Starts},
                       {"sequence", 1}};
    const std::string Id = "servers/scripted-" + std::to_string(Starts);
    All->store({{"put", {{Id, Item.dump()}}}});
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

  ScriptedServer Bad;
  std::unique_ptr<RouteFleet> All;
  size_t Starts = 0; ///< Of the scripted server.
};

inline const std::string Good =
    "HTTP/1.1 200 OK\r\nX-Jacinthpond-Attempt-Id: ID\r\n"
    "X-Jacinthpond-Response-Signature: sig\r\n";
inline const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

} // namespace jacinthpond::fleet

#endif
