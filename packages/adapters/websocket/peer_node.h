/** @file peer_node.h Websocket links, behind a header without websocketpp.
 *
 * One thread of its own does all network work. A link is named by a number:
 * below FirstAcceptedLink by the process that opens it, above for accepted
 * ones. Strings carry bytes.
 */

#ifndef JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_NODE_H
#define JACINTHPOND_ADAPTERS_WEBSOCKET_PEER_NODE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jacinthpond {

/** Called on the network thread. */
struct PeerCallbacks {
  std::function<void(uint64_t)> OnOpen;  ///< A link works.
  std::function<void(uint64_t)> OnClose; ///< A link is gone or never came.
  std::function<void(uint64_t, std::string)> OnBytes; ///< A frame arrived.
};

/** All links of a process. Every call may be made from any thread. */
class PeerNode {
public:
  /**
   * Starts the network thread.
   * @param Handlers Where events go.
   */
  explicit PeerNode(PeerCallbacks Handlers);
  /** Closes everything and ends the network thread. */
  ~PeerNode();
  PeerNode(const PeerNode &) = delete;
  PeerNode &operator=(const PeerNode &) = delete;

  /**
   * Accepts links.
   * @param At "IP:port"; port 0 lets the kernel choose.
   * @return "IP:port" with the port in use; empty when it cannot be had.
   */
  std::string listen(const std::string &At);

  /**
   * Opens a link; OnOpen or OnClose follows.
   * @param Link Number for it.
   * @param To "IP:port".
   */
  void open(uint64_t Link, const std::string &To);

  /**
   * Sends one frame; dropped when the link is gone.
   * @param Link Over which link.
   * @param Bytes Content.
   */
  void send(uint64_t Link, std::string Bytes);

  /**
   * Drops a link at once; no event follows for it.
   * @param Link Which link.
   */
  void close(uint64_t Link);

  /**
   * Closes all links after what was sent, and waits for the other ends.
   * @param LimitMillis Longest wait; a frozen peer does not answer.
   */
  void finish(long LimitMillis);

  /**
   * Bytes accepted by send() that the network has not taken yet.
   * @param Link Which link.
   * @return Bytes; 0 for a link that is gone.
   */
  uint64_t backlog(uint64_t Link);

private:
  struct Impl;
  std::unique_ptr<Impl> Inner;
};

} // namespace jacinthpond

#endif
