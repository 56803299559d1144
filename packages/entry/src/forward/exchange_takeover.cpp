/** @file exchange_takeover.cpp Which attempts of a request are open, and how
 * they end. */

#include "forward/exchange.h"

#include "forwarding/no_server_func.h"

namespace jacinthpond {

/** Gives up an open answer that is silent for too long, if another back end may
 * be asked. */
void Exchange::checkSilence(TimePoint Now) {
  if (Sent.empty())
    return;
  const auto One = Sent.front();
  if (hasAttemptsLeft() && isSilent(*One, Now) && canUseOtherServer(true, Now))
    abandonAnswer(*One, isHostUnresponsive(*One, Now)
                            ? AbandonReason::HostUnresponsive
                            : AbandonReason::Silent);
  else
    pingSilentHost(*One, Now);
}

/** Says whether another back end could take the request. Only checks the retry
 * budget; the next attempt draws on it. */
bool Exchange::canUseOtherServer(bool Urgent, TimePoint Now) {
  const auto HasRepeats = Urgent ? hasRepeatsLeft : hasRepeatsForSilence;
  return chooseServer(Shared.Pool, Needs, Now).Server != nullptr &&
         HasRepeats(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now);
}

/** Ends a request for which no back end was found. */
void Exchange::endSearch(NoServerReason Why, const Failure &Told) {
  const auto Self = shared_from_this();
  if (Why == NoServerReason::Quarantined)
    endQuarantined();
  else
    endWithoutServer(Told, noServerReasonName(Why));
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
}

/** Counts a prepared attempt as open, right before the request is sent. */
void Exchange::commitAttempt(Attempt &One) {
  const auto Kept = One.shared_from_this();
  Next.reset();
  Needs.Tried.insert(One.ServerId);
  Sent.push_back(Kept);
  armTimer();
}

/** Resets the call of an attempt and ends the attempt. */
void Exchange::dropAttempt(Attempt &One, AttemptEnd How, AbandonReason Why) {
  One.Abandoned = Why;
  if (One.Call)
    One.Call->cancel();
  concludeAttempt(One, How);
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
    const bool Unresponsive = isHostUnresponsive(*Other, Now);
    if (!isSilent(*Other, Now)) {
      dropAttempt(*Other, AttemptEnd::Dropped, AbandonReason::Overtaken);
      continue;
    }
    Shared.Counters.add(ForwardCount::Broken);
    if (Unresponsive)
      Shared.Counters.add(ForwardCount::HostUnresponsive);
    dropAttempt(*Other, AttemptEnd::Broken,
                Unresponsive ? AbandonReason::HostUnresponsive
                             : AbandonReason::Silent);
  }
}

} // namespace jacinthpond
