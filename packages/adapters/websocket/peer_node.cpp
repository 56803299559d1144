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

/** Largest frame that is received: a chunk of 8 MiB with its envelope. */
constexpr size_t MaxFrameBytes = (8U << 20U) + 65536;
/** Largest frame before a peer has said who it is. */
constexpr size_t MaxFirstFrameBytes = 64U << 10U;
/** Number of the first accepted link; must equal FirstAcceptedLink. */
constexpr uint64_t FirstAccepted = uint64_t{1} << 32U;
/** Longest time for connecting and the websocket handshake, in milliseconds. */
constexpr long OpenTimeoutMillis = 2000;
/** Pending connections that the kernel queues until they are accepted. */
constexpr int ListenBacklog = 512;

/** Size of the read buffer of each link. With the library's default of 16 KiB,
 * the buffers would take most of the memory of an entry that has links to
 * hundreds of agents. */
constexpr size_t LinkReadBytes = 2048;

/** Settings of the library for accepted links. */
struct ServerConfig : websocketpp::config::asio {
  static const size_t connection_read_buffer_size = LinkReadBytes; // NOLINT
  static const size_t max_message_size = MaxFrameBytes;            // NOLINT
};

/** Settings of the library for opened links. */
struct ClientConfig : websocketpp::config::asio_client {
  static const size_t connection_read_buffer_size = LinkReadBytes; // NOLINT
  static const size_t max_message_size = MaxFrameBytes;            // NOLINT
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;
using Handle = websocketpp::connection_hdl;

/** Splits "IP:port" into its parts; the port is "0" when there is none. */
std::pair<std::string, std::string>
splitAddress(const std::string &HostAndPort) {
  const size_t Colon = HostAndPort.rfind(':');
  if (Colon == std::string::npos)
    return {HostAndPort, "0"};
  return {HostAndPort.substr(0, Colon), HostAndPort.substr(Colon + 1)};
}

/** Turns the library's logging off and sets its handshake timeouts. */
template <typename Endpoint> void configureEndpoint(Endpoint &Target) {
  Target.clear_access_channels(websocketpp::log::alevel::all);
  Target.clear_error_channels(websocketpp::log::elevel::all);
  Target.set_open_handshake_timeout(OpenTimeoutMillis);
  Target.set_close_handshake_timeout(1);
}

} // namespace

/** Websocketpp endpoints, links and network thread of a PeerNode. */
struct PeerNode::Impl {
  Impl(PeerCallbacks Handlers, size_t MaxUnidentified)
      : Callbacks(std::move(Handlers)), MaxUnidentified(MaxUnidentified),
        KeepRunning(boost::asio::make_work_guard(Io)) {
    configureEndpoint(Acceptor);
    configureEndpoint(Connector);
    Acceptor.init_asio(&Io);
    Acceptor.set_reuse_addr(true);
    Acceptor.set_listen_backlog(ListenBacklog);
    Connector.init_asio(&Io);
    Connector.set_tcp_post_init_handler(
        [this](const Handle &Link) { disableNagle(Connector, Link); });
    Acceptor.set_tcp_post_init_handler([this](const Handle &Link) {
      disableNagle(Acceptor, Link);
      admitConnection(Link);
    });
  }

  /** Numbers an accepted connection; when too many have not said who they are,
   * closes the oldest of them: a peer says so at once. */
  void admitConnection(const Handle &Link) {
    websocketpp::lib::error_code ec;
    const auto Connection = Acceptor.get_con_from_hdl(Link, ec);
    if (ec)
      return;
    const uint64_t n = NextAccepted++;
    Connection->set_max_message_size(MaxFirstFrameBytes);
    Connection->set_open_handler(
        [this, n](const Handle &Opened) { registerAccepted(Opened, n); });
    Connection->set_fail_handler(
        [this, n](const Handle &) { Unidentified.erase(n); });
    Unidentified[n] = Connection;
    while (Unidentified.size() > MaxUnidentified) {
      const auto Oldest = Unidentified.extract(Unidentified.begin());
      closeSocket(Oldest.mapped());
    }
  }

