/** @file exchange_silence.cpp Timeouts of a request: how long to wait for a
 * silent back end, whether its host is responsive, and by when the caller must
 * get something.
 */

#include "forward/exchange.h"

#include "forwarding/caller_wait_func.h"
#include "forwarding/liveness_func.h"
#include "forwarding/place_search_func.h"

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
  TimePoint Due = nextPartDeadline();
  if (WaitingForReadiness)
    Due = std::min(Due, Shared.Fleet.ReadyBy);
  if (RetryAt)
    Due = std::min(Due, *RetryAt);
  const auto ConsiderHost = [&](const Attempt &One) {
    const auto From = unresponsiveFrom(Shared.Pool, One.ServerId);
    if (From && *From > Now)
      Due = std::min(Due, *From);
  };
  if (Next && Next->AwaitingSlot) {
    Due = std::min(Due, Next->SlotAnswerDeadline);
    ConsiderHost(*Next);
  }
  if (!Sent.empty() && isRepeatable())
    Due = std::min(Due, nextCheckTime(Now));
  for (const auto &One : Sent) {
    ConsiderHost(*One);
    if (const auto StartDeadline = attemptStartDeadline(*One))
      Due = std::min(Due, std::max(*StartDeadline, Now));
  }
  TimerDue = std::min(Due, std::max(nextPartDeadline(), Now));
  Timer.expires_after(TimerDue - Now);
  Timer.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &ec) {
        if (!ec && Self->Session)
          Self->handleTimer();
      });
}

/** Time of the next check whether any open answer still makes progress. */
TimePoint Exchange::nextCheckTime(TimePoint Now) const {
  const Duration Silent = silenceLimit(false);
  const auto Freshest = *std::ranges::max_element(
      Sent, {}, [](const auto &One) { return One->LastProgress; });
  // Further checks follow at a quarter of that time, up to the slow limit.
  TimePoint Check = std::max(Freshest->LastProgress + Silent, Now + Silent / 4);
  if (Search.NextAt > Now) // A search failed and is due again then.
    Check = std::min(Check, Search.NextAt);
  for (const auto &One : Sent)
    if (!One->Slot.Value.empty()) // Its agent can be pinged.
      Check = std::min(Check, std::max(One->LastProgress + silenceBeforePing(),
                                       Now + SlotCheckPeriod));
  return std::max(Check, Now + MinCheckDelay);
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
void Exchange::pingSilentHost(const Attempt &One, TimePoint Now) {
  const bool Quiet = Now - One.LastProgress >= silenceBeforePing();
  if (Quiet && !One.Slot.Value.empty() &&
      recordHostProbe(Shared.Pool, One.ServerId, Now))
    Shared.SendToAgent(One.SlotAgentLink, Ping{});
}

/** Discards pending pings after this process was stalled: the replies of the
 * hosts may have arrived without being read. */
void Exchange::discardProbesAfterStall(TimePoint Now) {
  if (Now - TimerDue <= ProcessStallThreshold)
    return;
  if (Next)
    discardProbe(Shared.Pool, Next->ServerId);
  for (const auto &One : Sent)
    discardProbe(Shared.Pool, One->ServerId);
}

/** Says whether the host of a back end left a ping unanswered for too long. */
bool Exchange::isHostUnresponsive(const Attempt &One, TimePoint Now) const {
  const auto UnresponsiveFrom = unresponsiveFrom(Shared.Pool, One.ServerId);
  return UnresponsiveFrom && Now >= *UnresponsiveFrom;
}

/** Handles whatever is due: a deadline, a slot that took too long or a silent
 * back end. */
void Exchange::handleTimer() {
  const auto Self = shared_from_this();
  const TimePoint Now = Shared.Clock.now();
  discardProbesAfterStall(Now);
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
    if (Search.Failures > 0 && Sent.empty()) {
      restartSearch(Search, Needs, false);
      Needs.Tried.clear(); // One that broke off may be well again.
    }
    tryNextServer();
  }
  if (Session && Next && Next->AwaitingSlot &&
      (Now >= Next->SlotAnswerDeadline || isHostUnresponsive(*Next, Now)))
    handleSlotTimeout();
  abandonLateStarts(Now);
  if (Session && isRepeatable())
    checkSilence(Now);
  if (Session)
    armTimer();
}

/** Cancels the calls that may not begin any more on the weights there. */
void Exchange::abandonLateStarts(TimePoint Now) {
  const auto All = Sent;
  for (const auto &One : All) {
    const auto StartDeadline = attemptStartDeadline(*One);
    if (Session && StartDeadline && Now >= *StartDeadline)
      abandonAnswer(*One, AbandonReason::StartTooLate);
  }
}

/**
 * Time by which the caller must be sent the next part of the response. A stream
 * in progress at a responsive host is left to its caller's patience: the back
 * end may go on at any moment.
 */
TimePoint Exchange::nextPartDeadline() const {
  if (RequestRoute == nullptr || (HeadSent && hasResponsiveHost()))
    return RequestDeadline;
  return answerDeadline(*RequestRoute, RequestDeadline, LastSentToCaller);
}

/** Says whether the host of an open answer is responsive. */
bool Exchange::hasResponsiveHost() const {
  const TimePoint Now = Shared.Clock.now();
  return std::ranges::any_of(
      Sent, [&](const auto &One) { return !isHostUnresponsive(*One, Now); });
}

/**
 * Time until which the back end may start the request; nothing: no limit. An
 * unresponsive host has the request in its sockets, and starts it when it
 * resumes, on weights that may have been replaced long ago. Closing the
 * connection by then tells it that nobody waits. Only for streams: other
 * responses don't show that the request started until they are complete.
 */
std::optional<TimePoint>
Exchange::attemptStartDeadline(const Attempt &One) const {
  if (!One.Call || One.Mode != AnswerMode::Waiting ||
      RequestRoute->Kind != RouteKind::Stream)
    return std::nullopt;
  return latestStartTime(Shared.Pool, One.ServerId, One.WeightsWhenSent);
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

/** Says whether an open answer has been silent for so long that another back
 * end should be looked for. */
bool Exchange::isSilent(const Attempt &One, TimePoint Now) const {
  const Duration Quiet = Now - One.LastProgress;
  if (isHostUnresponsive(One, Now) && Quiet >= silenceBeforePing())
    return true;
  const Duration ServerQuiet =
      Now -
      std::max(One.LastProgress, lastActivityTime(Shared.Pool, One.ServerId));
  return silenceLimit(false).count() > 0 &&
         (ServerQuiet >= silenceLimit(false) || Quiet >= silenceLimit(true));
}

/** Ends the request because its time is up. */
void Exchange::handleDeadline() {
  const auto Self = shared_from_this();
  if (BackEndError && !HeadSent)
    sendWholeAnswer(std::move(*BackEndError), "back_end_error");
  else if (MayHaveRun || !Sent.empty())
    endWithError({ErrorKind::Deadline, "time is up", {}}, Ran::Unknown,
                 "time_up");
  else
    endWithError({ErrorKind::Overloaded, "time is up", {}}, Ran::No, "time_up");
}

} // namespace jacinthpond
