/** @file exchange_silence.cpp Timeouts of a request: how long to wait for a
 * silent back end, whether its host is responsive, and by when the caller must
 * get something.
 */

#include "forward/exchange.h"

#include "forwarding/caller_wait_func.h"
#include "forwarding/liveness_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/**
 * Silence before the first part of a response, in latency targets of the route,
 * after which a repeatable request is tried at another back end. The shorter
 * limit applies to a back end that sends nothing at all, the longer one to a
 * slow one, which still answers other requests.
 */
constexpr double UnresponsiveTargets = 2.0;
constexpr double SlowTargets = 4.5;
/** The same between two events of a stream, in target gaps of the route. */
constexpr double UnresponsiveGaps = 3.0;
constexpr double SlowGaps = 6.0;
/** Minimum delay before a back end that stays silent is checked again. */
constexpr Millis MinCheckDelay{20};
/** Period of these checks while an agent that can be pinged holds the slot. */
constexpr Millis SlotCheckPeriod{50};
/** Timer delay beyond which this process counts as having been stalled. */
constexpr Millis ProcessStallThreshold{100};

} // namespace

/** Sets the timer to the next time at which anything may be due. */
void Exchange::armTimer() {
  const TimePoint Now = Shared.Clock.now();
  TimePoint Next = nextPartDeadline();
  if (WaitingForReadiness)
    Next = std::min(Next, Shared.Fleet.ReadyBy);
  if (RetryAt)
    Next = std::min(Next, *RetryAt);
  if (AwaitingSlot)
    Next = std::min(Next, SlotAnswerDeadline);
  if (Call && isRepeatable())
    Next = std::min(Next, nextCheckTime(Now));
  const auto UnresponsiveFrom = unresponsiveFrom(Shared.Pool, ServerId);
  if ((AwaitingSlot || Call) && UnresponsiveFrom && *UnresponsiveFrom > Now)
    Next = std::min(Next, *UnresponsiveFrom);
  if (const auto StartDeadline = attemptStartDeadline())
    Next = std::min(Next, std::max(*StartDeadline, Now));
  TimerDue = std::min(Next, std::max(nextPartDeadline(), Now));
  Timer.expires_after(TimerDue - Now);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && Self->Session)
          Self->handleTimer();
      });
}

/** Time of the next check whether the response still makes progress. */
TimePoint Exchange::nextCheckTime(TimePoint Now) const {
  const Duration Silent = silenceLimit(false);
  // Further checks follow at a quarter of that time, up to the slow limit.
  TimePoint Next = std::max(LastProgress + Silent, Now + Silent / 4);
  if (!CurrentSlot.Value.empty()) // Its agent can be pinged.
    Next = std::min(Next, std::max(LastProgress + silenceBeforePing(),
                                   Now + SlotCheckPeriod));
  return std::max(Next, Now + MinCheckDelay);
}

/** Silence after which the host of the back end is pinged. */
Duration Exchange::silenceBeforePing() const {
  if (HeadSent && RequestRoute->GapTarget.count() > 0)
    return RequestRoute->GapTarget;
  return std::min<Duration>(
      RequestRoute->Target,
      usualFirstPartTime(Shared.Pool, Needs.Service, RequestRoute->Target));
}

/** Pings the host of a back end that has been silent for a while. */
void Exchange::pingSilentHost(TimePoint Now) {
  const bool Quiet = Now - LastProgress >= silenceBeforePing();
  if (Quiet && !CurrentSlot.Value.empty() &&
      recordHostProbe(Shared.Pool, ServerId, Now))
    Shared.SendToAgent(SlotAgentLink, Ping{});
}

/** Discards a pending ping after this process was stalled: the host's reply may
 * have arrived without being read. */
void Exchange::discardProbeAfterStall(TimePoint Now) {
  if (Now - TimerDue > ProcessStallThreshold)
    discardProbe(Shared.Pool, ServerId);
}

/** Says whether the host of the current back end left a ping unanswered for too
 * long. */
