/** @file ended_attempts.cpp Memory of ended attempts. */

#include "attempts/ended_attempts_func.h"

#include <algorithm>
#include <numeric>

namespace jacinthpond {

namespace {

size_t bytesOf(const std::vector<std::string> &Frames) {
  return std::accumulate(
      Frames.begin(), Frames.end(), size_t{0},
      [](size_t All, const std::string &One) { return All + One.size(); });
}

void forget(EndedAttempts &Ended, const AttemptId &Which) {
  const auto it = Ended.Known.find(Which);
  if (it == Ended.Known.end())
    return;
  Ended.ByExpiry.erase({it->second.Forget, Which});
  Ended.WithFrames.erase({it->second.Forget, Which});
  Ended.FrameBytes -= bytesOf(it->second.Frames);
  Ended.Known.erase(it);
}

/** Drops answers, first to expire first, until the bytes fit. */
void dropAnswers(EndedAttempts &Ended) {
  while (Ended.FrameBytes > MaxEndedBytes) {
    const auto it = Ended.WithFrames.begin();
    EndedAttempt &One = Ended.Known.at(it->second);
    Ended.FrameBytes -= bytesOf(One.Frames);
    One.Frames = {};
    Ended.WithFrames.erase(it);
  }
}

} // namespace

void rememberEnded(EndedAttempts &Ended, const AttemptId &Which,
                   EndedAttempt One, TimePoint Now) {
  forget(Ended, Which);
  if (Ended.Known.size() >= MaxEndedAttempts) {
    const auto [Expiry, Oldest] = *Ended.ByExpiry.begin();
    // "Never seen" would be a guess until the time of the forgotten one has
    // passed, and the entry would take it for "not run".
    Ended.CompleteSince = std::max(Ended.CompleteSince, Expiry);
    forget(Ended, Oldest);
  }
  Ended.FrameBytes += bytesOf(One.Frames);
  Ended.ByExpiry.insert({One.Forget, Which});
  if (!One.Frames.empty())
    Ended.WithFrames.insert({One.Forget, Which});
  Ended.Known[Which] = std::move(One);
  dropAnswers(Ended);
  expireEnded(Ended, Now);
}

void expireEnded(EndedAttempts &Ended, TimePoint Now) {
  while (!Ended.ByExpiry.empty() && Ended.ByExpiry.begin()->first <= Now) {
    const AttemptId Which = Ended.ByExpiry.begin()->second;
    forget(Ended, Which);
  }
}

bool endedIsComplete(const EndedAttempts &Ended, TimePoint Now) {
  return Now >= Ended.CompleteSince;
}

} // namespace jacinthpond
