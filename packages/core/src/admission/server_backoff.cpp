/** @file server_backoff.cpp Pauses that a back end asks for. */

#include "admission/server_backoff_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Requests that each accepted one allows: the number doubles with each round.
 */
constexpr uint32_t NewPerAccepted = 2;

} // namespace

bool beginPause(ServerBackoff &Backoff, Duration Pause, TimePoint Now) {
  if (Pause <= Duration{0})
    return false;
  const bool Begins = !isPaused(Backoff, Now);
  Backoff.Until = std::max(Backoff.Until, Now + Pause);
  Backoff.MaxOpen = 0;
  Backoff.SlowStart = true;
  return Begins;
}

bool isPaused(const ServerBackoff &Backoff, TimePoint Now) {
  return Now < Backoff.Until;
}

bool maySendAfterPause(ServerBackoff &Backoff, uint32_t Open, TimePoint Now) {
  if (isPaused(Backoff, Now))
    return false;
  if (!Backoff.SlowStart)
    return true;
  if (Backoff.MaxOpen == 0)
    Backoff.MaxOpen = Open + 1;
  return Open < Backoff.MaxOpen;
}

void recordAcceptedRequest(ServerBackoff &Backoff, uint32_t Slots,
                           TimePoint Now) {
  // Answers during the pause are to requests from before it.
  if (Backoff.MaxOpen == 0 || isPaused(Backoff, Now))
    return;
  Backoff.MaxOpen += NewPerAccepted;
  if (Backoff.MaxOpen > Slots)
    Backoff = {};
}

} // namespace jacinthpond
