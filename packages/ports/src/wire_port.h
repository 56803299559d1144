/** @file wire_port.h How callers and back ends of routes speak HTTP. */

#ifndef JACINTHPOND_PORTS_WIRE_PORT_H
#define JACINTHPOND_PORTS_WIRE_PORT_H

#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/** Names of the headers that mean something to the product. */
struct HeaderNames {
  std::string AttemptId;       ///< Caller's id of one attempt.
  std::string Remaining;       ///< Milliseconds that the caller still waits.
  std::string ExpectedServer;  ///< Run of the back end that may answer.
  std::string ExpectedVersion; ///< Weights that may begin the answer.
  std::string Tenant;          ///< Workspace, set by the system.
  std::string Signature;       ///< Marks what a back end really answered.
  std::string Load;            ///< Load of the answering back end.
  std::string NotExecuted;     ///< The back end did not run the request.
  std::string WeightVersion;   ///< Weights that began the answer.
  std::string Rank;            ///< Urgency for the back end; 0 is first.
  std::string TokenCounts;     ///< Size of prompt and longest answer.
  std::string LastEventId;     ///< Last event that the caller has.
  /** Requests a second that the answering back end takes; any of these. */
  std::vector<std::string> RateLimits;
};

/** Who asks which entries to use. */
struct DirectoryQuestion {
  DomainName Domain; ///< Failure domain of the caller; may be empty.
  RegionName Region; ///< Region of the caller; may be empty.
};

/** Translates; decides nothing. */
class WirePort {
public:
  virtual ~WirePort() = default;

  /**
   * Names the headers.
   * @return The same names each time.
   */
  virtual const HeaderNames &names() const = 0;

  /**
   * Reads a question for addresses.
   * @param Target Request target.
   * @return The question; nothing when the target asks something else.
   */
  virtual std::optional<DirectoryQuestion>
  directoryQuestion(std::string_view Target) const = 0;

  /**
   * Writes the answer to it.
   * @param Entries Where callers may connect.
   * @param Keep How long they may keep the answer.
   * @return JSON text.
   */
  virtual std::string directoryAnswer(const std::vector<Address> &Entries,
                                      Millis Keep) const = 0;

  /**
   * Reads the load that a back end tells with an answer.
   * @param Value Header value.
   * @return Requests that run or wait there; nothing when unreadable.
   */
  virtual std::optional<uint32_t> busyOf(std::string_view Value) const = 0;

  /**
   * Reads the rate limit that a back end sets for itself.
   * @param Value Header value.
   * @return Requests a second, 0 or more; nothing when unreadable.
   */
  virtual std::optional<double> rateLimitOf(std::string_view Value) const = 0;

  /**
   * Reads the size of a prompt.
   * @param Value Header value.
   * @return Tokens; 0 when unreadable.
   */
  virtual uint32_t promptTokens(std::string_view Value) const = 0;
};

} // namespace jacinthpond

#endif
