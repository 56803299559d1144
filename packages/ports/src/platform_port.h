/** @file platform_port.h What the platform publishes; it can only be read. */

#ifndef JACINTHPOND_PORTS_PLATFORM_PORT_H
#define JACINTHPOND_PORTS_PLATFORM_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"
#include "base/ids_type.h"
#include "base/time_type.h"

#include <map>
#include <string>

namespace jacinthpond {

/** State of a host in the platform's list. */
enum class HostState : uint8_t { Live, Leaving };

/** The platform's lagging list of hosts. */
using HostStates = std::map<HostName, HostState>;

/** The configuration service. Each call counts against its rate. */
class ConfigPort {
public:
  virtual ~ConfigPort() = default;

  /**
   * Reads the document, waiting for a newer one.
   * @param After Answer at once when the published version is another.
   * @param InForce Digest of the document in force; empty: none.
   * @param Wait Longest wait; a wait counts as one call.
   * @return The text, empty when nothing changed, or Unreachable.
   */
  virtual Result<std::string> watch(ConfigVersion After, const Digest &InForce,
                                    Millis Wait) = 0;
};

/** The list of live and leaving hosts. */
class HostsPort {
public:
  virtual ~HostsPort() = default;

  /**
   * Reads the list.
   * @return The list, or Unreachable.
   */
  virtual Result<HostStates> hosts() = 0;
};

/** Origin of weights, behind a rate-limited link. */
class OriginPort {
public:
  virtual ~OriginPort() = default;

  /**
   * Fetches a chunk. The content is not trusted.
   * @param Chunk Which chunk.
   * @return Its bytes, or Unreachable.
   */
  virtual Result<std::string> fetch(const ChunkRef &Chunk) = 0;

  /**
   * Reads which chunks a version has, where the document does not say it. The
   * list is not trusted: it may have been damaged on its way.
   * @param Version Which version; its content and number do not count.
   * @return The list, or Unreachable.
   */
  virtual Result<ChunkList> list(const ChunkRef &Version) = 0;
};

} // namespace jacinthpond

#endif
