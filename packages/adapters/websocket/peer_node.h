/** @file peer_node.h Websocket links, behind a header without websocketpp.
 *
 * A thread of its own does all network work. Each link has a number: the caller
 * of open() chooses one below FirstAcceptedLink, and accepted links get numbers
 * from FirstAcceptedLink on. Strings hold raw bytes.
 */

#ifndef JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_NODE_H
#define JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_NODE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jacinthpond {

/** Handlers of link events, called on the network thread. */
struct PeerCallbacks {
  std::function<void(uint64_t)> OnOpen;  ///< A link is open.
  std::function<void(uint64_t)> OnClose; ///< A link closed or failed to open.
  std::function<void(uint64_t, std::string)> OnBytes; ///< A frame arrived.
};

/** Holds all links of a process. All functions are thread-safe. */
class PeerNode {
public:
  /**
   * Starts the network thread.
   * @param Handlers Called for each event of a link.
   * @param MaxUnidentified Most accepted links whose peers are not known; see
   *                        identify().
   */
  PeerNode(PeerCallbacks Handlers, size_t MaxUnidentified);
  /** Stops the network thread and closes all links; queued frames are lost. */
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /**
   * Listens for links of other processes.
   * @param ListenAddress "IP:port"; port 0 lets the kernel choose.
   * @return "IP:port" with the port in use; empty when it cannot be bound.
   */
  std::string listen(const std::string &ListenAddress);

  /**
   * Says that the peer of a link is known. Accepted links carry only small
   * frames before that. Called on the network thread, in a callback.
   * @param Link The link.
   */
  void identify(uint64_t Link);

  /**
   * Opens a link; OnOpen or OnClose follows.
   * @param Link Number of the new link.
   * @param To "IP:port".
   */
  void open(uint64_t Link, const std::string &To);

  /**
   * Queues one frame for sending; it is discarded when the link is closed.
   * @param Link The link.
   * @param Bytes Content.
   */
  void send(uint64_t Link, std::string Bytes);

  /**
   * Closes a link at once, without a handshake; no more events follow for it.
   * @param Link The link.
   */
  void close(uint64_t Link);

  /**
   * Sends everything that is queued, closes all links and waits until the peers
   * have closed them too.
   * @param TimeoutMillis Longest wait; an unresponsive peer never closes.
   */
  void closeGracefully(long TimeoutMillis);

  /**
   * Gives the number of bytes that are queued for sending on a link.
   * @param Link The link.
   * @return Bytes; 0 for a link that is closed.
   */
  uint64_t backlog(uint64_t Link);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace jacinthpond

#endif
