/** @file peer_port.h Interface to the links to other entries and agents. */

#ifndef JACINTHPOND_PORTS_PEER_PORT_H
#define JACINTHPOND_PORTS_PEER_PORT_H

#include "base/ids_type.h"
#include "wire/message_type.h"

namespace jacinthpond {

/** Opens, uses and closes links. No call blocks. */
class PeerPort {
public:
  virtual ~PeerPort() = default;

  /**
   * Opens a link; success or failure is reported by an event.
   * @param Link Id chosen by the caller, below FirstAcceptedLink.
   * @param To Where to connect.
   */
  virtual void open(LinkId Link, const Address &To) = 0;

  /**
   * Sends a message; it is dropped silently when the link is closed.
   * @param Link Link to use.
   * @param m The message.
   */
  virtual void send(LinkId Link, const Message &m) = 0;

  /**
   * Closes a link; messages that still arrive on it are dropped.
   * @param Link Link to close.
   */
  virtual void close(LinkId Link) = 0;
};

} // namespace jacinthpond

#endif
