/** @file peer_links.h PeerPort over websocket links with CBOR messages. */

#ifndef JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_LINKS_H
#define JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_LINKS_H

#include "codec/message_codec.h"
#include "peer_port.h"
#include "websocket/peer_node.h"

#include <functional>

namespace jacinthpond {

/** Handlers of link events, called on the network thread. */
struct LinkCallbacks {
  std::function<void(LinkId)> OnOpen;                ///< A link is open.
  std::function<void(LinkId)> OnClose;               ///< A link closed.
  std::function<void(LinkId, Message)> OnMessage;    ///< A message arrived.
  std::function<void(LinkId, Failure)> OnUnreadable; ///< A frame is no message.
};

/** Accepted links without a hello at a time, unless told otherwise. */
constexpr size_t DefaultUnidentified = 256;

/** Opens and accepts links that carry messages. */
class PeerLinks final : public PeerPort {
public:
  /**
   * Starts the network thread.
   * @param Handlers Called for each event of a link.
   * @param MaxUnidentified Most accepted links without a hello.
   */
  explicit PeerLinks(LinkCallbacks Handlers,
                     size_t MaxUnidentified = DefaultUnidentified)
      : Callbacks(std::move(Handlers)),
        Node({[this](uint64_t n) { Callbacks.OnOpen(LinkId{n}); },
              [this](uint64_t n) { Callbacks.OnClose(LinkId{n}); },
              [this](uint64_t n, const std::string &Bytes) {
                handleFrame(n, Bytes);
              }},
             MaxUnidentified) {}

  /**
   * Listens for links of other processes.
   * @param ListenAddress "IP:port"; port 0 lets the kernel choose.
   * @return The address in use; empty when it cannot be bound.
   */
  std::string listen(const std::string &ListenAddress) {
    return Node.listen(ListenAddress);
  }

  /**
   * Sends everything that is queued, closes all links and waits until the peers
   * have closed them too.
   * @param Limit Longest wait.
   */
  void closeGracefully(Millis Limit) {
    Node.closeGracefully(static_cast<long>(Limit.count()));
  }

  void open(LinkId Link, const Address &To) override {
    Node.open(Link.Value, To.Value);
  }
  void send(LinkId Link, const Message &m) override {
    Node.send(Link.Value, encodeMessage(m));
  }

  /**
   * Gives the number of bytes that are queued for sending on a link.
   * @param Link The link.
   * @return Bytes; 0 for a link that is closed.
   */
  uint64_t backlog(LinkId Link) { return Node.backlog(Link.Value); }
  void close(LinkId Link) override { Node.close(Link.Value); }

private:
  /** Decodes a frame and passes the message, or the failure, on. */
  void handleFrame(uint64_t n, const std::string &Bytes) {
    auto Read = outcomeOf([&] { return decodeMessage(Bytes); });
    if (Read.Value && std::holds_alternative<Hello>(*Read.Value))
      Node.identify(n);
    if (Read.Value)
      Callbacks.OnMessage(LinkId{n}, std::move(*Read.Value));
    else
      Callbacks.OnUnreadable(LinkId{n}, Read.Why);
  }

  LinkCallbacks Callbacks;
  PeerNode Node; ///< Declared last: its thread uses the members above.
};

} // namespace jacinthpond

#endif
