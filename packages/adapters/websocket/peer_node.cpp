/** @file peer_node.cpp Websocket links by websocketpp, compiled as C++17. */

#include "websocket/peer_node.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace jacinthpond {

namespace {

/** Largest frame taken: a chunk of 8 MiB with its envelope. */
constexpr size_t MaxFrameBytes = (8U << 20U) + 65536;
/** First number for accepted links; equals FirstAcceptedLink. */
constexpr uint64_t FirstAccepted = uint64_t{1} << 32U;
/** How long opening a link and its handshake may take, in milliseconds. */
constexpr long OpenTimeoutMillis = 2000;
/** Pending connections that the kernel keeps for us. */
constexpr int ListenBacklog = 512;

/** Bytes read from a link at a time. The library's 16 KiB a link would be
 * most of the memory of an entry with links to hundreds of agents. */
constexpr size_t LinkReadBytes = 2048;

struct ServerConfig : websocketpp::config::asio {
  static const size_t connection_read_buffer_size = LinkReadBytes; // NOLINT
  static const size_t max_message_size = MaxFrameBytes;            // NOLINT
};

struct ClientConfig : websocketpp::config::asio_client {
  static const size_t connection_read_buffer_size = LinkReadBytes; // NOLINT
  static const size_t max_message_size = MaxFrameBytes;            // NOLINT
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;

/** Splits "IP:port". */
std::pair<std::string, std::string> splitAddress(const std::string &At) {
  const size_t Colon = At.rfind(':');
  if (Colon == std::string::npos)
    return {At, "0"};
  return {At.substr(0, Colon), At.substr(Colon + 1)};
}

template <typename Endpoint> void setupEndpoint(Endpoint &One) {
  One.clear_access_channels(websocketpp::log::alevel::all);
  One.clear_error_channels(websocketpp::log::elevel::all);
  One.set_open_handshake_timeout(OpenTimeoutMillis);
  One.set_close_handshake_timeout(1);
}

} // namespace

struct PeerNode::Impl {
  explicit Impl(PeerCallbacks Handlers)
      : Callbacks(std::move(Handlers)), Work(boost::asio::make_work_guard(Io)) {
    setupEndpoint(Accepting);
    setupEndpoint(Opening);
    Accepting.init_asio(&Io);
    Accepting.set_reuse_addr(true);
    Accepting.set_listen_backlog(ListenBacklog);
    Opening.init_asio(&Io);
    Opening.set_tcp_post_init_handler(
        [this](const Handle &Link) { noDelay(Opening, Link); });
    Accepting.set_tcp_post_init_handler(
        [this](const Handle &Link) { noDelay(Accepting, Link); });
    Accepting.set_open_handler([this](const Handle &Link) { accepted(Link); });
  }

  template <typename Endpoint>
  static void noDelay(Endpoint &One, const Handle &Link) {
    websocketpp::lib::error_code ec;
    const auto Connection = One.get_con_from_hdl(Link, ec);
    if (ec)
      return;
    boost::system::error_code Ignored;
    Connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), Ignored);
  }

  void accepted(const Handle &Link) {
    websocketpp::lib::error_code ec;
    const auto Connection = Accepting.get_con_from_hdl(Link, ec);
    if (ec)
      return;
    uint64_t n = 0;
    {
      const std::lock_guard Lock(Guard);
      n = NextAccepted++;
      Accepted[n] = Connection;
    }
    Connection->set_message_handler(
        [this, n](const Handle &, const Server::message_ptr &Frame) {
          if (known(n))
            Callbacks.OnBytes(n, Frame->get_payload());
        });
    Connection->set_close_handler([this, n](const Handle &) { lost(n); });
    Connection->set_fail_handler([this, n](const Handle &) { lost(n); });
    Callbacks.OnOpen(n);
  }

  bool known(uint64_t n) {
    const std::lock_guard Lock(Guard);
    return Accepted.count(n) > 0 || Opened.count(n) > 0;
  }

  void lost(uint64_t n) {
    {
      const std::lock_guard Lock(Guard);
      if (Accepted.erase(n) + Opened.erase(n) == 0)
        return;
    }
    Callbacks.OnClose(n);
  }

  void open(uint64_t n, const std::string &To) {
    websocketpp::lib::error_code ec;
    const auto Connection = Opening.get_connection("ws://" + To + "/", ec);
    if (ec) {
      boost::asio::post(Io, [this, n] { Callbacks.OnClose(n); });
      return;
    }
    {
      const std::lock_guard Lock(Guard);
      Opened[n] = Connection;
    }
    Connection->set_open_handler([this, n](const Handle &) {
      if (known(n))
        Callbacks.OnOpen(n);
    });
    Connection->set_message_handler(
        [this, n](const Handle &, const Client::message_ptr &Frame) {
          if (known(n))
            Callbacks.OnBytes(n, Frame->get_payload());
        });
    Connection->set_close_handler([this, n](const Handle &) { lost(n); });
    Connection->set_fail_handler([this, n](const Handle &) { lost(n); });
    // Connecting belongs to the network thread, as all use of the endpoint.
    boost::asio::post(Io, [this, Connection] { Opening.connect(Connection); });
  }

  template <typename Connection>
  void sendOn(const Connection &Link, const std::string &Bytes) {
    websocketpp::lib::error_code ec;
    ec = Link->send(Bytes, websocketpp::frame::opcode::binary);
  }

  /**
   * Drops the socket under a connection. A close handshake would wait on a
   * peer that may be frozen.
   */
  template <typename Connection> static void drop(const Connection &Link) {
    boost::system::error_code ec;
    Link->get_raw_socket().shutdown(boost::asio::socket_base::shutdown_both,
                                    ec);
    Link->get_raw_socket().close(ec);
  }

  PeerCallbacks Callbacks;
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  Server Accepting;
  Client Opening;
  std::mutex Guard; ///< Guards the three members below.
  std::map<uint64_t, Server::connection_ptr> Accepted;
  std::map<uint64_t, Client::connection_ptr> Opened;
  uint64_t NextAccepted = FirstAccepted;
  std::thread Network;
};

