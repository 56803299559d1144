/** @file peer_links.h PeerPort over websocket links and the CBOR codec. */

#ifndef JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_LINKS_H
#define JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_LINKS_H

#include "codec/message_codec.h"
#include "peer_port.h"
#include "websocket/peer_node.h"

#include <functional>

namespace jacinthpond {

/** Called on the network thread. */
struct LinkCallbacks {
  std::function<void(LinkId)> OnOpen;             ///< A link works.
  std::function<void(LinkId)> OnClose;            ///< A link is gone.
  std::function<void(LinkId, Message)> OnMessage; ///< A message arrived.
  std::function<void(LinkId, Failure)> OnGarbage; ///< Unreadable frame.
};

/** Links that carry messages. */
class PeerLinks final : public PeerPort {
public:
  /**
   * Starts the network thread.
   * @param Handlers Where events go.
   */
  explicit PeerLinks(LinkCallbacks Handlers)
      : Callbacks(std::move(Handlers)),
        Node({[this](uint64_t n) { Callbacks.OnOpen(LinkId{n}); },
              [this](uint64_t n) { Callbacks.OnClose(LinkId{n}); },
              [this](uint64_t n, const std::string &Bytes) {
                take(n, Bytes);
              }}) {}

  /**
   * Accepts links.
   * @param At "IP:port"; port 0 lets the kernel choose.
   * @return The address in use; empty when it cannot be had.
   */
  std::string listen(const std::string &At) { return Node.listen(At); }

  /**
   * Closes all links after what was sent, and waits for the other ends.
   * @param Limit Longest wait.
   */
  void finish(Millis Limit) { Node.finish(static_cast<long>(Limit.count())); }

  void open(LinkId Link, const Address &To) override {
    Node.open(Link.Value, To.Value);
  }
  void send(LinkId Link, const Message &m) override {
    Node.send(Link.Value, encodeMessage(m));
  }

  /**
   * Gives how much of what was sent the network has not taken yet.
   * @param Link Which link.
   * @return Bytes; 0 for a link that is gone.
   */
  uint64_t backlog(LinkId Link) { return Node.backlog(Link.Value); }
  void close(LinkId Link) override { Node.close(Link.Value); }

private:
  void take(uint64_t n, const std::string &Bytes) {
    auto Read = outcomeOf([&] { return decodeMessage(Bytes); });
    if (Read.Value)
      Callbacks.OnMessage(LinkId{n}, std::move(*Read.Value));
    else
      Callbacks.OnGarbage(LinkId{n}, Read.Why);
  }

  LinkCallbacks Callbacks;
  PeerNode Node; ///< Last member: its thread uses the others.
};

} // namespace jacinthpond

#endif