bool Exchange::isServerHostUnresponsive(TimePoint Now) const {
  const auto UnresponsiveFrom = unresponsiveFrom(Shared.Pool, ServerId);
  return UnresponsiveFrom && Now >= *UnresponsiveFrom;
}

/** Handles whatever is due: a deadline, a slot that took too long or a silent
 * back end. */
void Exchange::handleTimer() {
  const TimePoint Now = Shared.Clock.now();
  discardProbeAfterStall(Now);
  if (WaitingForReadiness) { // Not ready in time: the request is refused.
    handleEntryReady();
    return;
  }
  if (Now >= nextPartDeadline()) {
    handleDeadline();
    return;
  }
  if (RetryAt && Now >= *RetryAt) {
    RetryAt.reset();
    tryNextServer();
    return;
  }
  const auto StartDeadline = attemptStartDeadline();
  const bool TooLate = StartDeadline && Now >= *StartDeadline;
  if (AwaitingSlot &&
      (Now >= SlotAnswerDeadline || isServerHostUnresponsive(Now)))
    handleSlotTimeout();
  else if (TooLate)
    abandonAnswer(AbandonReason::StartTooLate);
  else if (Call && isRepeatable() && isSilentTooLong(Now) &&
           canUseOtherServer(Now))
    abandonAnswer(isServerHostUnresponsive(Now)
                      ? AbandonReason::HostUnresponsive
                      : AbandonReason::Silent);
  else if (Call && isRepeatable())
    pingSilentHost(Now);
  if (Session)
    armTimer();
}

/** Time by which the caller must be sent the next part of the response. */
TimePoint Exchange::nextPartDeadline() const {
  return RequestRoute == nullptr
             ? RequestDeadline
             : answerDeadline(*RequestRoute, RequestDeadline, LastSentToCaller);
}

/**
 * Time until which the back end may start the request; nothing: no limit. An
 * unresponsive host has the request in its sockets, and starts it when it
 * resumes, on weights that may have been replaced long ago. Closing the
 * connection by then tells it that nobody waits. Only for streams: other
 * responses don't show that the request started until they are complete.
 */
std::optional<TimePoint> Exchange::attemptStartDeadline() const {
  if (!Call || Mode != AnswerMode::Waiting ||
      RequestRoute->Kind != RouteKind::Stream)
    return std::nullopt;
  return latestStartTime(Shared.Pool, ServerId, WeightsWhenSent);
}

/**
 * Longest silence of a back end, before the first part of a response or between
 * two events; 0 if the route has no target.
 * @param Alive Whether the back end answers other requests.
 */
Duration Exchange::silenceLimit(bool Alive) const {
  const double Targets = Alive ? SlowTargets : UnresponsiveTargets;
  const double Gaps = Alive ? SlowGaps : UnresponsiveGaps;
  return std::chrono::duration_cast<Duration>(
      HeadSent ? RequestRoute->GapTarget * Gaps
               : RequestRoute->Target * Targets);
}

/** Says whether the back end has been silent for so long that the request
 * should be tried at another one. */
bool Exchange::isSilentTooLong(TimePoint Now) const {
  if (!hasAttemptsLeft())
    return false;
  const Duration Quiet = Now - LastProgress;
  if (isServerHostUnresponsive(Now) && Quiet >= silenceBeforePing())
    return true;
  const Duration ServerQuiet =
      Now - std::max(LastProgress, lastActivityTime(Shared.Pool, ServerId));
  return silenceLimit(false).count() > 0 &&
         (ServerQuiet >= silenceLimit(false) || Quiet >= silenceLimit(true));
}

/** Ends the request because its time is up. */
void Exchange::handleDeadline() {
  if (MayHaveRun || AttemptsSent > 0)
    endWithError({ErrorKind::Deadline, "time is up", {}}, Ran::Unknown,
                 "time_up");
  else
    endWithError({ErrorKind::Overloaded, "time is up", {}}, Ran::No, "time_up");
}

} // namespace jacinthpond
