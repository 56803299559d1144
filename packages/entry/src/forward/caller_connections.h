/** @file caller_connections.h All connections of callers, and their bounds. */

#ifndef JACINTHPOND_ENTRY_FORWARD_CALLER_CONNECTIONS_H
#define JACINTHPOND_ENTRY_FORWARD_CALLER_CONNECTIONS_H

#include "admission/connection_table_type.h"
#include "admission/refusal_episode_type.h"
#include "clock/runtime_clock.h"

#include <array>
#include <atomic>
#include <map>
#include <memory>

namespace jacinthpond {

class CallerSession;

/** Counts and bounds the connections of callers and what they hold. Used by the
 * traffic thread only, but for the values of metrics. */
class CallerConnections {
public:
  /**
   * Sets the bounds.
   * @param Limits The bounds; connections above them are closed when they
   *               change next.
   */
  void setLimits(const ConnectionLimits &Limits) { Table.Limits = Limits; }

  /**
   * Adds an accepted connection; closes others if there are too many.
   * @param Session Its session.
   * @return Its id.
   */
  ConnectionId add(const std::shared_ptr<CallerSession> &Session);

  /** Closes connections although the limit is kept, since no descriptor is
   * free. */
  void makeRoom();

  /** Removes a closed connection. @param Id The connection. */
  void remove(ConnectionId Id);

  /**
   * Records what a connection does and holds; if connections hold too much,
   * makes one or more of them give way, perhaps this one.
   * @param Id The connection.
   * @param Phase What it does.
   * @param Bytes Memory that it holds.
   */
  void record(ConnectionId Id, ConnectionPhase Phase, size_t Bytes);

  /**
   * Records whose request arrives on a connection.
   * @param Id The connection.
   * @param Owner Workspace; an empty name where no key is needed.
   */
  void recordOwner(ConnectionId Id, const WorkspaceName &Owner);

  /** Counts a refusal, and logs the first one of a series. @param Why Reason.
   */
  void countRefusal(CallerRefusal Why);

  /** Logs the series of refusals that have ended. */
  void logEndedSeries();

  /** Memory that connections hold. @return Bytes; callable from any thread. */
  size_t bytes() const { return SharedBytes; }
  /** Connections. @return Number; callable from any thread. */
  size_t count() const { return SharedCount; }
  /** Refusals so far. @param Why Reason. @return Number; from any thread. */
  uint64_t refusals(CallerRefusal Why) const {
    return Refusals.at(static_cast<size_t>(Why));
  }

private:
  void closeExcess();
  std::shared_ptr<CallerSession> find(ConnectionId Id) const;
  void share();

  RuntimeClock Clock;
  ConnectionTable Table;
  std::map<ConnectionId, std::weak_ptr<CallerSession>> Sessions;
  bool Enforcing = false; ///< A connection is giving way.
  RefusalEpisodes Episodes{};
  std::atomic<size_t> SharedBytes{0};
  std::atomic<size_t> SharedCount{0};
  std::array<std::atomic<uint64_t>, static_cast<size_t>(CallerRefusal::Count)>
      Refusals{};
};

} // namespace jacinthpond

#endif
