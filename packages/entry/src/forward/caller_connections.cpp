/** @file caller_connections.cpp All connections of callers, and their bounds.
 */

#include "forward/caller_connections.h"

#include "admission/connection_table_func.h"
#include "admission/refusal_episode_func.h"
#include "forward/caller_session.h"
#include "log/refusal_log.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

constexpr const char *ListenerName = "routes";

} // namespace

ConnectionId
CallerConnections::add(const std::shared_ptr<CallerSession> &Session) {
  const ConnectionId Id = addConnection(Table, Clock.now());
  Sessions[Id] = Session;
  closeExcess();
  share();
  return Id;
}

void CallerConnections::makeRoom() {
  if (Table.Rows.empty())
    return;
  const ConnectionLimits Limits = Table.Limits;
  Table.Limits.Connections =
      std::min(Limits.Connections, Table.Rows.size() - 1);
  closeExcess();
  Table.Limits = Limits;
  share();
}

/** Closes connections above the limit. */
void CallerConnections::closeExcess() {
  for (const ConnectionId Id : connectionsOverLimit(Table)) {
    countRefusal(CallerRefusal::Connections);
    if (const auto Session = find(Id))
      Session->closeForOthers();
    remove(Id);
  }
}

void CallerConnections::remove(ConnectionId Id) {
  removeConnection(Table, Id);
  Sessions.erase(Id);
  share();
}

void CallerConnections::record(ConnectionId Id, ConnectionPhase Phase,
                               size_t Bytes) {
  recordConnection(Table, Id, Phase, Bytes, Clock.now());
  if (!std::exchange(Enforcing, true)) {
    while (const auto Chosen = connectionOverMemory(Table, Id, Clock.now())) {
      countRefusal(CallerRefusal::Memory);
      if (const auto Session = find(*Chosen))
        Session->giveWay();
      else
        remove(*Chosen);
    }
    Enforcing = false;
  }
  share();
}

void CallerConnections::recordOwner(ConnectionId Id,
                                    const WorkspaceName &Owner) {
  jacinthpond::recordOwner(Table, Id, Owner);
}

void CallerConnections::countRefusal(CallerRefusal Why) {
  ++Refusals.at(static_cast<size_t>(Why));
  if (recordRefusal(Episodes, Why, Clock.now()))
    logRefusals(ListenerName, Why, Table);
}

void CallerConnections::logEndedSeries() {
  for (const auto &[Why, Refused] : endEpisodes(Episodes, Clock.now()))
    logRefusalsEnd(ListenerName, Why, Refused);
}

std::shared_ptr<CallerSession> CallerConnections::find(ConnectionId Id) const {
  const auto it = Sessions.find(Id);
  return it == Sessions.end() ? nullptr : it->second.lock();
}

/** Publishes the values of metrics. */
void CallerConnections::share() {
  SharedBytes = Table.Bytes;
  SharedCount = Table.Rows.size();
}

} // namespace jacinthpond
