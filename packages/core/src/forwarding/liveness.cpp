/** @file liveness.cpp Detecting unresponsive hosts of back ends. */

#include "forwarding/liveness_func.h"

#include "forwarding/server_pool_func.h"

namespace jacinthpond {

namespace {

/** Timeout of a probe: a round trip between regions with one packet that is
 * sent again. */
constexpr Millis ProbeTimeout{250};
/** Time after which a host no longer counts as unresponsive. Its agent may have
 * ended while it was cut off, so that it cannot answer although the back end
 * runs: single requests check that. */
constexpr Millis MaxUnresponsiveTime{10000};

} // namespace

bool recordHostProbe(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !View->Agent || View->Agent->Link == LinkId{} ||
      View->ProbePendingSince)
    return false;
  View->ProbePendingSince = Now;
  return true;
}

void recordAgentActivity(ServerPool &Pool, LinkId Link) {
  for (auto &[Id, View] : Pool.Servers)
    if (View.Agent && View.Agent->Link == Link)
      View.ProbePendingSince.reset();
}

void discardProbe(ServerPool &Pool, const InstanceId &Id) {
  if (ServerView *View = findServer(Pool, Id))
    View->ProbePendingSince.reset();
}

std::optional<TimePoint> unresponsiveFrom(const ServerPool &Pool,
                                          const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !View->ProbePendingSince)
    return std::nullopt;
  return *View->ProbePendingSince + ProbeTimeout;
}

bool isHostUnresponsive(const ServerView &View, TimePoint Now) {
  if (!View.ProbePendingSince)
    return false;
  const Duration Pending = Now - *View.ProbePendingSince;
  return Pending >= ProbeTimeout && Pending < MaxUnresponsiveTime;
}

void recordAgentLinkEnd(ServerView &View, bool Silent, TimePoint Now) {
  // When an agent is killed its host closes the connections, so the host runs,
  // and the back end goes on.
  if (!Silent)
    View.ProbePendingSince.reset();
  else if (!View.ProbePendingSince)
    View.ProbePendingSince = Now - ProbeTimeout;
}

} // namespace jacinthpond
