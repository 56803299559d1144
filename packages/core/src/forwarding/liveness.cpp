/** @file liveness.cpp Whether the host of a back end runs. */

#include "forwarding/liveness_func.h"

#include "forwarding/server_pool_func.h"

namespace jacinthpond {

namespace {

/** Wait for an answer: the way between regions and back, with one packet that
 * is sent again. */
constexpr Millis LivenessWait{250};
/** After so long the agent may have ended while nobody could hear of it, and
 * the back end may live: single requests find out. */
constexpr Millis LongestStandstill{10000};

} // namespace

bool hostAsked(ServerPool &Pool, const InstanceId &Id, TimePoint Now) {
  ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !View->Agent || View->Agent->Link == LinkId{} ||
      View->Unanswered)
    return false;
  View->Unanswered = Now;
  return true;
}

void hostHeard(ServerPool &Pool, LinkId Link) {
  for (auto &[Id, View] : Pool.Servers)
    if (View.Agent && View.Agent->Link == Link)
      View.Unanswered.reset();
}

void forgetQuestion(ServerPool &Pool, const InstanceId &Id) {
  if (ServerView *View = findServer(Pool, Id))
    View->Unanswered.reset();
}

std::optional<TimePoint> standsStillFrom(const ServerPool &Pool,
                                         const InstanceId &Id) {
  const ServerView *View = findServer(Pool, Id);
  if (View == nullptr || !View->Unanswered)
    return std::nullopt;
  return *View->Unanswered + LivenessWait;
}

bool standsStill(const ServerView &View, TimePoint Now) {
  if (!View.Unanswered)
    return false;
  const Duration Silent = Now - *View.Unanswered;
  return Silent >= LivenessWait && Silent < LongestStandstill;
}

void agentLinkEnded(ServerView &View, bool Silent, TimePoint Now) {
  // The host of an agent that was killed closes its connections, and the back
  // end there goes on.
  if (!Silent)
    View.Unanswered.reset();
  else if (!View.Unanswered)
    View.Unanswered = Now - LivenessWait;
}

} // namespace jacinthpond
