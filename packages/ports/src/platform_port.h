/** @file platform_port.h Read-only interfaces to the platform's configuration,
 * hosts and weights. */

#ifndef JACINTHPOND_PORTS_PLATFORM_PORT_H
#define JACINTHPOND_PORTS_PLATFORM_PORT_H

#include "attempts/backend_type.h"
#include "base/error_func.h"
#include "base/ids_type.h"
#include "base/time_type.h"
#include "configuration/left_out_type.h"

#include <map>
#include <string>

namespace jacinthpond {

/** State of a host in the platform's host list. */
enum class HostState : uint8_t { Live, Leaving };

/** The platform's list of hosts, which lags behind their real state. */
using HostStates = std::map<HostName, HostState>;

/** The configuration service. Each call counts against its rate limit. */
class ConfigPort {
public:
  virtual ~ConfigPort() = default;

  /**
   * Reads the published document, and waits for it to change first if it has
   * the given version.
   * @param After Version in force; returns at once when another is published.
   * @param InForce Digest of the document in force; empty: none.
   * @param Wait Longest wait; it counts as one call.
   * @return Text of the document, empty when it did not change; or Unreachable.
   */
  virtual Result<std::string> watch(ConfigVersion After, const Digest &InForce,
                                    Millis Wait) = 0;

  /**
   * Gives the parts of the published configuration that the document can't
   * hold, as of the last read. Called by the thread that calls watch().
   * @return The parts; none for a service that publishes documents.
   */
  virtual LeftOutParts leftOut() const { return {}; }
};

/** The list of live and leaving hosts. */
class HostsPort {
public:
  virtual ~HostsPort() = default;

  /**
   * Reads the host list.
   * @return The list, or Unreachable.
   */
  virtual Result<HostStates> hosts() = 0;
};

/** Origin of model weights, behind a link of limited bandwidth. */
class OriginPort {
public:
  virtual ~OriginPort() = default;

  /**
   * Fetches a chunk. It may be damaged, so the caller must check its digest.
   * @param Chunk Which chunk.
   * @return Its bytes, or Unreachable.
   */
  virtual Result<std::string> fetch(const ChunkRef &Chunk) = 0;

  /** Makes all fetches that are under way fail at once. Does not block. */
  virtual void cancelFetches() = 0;

  /**
   * Reads which chunks a version has, for documents that do not list them. The
   * list may have been damaged in transit.
   * @param Version Which version; its Content and Number are ignored.
   * @return The list, or Unreachable.
   */
  virtual Result<ChunkList> list(const ChunkRef &Version) = 0;
};

} // namespace jacinthpond

#endif