  /** Disables Nagle's algorithm on a link: small frames leave at once. */
  template <typename Endpoint>
  static void disableNagle(Endpoint &Target, const Handle &Link) {
    websocketpp::lib::error_code ec;
    const auto Connection = Target.get_con_from_hdl(Link, ec);
    if (ec)
      return;
    boost::system::error_code Ignored;
    Connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), Ignored);
  }

  /** Sets the handlers of an accepted link and reports it as open. */
  void registerAccepted(const Handle &Link, uint64_t n) {
    websocketpp::lib::error_code ec;
    const auto Connection = Acceptor.get_con_from_hdl(Link, ec);
    if (ec)
      return;
    {
      const std::lock_guard Lock(Guard);
      Accepted[n] = Connection;
    }
    Connection->set_message_handler(
        [this, n](const Handle &, const Server::message_ptr &Frame) {
          if (isRegistered(n))
            Callbacks.OnBytes(n, Frame->get_payload());
        });
    Connection->set_close_handler(
        [this, n](const Handle &) { handleClosed(n); });
    Connection->set_fail_handler(
        [this, n](const Handle &) { handleClosed(n); });
    Callbacks.OnOpen(n);
  }

  /** Says whether a link is still open or opening. */
  bool isRegistered(uint64_t n) {
    const std::lock_guard Lock(Guard);
    return Accepted.count(n) > 0 || Opened.count(n) > 0;
  }

  /** Forgets a link that closed or failed, and reports it unless close() was
   * called for it before. */
  void handleClosed(uint64_t n) {
    Unidentified.erase(n);
    {
      const std::lock_guard Lock(Guard);
      if (Accepted.erase(n) + Opened.erase(n) == 0)
        return;
    }
    Callbacks.OnClose(n);
  }

  /** Registers a new link and connects it on the network thread. */
  void open(uint64_t n, const std::string &To) {
    websocketpp::lib::error_code ec;
    const auto Connection = Connector.get_connection("ws://" + To + "/", ec);
    if (ec) {
      boost::asio::post(Io, [this, n] { Callbacks.OnClose(n); });
      return;
    }
    {
      const std::lock_guard Lock(Guard);
      Opened[n] = Connection;
    }
    Connection->set_open_handler([this, n](const Handle &) {
      if (isRegistered(n))
        Callbacks.OnOpen(n);
    });
    Connection->set_message_handler(
        [this, n](const Handle &, const Client::message_ptr &Frame) {
          if (isRegistered(n))
            Callbacks.OnBytes(n, Frame->get_payload());
        });
    Connection->set_close_handler(
        [this, n](const Handle &) { handleClosed(n); });
    Connection->set_fail_handler(
        [this, n](const Handle &) { handleClosed(n); });
    // The endpoint is used on the network thread only.
    boost::asio::post(Io,
                      [this, Connection] { Connector.connect(Connection); });
  }

  /** Sends one binary frame; does nothing on a link that is no longer open. */
  template <typename Connection>
  void sendFrame(const Connection &Link, const std::string &Bytes) {
    websocketpp::lib::error_code ec;
    ec = Link->send(Bytes, websocketpp::frame::opcode::binary);
  }

  /**
   * Closes the socket of a connection without a close handshake, which would
   * wait for a peer that may be unresponsive.
   */
  template <typename Connection>
  static void closeSocket(const Connection &Link) {
    boost::system::error_code ec;
    Link->get_raw_socket().shutdown(boost::asio::socket_base::shutdown_both,
                                    ec);
    Link->get_raw_socket().close(ec);
  }

  PeerCallbacks Callbacks;
  const size_t MaxUnidentified; ///< Most accepted links of unknown peers.
  boost::asio::io_context Io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      KeepRunning;
  Server Acceptor;
  Client Connector;
  std::mutex Guard; ///< Guards Accepted and Opened.
  std::map<uint64_t, Server::connection_ptr> Accepted; ///< By link number.
  std::map<uint64_t, Client::connection_ptr> Opened;   ///< By link number.
  // Used by the network thread only.
  uint64_t NextAccepted = FirstAccepted;
  std::map<uint64_t, Server::connection_ptr>
      Unidentified; ///< Accepted ones whose peer is not known, by number.
  std::thread Network;
};

PeerNode::PeerNode(PeerCallbacks Handlers, size_t MaxUnidentified)
    : Inner(std::make_unique<Impl>(std::move(Handlers), MaxUnidentified)) {
  Inner->Network = std::thread([this] {
    for (;;) {
      try {
        Inner->Io.run();
        return;
      } catch (const std::exception &) {
        // A handler of one connection threw; the other links go on.
        continue;
      }
    }
  });
}

PeerNode::~PeerNode() {
  Inner->Io.stop();
  Inner->Network.join();
}

std::string PeerNode::listen(const std::string &ListenAddress) {
  const auto [Host, Port] = splitAddress(ListenAddress);
  websocketpp::lib::error_code ec;
  Inner->Acceptor.listen(Host, Port, ec);
  if (ec)
    return "";
  Inner->Acceptor.start_accept(ec);
  if (ec)
    return "";
  boost::system::error_code Unused;
  const auto Local = Inner->Acceptor.get_local_endpoint(Unused);
  return Host + ":" + std::to_string(Local.port());
}

void PeerNode::identify(uint64_t Link) {
  const auto it = Inner->Unidentified.find(Link);
  if (it == Inner->Unidentified.end())
    return;
  it->second->set_max_message_size(MaxFrameBytes);
  Inner->Unidentified.erase(it);
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
      Inner->sendFrame(In, Content);
    if (Out)
      Inner->sendFrame(Out, Content);
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
      Impl::closeSocket(In);
    if (Out)
      Impl::closeSocket(Out);
  });
}

void PeerNode::closeGracefully(long TimeoutMillis) {
  // Stopping the network thread discards frames that are still queued, such as
  // the end of an answer. The close frame is sent after them, and the peer's
  // close frame confirms that it has read them.
  boost::asio::post(Inner->Io, [this] {
    websocketpp::lib::error_code ec;
    Inner->Acceptor.stop_listening(ec); // Peers would reconnect.
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
  const auto Deadline = std::chrono::steady_clock::now() +
                        std::chrono::milliseconds(TimeoutMillis);
  while (std::chrono::steady_clock::now() < Deadline) {
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
