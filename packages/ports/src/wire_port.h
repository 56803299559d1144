/** @file wire_port.h Interface to the HTTP formats of callers and back ends. */

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

/** Names of the HTTP headers that the programs read or write. */
struct HeaderNames {
  std::string AttemptId;      ///< Id of one attempt of the caller.
  std::string Remaining;      ///< Milliseconds until the caller's deadline.
  std::string ExpectedServer; ///< Incarnation of the back end that may answer.
  /** Weights version that the answer may start with. */
  std::string ExpectedVersion;
  std::string Workspace;     ///< Workspace; set by the entry, not by callers.
  std::string Signature;     ///< Shows that a back end made the answer.
  std::string Load;          ///< Load of the answering back end.
  std::string NotExecuted;   ///< Set when the back end did not run the request.
  std::string WeightVersion; ///< Weights version that the answer started with.
  std::string Rank;          ///< Priority for the back end; 0 is the highest.
  std::string TokenCounts;   ///< Prompt tokens and most tokens of the answer.
  std::string Model;         ///< Model that the request is for.
  std::string PromptParts;   ///< Parts of the prompt, in order.
  std::string LastEventId;   ///< Id of the last event that the caller received.
  /** Rate limit of the answering back end, in requests a second. A back end
   * sends one of these headers. */
  std::vector<std::string> RateLimits;
  std::string RetryAfter; ///< Seconds without requests that a refusal asks for.
  /** Set to 1 when the answering back end is shutting down. A back end sends
   * one of these headers. */
  std::vector<std::string> Leaving;
};

/** A caller's query for the addresses of entries. */
struct DirectoryQuery {
  DomainName Domain; ///< Failure domain of the caller; may be empty.
  RegionName Region; ///< Region of the caller; may be empty.
};

/** Parses and formats; makes no decisions. */
class WirePort {
public:
  virtual ~WirePort() = default;

  /**
   * Gives the names of the headers.
   * @return The names, the same for each call.
   */
  virtual const HeaderNames &headerNames() const = 0;

  /**
   * Parses a query for the addresses of entries.
   * @param Target Request target.
   * @return The query; nothing when the target has another path.
   */
  virtual std::optional<DirectoryQuery>
  parseDirectoryQuery(std::string_view Target) const = 0;

  /**
   * Formats the answer to such a query.
   * @param Entries Addresses at which callers may connect.
   * @param Keep How long callers may cache the answer.
   * @return JSON text of the body.
   */
  virtual std::string formatDirectoryAnswer(const std::vector<Address> &Entries,
                                            Millis Keep) const = 0;

  /**
   * Parses the load that a back end reports with an answer.
   * @param Value Header value.
   * @return Number of requests that run or wait there; nothing when malformed.
   */
  virtual std::optional<uint32_t>
  parseServerLoad(std::string_view Value) const = 0;

  /**
   * Parses the rate limit that a back end reports with an answer.
   * @param Value Header value.
   * @return Requests a second, 0 or more; nothing when malformed.
   */
  virtual std::optional<double>
  parseRateLimit(std::string_view Value) const = 0;

  /**
   * Parses whether a back end says with an answer that it is shutting down.
   * @param Value Header value.
   * @return Whether it does; nothing when malformed.
   */
  virtual std::optional<bool> parseLeaving(std::string_view Value) const = 0;

  /**
   * Parses the size of a prompt.
   * @param Value Header value.
   * @return Number of prompt tokens; 0 when malformed.
   */
  virtual uint32_t parsePromptTokens(std::string_view Value) const = 0;

  /**
   * Parses the parts of a prompt that other requests may share: all but the
   * last one.
   * @param Value Header value.
   * @return Their ids in order, each spelled one way; none when malformed.
   */
  virtual std::vector<PartId>
  parseSharedParts(std::string_view Value) const = 0;
};

} // namespace jacinthpond

#endif
