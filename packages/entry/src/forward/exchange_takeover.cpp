/** @file exchange_takeover.cpp When another attempt may take over from a silent
 * back end.
 *
 * A back end may be silent for a moment and go on. Its answer is given up only
 * for another attempt that has begun to answer; until then whichever goes on
 * first is passed to the caller.
 */

#include "forward/exchange.h"

#include "forwarding/no_server_func.h"
#include "log/log.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Attempts of a request that may be open at a time. */
constexpr size_t MaxOpenAttempts = 2;

} // namespace

/** Looks for another back end once all open ones are silent for too long. */
void Exchange::checkSilence(TimePoint Now) {
  if (Sent.empty())
    return;
  const bool AllSilent = std::ranges::all_of(
      Sent, [&](const auto &One) { return isSilent(*One, Now); });
  const bool Urgent = AllSilent && isUrgent(Now);
  const bool Due = Now >= Search.NextAt || (Urgent && Search.SpareOnly);
  if (!Next && !RetryAt && AllSilent && Due && mayOpenAnother(Now)) {
    restartSearch(Search, Needs, !Urgent);
    if (canUseOtherServer(Urgent, Now))
      tryNextServer();
    else
      recordFailedSearch(Search, Now, Shared.Pool.Random);
  }
  for (const auto &One : Sent)
    pingSilentHost(*One, Now);
}

/** Says whether one more attempt may be open beside the others. A suspect runs
 * at one back end at a time; beyond the limit, an attempt whose host is
 * unresponsive makes room. */
bool Exchange::mayOpenAnother(TimePoint Now) const {
  if (!canResume() || !hasAttemptsLeft() || mustRunAlone(verdict().How))
    return false;
  return Sent.size() < MaxOpenAttempts ||
         std::ranges::any_of(Sent, [&](const auto &One) {
           return isHostUnresponsive(*One, Now);
         });
}

/** Says whether the open back ends are likely to be gone, so that the request
 * may queue at other ones. */
bool Exchange::isUrgent(TimePoint Now) const {
  const Duration Slow = silenceLimit(true);
  return std::ranges::all_of(Sent, [&](const auto &One) {
    return isHostUnresponsive(*One, Now) ||
           (Slow.count() > 0 && Now - One->LastProgress >= Slow);
  });
}

/** Says whether another back end could take the request. Only checks the retry
 * budget; the next attempt draws on it. */
bool Exchange::canUseOtherServer(bool Urgent, TimePoint Now) {
  // Without an agent that can be pinged, a silent host may as well be gone.
  const bool MayBeGone =
      Urgent || std::ranges::any_of(Sent, [](const auto &One) {
        return One->Slot.Value.empty();
      });
  const auto HasRepeats = MayBeGone ? hasRepeatsLeft : hasRepeatsForSilence;
  return chooseServer(Shared.Pool, Needs, Now).Server != nullptr &&
         HasRepeats(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now);
}

/** Ends a search that found no back end: goes on waiting for an open answer,
 * searches again later, or ends the request. */
void Exchange::endSearch(NoServerReason Why, const Failure &Told) {
  const auto Self = shared_from_this();
  if (Sent.empty() && BackEndError && !HeadSent) {
    sendWholeAnswer(std::move(*BackEndError), "back_end_error");
    return;
  }
  const UnplacedAction Action =
      unplacedAction({!Sent.empty(), HeadSent, MayHaveRun}, Why);
  if (Action == UnplacedAction::Fail || Action == UnplacedAction::Refuse) {
    if (Why == NoServerReason::Quarantined)
      endQuarantined();
    else
      endWithoutServer(Told, noServerReasonName(Why));
    return;
  }
  recordFailedSearch(Search, Shared.Clock.now(), Shared.Pool.Random);
  if (Action == UnplacedAction::Wait)
    RetryAt = Search.NextAt;
  logSearchEnd("failed", noServerReasonName(Why));
  armTimer();
}

/** Ends the preparation of another attempt, since an open one went on. */
void Exchange::abandonSearch() {
  Search.Failures = 0;
  RetryAt.reset();
  if (!Next)
    return;
  const auto Dropped = Next;
  if (Dropped->Call) { // Nothing was sent yet.
    Dropped->Call->cancel();
    --AttemptsSent;
    --AttemptsStarted;
  }
  concludeAttempt(*Dropped, AttemptEnd::NotSent);
  Next.reset();
  logSearchEnd("withdrawn", "answer_went_on");
}

/** Counts a prepared attempt as open, right before the request is sent. */
void Exchange::commitAttempt(Attempt &One) {
  const auto Kept = One.shared_from_this();
  Next.reset();
  Needs.Tried.insert(One.ServerId);
  if (Sent.size() >= MaxOpenAttempts) {
    const TimePoint Now = Shared.Clock.now();
    const auto Least =
        *std::ranges::min_element(Sent, {}, [&](const auto &Each) {
          return std::pair(!isHostUnresponsive(*Each, Now), Each->LastProgress);
        });
    dropSilentAttempt(*Least, Now);
  }
  Sent.push_back(Kept);
  if (AttemptsSent > 1) {
    Shared.Counters.add(ForwardCount::Repeats);
    if (HeadSent)
      Shared.Counters.add(ForwardCount::Resumes);
  }
  armTimer();
}

/** Resets the call of an attempt and ends the attempt. */
void Exchange::dropAttempt(Attempt &One, AttemptEnd How, AbandonReason Why) {
  One.Abandoned = Why;
  if (One.Call) {
    MayHaveRun = MayHaveRun || One.Call->hasSent();
    One.Call->cancel();
  }
  concludeAttempt(One, How);
}

/** Ends an attempt that others have taken over from. */
void Exchange::dropSilentAttempt(Attempt &One, TimePoint Now) {
  const bool Unresponsive = isHostUnresponsive(One, Now);
  Shared.Counters.add(ForwardCount::Broken);
  if (Unresponsive)
    Shared.Counters.add(ForwardCount::HostUnresponsive);
  dropAttempt(One, AttemptEnd::Broken,
              Unresponsive ? AbandonReason::HostUnresponsive
                           : AbandonReason::Silent);
}

void Exchange::dropAllAttempts() {
  auto All = Sent;
  if (Next)
    All.push_back(Next);
  for (const auto &One : All)
    dropAttempt(*One, AttemptEnd::Dropped, AbandonReason::None);
}

/** Drops all other attempts, once one has given the caller something. */
void Exchange::keepOnly(const Attempt &One) {
  abandonSearch();
  const TimePoint Now = Shared.Clock.now();
  const auto All = Sent;
  for (const auto &Other : All) {
    if (Other.get() == &One)
      continue;
    if (isSilent(*Other, Now))
      dropSilentAttempt(*Other, Now);
    else
      dropAttempt(*Other, AttemptEnd::Dropped, AbandonReason::Overtaken);
  }
}

} // namespace jacinthpond