PeerNode::PeerNode(PeerCallbacks Handlers)
    : Inner(std::make_unique<Impl>(std::move(Handlers))) {
  Inner->Network = std::thread([this] {
    for (;;) {
      try {
        Inner->Io.run();
        return;
      } catch (const std::exception &) {
        // A handler of one connection failed; the others go on.
        continue;
      }
    }
  });
}

PeerNode::~PeerNode() {
  Inner->Io.stop();
  Inner->Network.join();
}

std::string PeerNode::listen(const std::string &At) {
  const auto [Host, Port] = splitAddress(At);
  websocketpp::lib::error_code ec;
  Inner->Accepting.listen(Host, Port, ec);
  if (ec)
    return "";
  Inner->Accepting.start_accept(ec);
  if (ec)
    return "";
  boost::system::error_code Unused;
  const auto Local = Inner->Accepting.get_local_endpoint(Unused);
  return Host + ":" + std::to_string(Local.port());
}

void PeerNode::open(uint64_t Link, const std::string &To) {
  Inner->open(Link, To);
}

void PeerNode::send(uint64_t Link, std::string Bytes) {
  boost::asio::post(Inner->Io, [this, Link, Content = std::move(Bytes)] {
    Server::connection_ptr In;
    Client::connection_ptr Out;
    {
      const std::lock_guard Lock(Inner->Guard);
      if (const auto it = Inner->Accepted.find(Link);
          it != Inner->Accepted.end())
        In = it->second;
      if (const auto it = Inner->Opened.find(Link); it != Inner->Opened.end())
        Out = it->second;
    }
    if (In)
      Inner->sendOn(In, Content);
    if (Out)
      Inner->sendOn(Out, Content);
  });
}

void PeerNode::close(uint64_t Link) {
  Server::connection_ptr In;
  Client::connection_ptr Out;
  {
    const std::lock_guard Lock(Inner->Guard);
    if (const auto it = Inner->Accepted.find(Link);
        it != Inner->Accepted.end()) {
      In = it->second;
      Inner->Accepted.erase(it);
    }
    if (const auto it = Inner->Opened.find(Link); it != Inner->Opened.end()) {
      Out = it->second;
      Inner->Opened.erase(it);
    }
  }
  boost::asio::post(Inner->Io, [In, Out] {
    if (In)
      Impl::drop(In);
    if (Out)
      Impl::drop(Out);
  });
}

void PeerNode::finish(long LimitMillis) {
  // Ending the network thread drops what it has not written: the end of an
  // answer would be lost. The close frame goes behind it, and the peer's reply
  // shows that it has read that far.
  boost::asio::post(Inner->Io, [this] {
    websocketpp::lib::error_code ec;
    Inner->Accepting.stop_listening(ec); // Peers would connect again.
    std::map<uint64_t, Server::connection_ptr> In;
    std::map<uint64_t, Client::connection_ptr> Out;
    {
      const std::lock_guard Lock(Inner->Guard);
      In = Inner->Accepted;
      Out = Inner->Opened;
    }
    for (const auto &[n, Link] : In)
      Link->close(websocketpp::close::status::going_away, "", ec);
    for (const auto &[n, Link] : Out)
      Link->close(websocketpp::close::status::going_away, "", ec);
  });
  const auto Limit =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(LimitMillis);
  while (std::chrono::steady_clock::now() < Limit) {
    {
      const std::lock_guard Lock(Inner->Guard);
      if (Inner->Accepted.empty() && Inner->Opened.empty())
        return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

uint64_t PeerNode::backlog(uint64_t Link) {
  const std::lock_guard Lock(Inner->Guard);
  if (const auto it = Inner->Accepted.find(Link); it != Inner->Accepted.end())
    return it->second->get_buffered_amount();
  if (const auto it = Inner->Opened.find(Link); it != Inner->Opened.end())
    return it->second->get_buffered_amount();
  return 0;
}

} // namespace jacinthpond
