/** @file ended_attempts.cpp Record of ended attempts. */

#include "attempts/ended_attempts_func.h"

#include <algorithm>
#include <numeric>

namespace jacinthpond {

namespace {

/** Gives the total size of frames. */
size_t totalBytes(const std::vector<std::string> &Frames) {
  return std::accumulate(
      Frames.begin(), Frames.end(), size_t{0},
      [](size_t All, const std::string &One) { return All + One.size(); });
}

/** Removes an ended attempt from the record, if it is there. */
void forgetAttempt(EndedAttempts &Ended, const AttemptId &Which) {
  const auto it = Ended.ById.find(Which);
  if (it == Ended.ById.end())
    return;
  Ended.ByExpiry.erase({it->second.ForgetAt, Which});
  Ended.WithFrames.erase({it->second.ForgetAt, Which});
  Ended.FrameBytes -= totalBytes(it->second.Frames);
  Ended.ById.erase(it);
}

/** Drops stored answers until they fit into MaxEndedBytes; those that expire
 * first go first. */
void dropOldAnswers(EndedAttempts &Ended) {
  while (Ended.FrameBytes > MaxEndedBytes) {
    const auto it = Ended.WithFrames.begin();
    EndedAttempt &One = Ended.ById.at(it->second);
    Ended.FrameBytes -= totalBytes(One.Frames);
    One.Frames = {};
    Ended.WithFrames.erase(it);
  }
}

} // namespace

void rememberEnded(EndedAttempts &Ended, const AttemptId &Which,
                   EndedAttempt One, TimePoint Now) {
  forgetAttempt(Ended, Which);
  if (Ended.ById.size() >= MaxEndedAttempts) {
    const auto [Expiry, Oldest] = *Ended.ByExpiry.begin();
    // Until the forgotten one would have expired, an unknown attempt may have
    // run; "never seen" would tell the entry that it did not.
    Ended.CompleteSince = std::max(Ended.CompleteSince, Expiry);
    forgetAttempt(Ended, Oldest);
  }
  Ended.FrameBytes += totalBytes(One.Frames);
  Ended.ByExpiry.insert({One.ForgetAt, Which});
  if (!One.Frames.empty())
    Ended.WithFrames.insert({One.ForgetAt, Which});
  Ended.ById[Which] = std::move(One);
  dropOldAnswers(Ended);
  expireEnded(Ended, Now);
}

void expireEnded(EndedAttempts &Ended, TimePoint Now) {
  while (!Ended.ByExpiry.empty() && Ended.ByExpiry.begin()->first <= Now) {
    const AttemptId Which = Ended.ByExpiry.begin()->second;
    forgetAttempt(Ended, Which);
  }
}

bool hasAllEndedAttempts(const EndedAttempts &Ended, TimePoint Now) {
  return Now >= Ended.CompleteSince;
}

} // namespace jacinthpond
