/** @file server_backoff.cpp Pauses that a back end asks for. */

#include "admission/server_backoff_func.h"

#include <algorithm>

namespace jacinthpond {

bool beginPause(ServerBackoff &Backoff, Duration Pause, TimePoint Now) {
  if (Pause <= Duration{0})
    return false;
  const bool Begins = !isPaused(Backoff, Now);
  Backoff.Until = std::max(Backoff.Until, Now + Pause);
  Backoff.MaxOpen = 0;
  Backoff.Growth = 1;
  return Begins;
}

bool isPaused(const ServerBackoff &Backoff, TimePoint Now) {
  return Now < Backoff.Until;
}

bool maySendAfterPause(ServerBackoff &Backoff, uint32_t Open, TimePoint Now) {
  if (isPaused(Backoff, Now))
    return false;
  if (Backoff.Growth == 0)
    return true;
  if (Backoff.MaxOpen == 0)
    Backoff.MaxOpen = Open + 1;
  return Open < Backoff.MaxOpen;
}

void recordServedRequest(ServerBackoff &Backoff, uint32_t Slots,
                         TimePoint Now) {
  // Requests from before the pause end during it and say nothing about later
  // ones.
  if (Backoff.Growth == 0 || Backoff.MaxOpen == 0 || isPaused(Backoff, Now))
    return;
  Backoff.MaxOpen += Backoff.Growth;
  Backoff.Growth *= 2;
  if (Backoff.Growth > std::max(1U, Slots))
    Backoff = {};
}

} // namespace jacinthpond
