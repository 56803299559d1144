/** @file peer_port.h Links to other processes of the system. */

#ifndef JACINTHPOND_PORTS_PEER_PORT_H
#define JACINTHPOND_PORTS_PEER_PORT_H

#include "base/ids_type.h"
#include "wire/message_type.h"

namespace jacinthpond {

/** Sends over links. No call blocks. */
class PeerPort {
public:
  virtual ~PeerPort() = default;

  /**
   * Opens a link; success and failure come as events.
   * @param Link Id chosen by the caller, below FirstAcceptedLink.
   * @param To Where to connect.
   */
  virtual void open(LinkId Link, const Address &To) = 0;

  /**
   * Sends a message; lost without a word when the link is gone.
   * @param Link Over which link.
   * @param m The message.
   */
  virtual void send(LinkId Link, const Message &m) = 0;

  /**
   * Closes a link; nothing that still arrives on it is delivered.
   * @param Link Which link.
   */
  virtual void close(LinkId Link) = 0;
};

} // namespace jacinthpond

#endif
