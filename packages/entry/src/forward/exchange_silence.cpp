/** @file exchange_silence.cpp What is done while nothing comes: how long an
 * answer is waited for, whether the host of the back end runs, and until when
 * the caller has to hear something.
 */

#include "forward/exchange.h"

#include "forwarding/caller_wait_func.h"
#include "forwarding/liveness_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Silence, in targets of the route, after which a request that may be repeated
 * goes elsewhere. The shorter one is for a back end of which nothing at all is
 * heard, the longer one for one that answers others: it is only slow.
 */
constexpr double SilentTargets = 2.0;
constexpr double SlowTargets = 4.5;
/** The same between two events, in wanted gaps. */
constexpr double SilentGaps = 3.0;
constexpr double SlowGaps = 6.0;
/** Time between two looks at a back end that is silent for long. */
constexpr Millis SoonestLook{20};
constexpr Millis LookAgain{50};
/** Delay of a timer by which this process got no processor. */
constexpr Millis OwnStall{100};

} // namespace

void Exchange::armTimer() {
  const TimePoint Now = Shared.Clock.now();
  TimePoint Next = neededBy();
  if (HeldForView)
    Next = std::min(Next, Shared.Fleet.ReadyBy);
  if (Asking)
    Next = std::min(Next, AskUntil);
  if (Call && canRepeat())
    Next = std::min(Next, nextLook(Now));
  const auto Still = standsStillFrom(Shared.Pool, At);
  if ((Asking || Call) && Still && *Still > Now)
    Next = std::min(Next, *Still);
  if (const auto Begin = beginLimit())
    Next = std::min(Next, std::max(*Begin, Now));
  LookAt = std::min(Next, std::max(neededBy(), Now));
  Timer.expires_after(LookAt - Now);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && Self->Session)
          Self->timeCame();
      });
}

/** Gives when to look next whether an answer still comes. */
TimePoint Exchange::nextLook(TimePoint Now) const {
  const Duration Silent = patience(false);
  // Later looks follow at the same distance until the slow limit is over.
  TimePoint Next = std::max(LastProgress + Silent, Now + Silent / 4);
  if (!PlaceId.Value.empty()) // Its agent can be asked.
    Next = std::min(
        Next, std::max(LastProgress + quietBeforeQuestion(), Now + LookAgain));
  return std::max(Next, Now + SoonestLook);
}

/** Gives the silence after which the host is asked for a sign of life. */
Duration Exchange::quietBeforeQuestion() const {
  if (HeadSent && From->GapTarget.count() > 0)
    return From->GapTarget;
  return std::min<Duration>(
      From->Target, usualFirstPart(Shared.Pool, Needs.Service, From->Target));
}

/** Asks a host whose back end has been silent whether it runs. */
void Exchange::askForSign(TimePoint Now) {
  const bool Quiet = Now - LastProgress >= quietBeforeQuestion();
  if (Quiet && !PlaceId.Value.empty() && hostAsked(Shared.Pool, At, Now))
    Shared.SendToAgent(PlaceLink, Ping{});
}

/** Answers may lie here unread when this process got no processor. */
void Exchange::noteOwnStall(TimePoint Now) {
  if (Now - LookAt > OwnStall)
    forgetQuestion(Shared.Pool, At);
}

bool Exchange::hostStandsStill(TimePoint Now) const {
  const auto Still = standsStillFrom(Shared.Pool, At);
  return Still && Now >= *Still;
}

void Exchange::timeCame() {
  const TimePoint Now = Shared.Clock.now();
  noteOwnStall(Now);
  if (HeldForView) { // It did not come in time: refused.
    viewCame();
    return;
  }
  if (Now >= neededBy()) {
    limitCame();
    return;
  }
  const auto Begin = beginLimit();
  const bool TooLate = Begin && Now >= *Begin;
  if (Asking && (Now >= AskUntil || hostStandsStill(Now)))
    agentDidNotAnswer();
  else if (TooLate ||
           (Call && canRepeat() && silentTooLong(Now) && couldGoElsewhere(Now)))
    answerBroke();
  else if (Call && canRepeat())
    askForSign(Now);
  if (Session)
    armTimer();
}

/** Gives until when the caller has to hear something. */
TimePoint Exchange::neededBy() const {
  return From == nullptr ? Limit : answerNeededBy(*From, Limit, LastGiven);
}

/**
 * Gives until when the back end may begin; nothing: there is no such time. One
 * that stands still has the request in its sockets, and on waking begins it on
 * the weights that it had, however long ago they were replaced. A connection
 * that is closed by then shows it that nobody waits. Only a stream says that it
 * has begun before it has ended.
 */
std::optional<TimePoint> Exchange::beginLimit() const {
  if (!Call || Mode != AnswerMode::Waiting || From->Kind != RouteKind::Stream)
    return std::nullopt;
  return mayBeginUntil(Shared.Pool, At, SentOn);
}

/**
 * Gives how long a back end may be silent, before the first part of an answer
 * or between two of them; 0 where the route names no target.
 */
Duration Exchange::patience(bool Alive) const {
  const double Targets = Alive ? SlowTargets : SilentTargets;
  const double Gaps = Alive ? SlowGaps : SilentGaps;
  return std::chrono::duration_cast<Duration>(
      HeadSent ? From->GapTarget * Gaps : From->Target * Targets);
}

/** Says whether a back end has been silent for longer than it may be. */
bool Exchange::silentTooLong(TimePoint Now) const {
  if (!attemptsLeft())
    return false;
  const Duration Quiet = Now - LastProgress;
  if (hostStandsStill(Now) && Quiet >= quietBeforeQuestion())
    return true;
  const Duration ServerQuiet =
      Now - std::max(LastProgress, lastHeard(Shared.Pool, At));
  return patience(false).count() > 0 &&
         (ServerQuiet >= patience(false) || Quiet >= patience(true));
}

void Exchange::limitCame() {
  if (MayHaveRun || Sent > 0)
    endWith({ErrorKind::Deadline, "time is up", {}}, Ran::Unknown, "time_up");
  else
    endWith({ErrorKind::Overloaded, "time is up", {}}, Ran::No, "time_up");
}

} // namespace jacinthpond
