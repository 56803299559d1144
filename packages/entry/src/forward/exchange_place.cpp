/** @file exchange_place.cpp Requesting a slot for a request from the agent of
 * its back end. */

#include "forward/exchange.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/liveness_func.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Part of the latency target that is reserved for network latency. */
constexpr Millis NetworkMargin{20};
/** Fraction (1/N) of the latency target in which an agent must answer, beyond
 * the wait that it was allowed; the rest leaves time to ask another agent. */
constexpr int AgentAnswerFraction = 8;
/** Bounds of that time: many times the latency between regions, and long enough
 * to retransmit one packet. */
constexpr Millis MinAgentAnswerTime{25};
constexpr Millis MaxAgentAnswerTime{150};

} // namespace

/** Time left for the back end to send the first part of the response; 0 if the
 * latency target is missed already. */
Millis Exchange::firstPartTimeLeft(TimePoint Now) const {
  const Duration Left =
      ArrivalTime - CallerAge + RequestRoute->Target - Now - NetworkMargin;
  return toMillis(std::max(Left, Duration{0}));
}

/** Asks the agent of a back end for a slot there. */
void Exchange::requestSlot(Attempt &One, const ServerView &Server) {
  const TimePoint Now = Shared.Clock.now();
  SlotRequest Ask;
  Ask.SlotId.Value =
      Shared.SlotIdPrefix + std::to_string(Shared.NextSlotNumber++);
  Ask.Request.Value = logValue(Id);
  Ask.Workspace = Owner == nullptr ? WorkspaceName{} : Owner->Name;
  // A stream to resume goes first: its caller has a part of it already.
  Ask.Rank = HeadSent ? 0 : rank();
  Millis Wait = HeadSent ? RequestRoute->GapTarget : firstPartTimeLeft(Now);
  if (!HeadSent)
    Ask.FirstPartMillis = static_cast<uint64_t>(Wait.count());
  if (!HeadSent && Wait.count() == 0) { // The target is missed in any case.
    Ask.SpareOnly = true;
    Wait = Search.SpareOnly ? Millis{0}
                            : lateRequestWait(nextPartDeadline() - Now);
    reconsiderBusyServers(Search, Needs); // It need not start at once.
  }
  Ask.WaitMillis = static_cast<uint64_t>(Wait.count());
  Ask.PromptTokens = Shared.Wire.parsePromptTokens(
      fieldValue(Incoming, Shared.Wire.headerNames().TokenCounts));
  const Millis MaxBacklogToRequest = maxPrefillBacklog(Search);
  Ask.MaxPrefillBacklogMillis =
      static_cast<uint32_t>(MaxBacklogToRequest.count());
  recordSlotRequest(Search);
  One.SlotAnswerDeadline =
      Now + std::clamp(RequestRoute->Target / AgentAnswerFraction,
                       MinAgentAnswerTime, MaxAgentAnswerTime);
  if (MaxBacklogToRequest.count() == 0)
    One.SlotAnswerDeadline += Wait; // It may wait in the agent's queue.
  One.Slot = Ask.SlotId;
  One.SlotAgentLink = Server.Agent->Link;
  One.AwaitingSlot = true;
  Shared.SlotWaiters[One.Slot] = weak_from_this();
  if (const auto Notice = rateNoticeForAgent(Server, Now))
    Shared.SendToAgent(One.SlotAgentLink, *Notice);
  Shared.SendToAgent(One.SlotAgentLink, Ask);
  const bool First = recordHostProbe(Shared.Pool, One.ServerId, Now);
  if (First && (Ask.SpareOnly || MaxBacklogToRequest.count() == 0))
    Shared.SendToAgent(One.SlotAgentLink, Ping{}); // The slot may take a while.
  armTimer();
}

/** Sends the request if the agent granted the slot and the back end may still
 * be used, else tries another back end. */
void Exchange::handleSlotAnswer(const SlotAnswer &Answer) {
  const auto Self = shared_from_this();
  const TimePoint Now = Shared.Clock.now();
  if (!Session || !Next || !Next->AwaitingSlot || Answer.SlotId != Next->Slot)
    return;
  Attempt &One = *Next;
  One.AwaitingSlot = false;
  recordServerLoad(Shared.Pool, One.ServerId, Answer.Load.Busy, Now);
  recordPrefillBacklog(Shared.Pool, One.ServerId,
                       Millis(Answer.PrefillBacklogMillis));
  if (Answer.Granted && mayStillUse(Shared.Pool, One.ServerId, Needs, Now)) {
    sendTo(One, Shared.Pool.Servers.at(One.ServerId));
    return;
  }
  if (!Answer.Granted) {
    One.Slot = {}; // The agent keeps no record of a refused slot.
    const Millis Room(static_cast<int64_t>(Answer.RetryAfterMillis));
    if (Answer.Why == ErrorKind::RateLimited) {
      Shared.Counters.add(ForwardCount::RateRefused);
      recordRateRefusal(Shared.Pool, One.ServerId, Room, Now);
    } else if (Room.count() > 0) {
      ShortestRetryAfter = ShortestRetryAfter.count() == 0
                               ? Room
                               : std::min(ShortestRetryAfter, Room);
    }
  }
  tryOtherServer(Answer.Why == ErrorKind::Overloaded);
}

/** Tries another back end, since the agent did not answer in time. */
void Exchange::handleSlotTimeout() {
  markAgentSilent(Shared.Pool, Next->ServerId, Shared.Clock.now());
  tryOtherServer(false);
}

/** Gives up the slot at this back end and tries another back end. */
void Exchange::tryOtherServer(bool OnlyBusy) {
  const auto Refused = std::exchange(Next, nullptr);
  releaseSlot(*Refused, AttemptEnd::Dropped);
  recordAttemptEnd(Shared.Pool, Refused->ServerId, AttemptEnd::NotSent, {},
                   Shared.Clock.now());
  recordSlotRefusal(Search, Needs, Refused->ServerId, OnlyBusy);
  tryNextServer();
}

/** Releases the slot of an attempt, or withdraws the request for it. */
void Exchange::releaseSlot(Attempt &One, AttemptEnd How) {
  One.AwaitingSlot = false;
  if (One.Slot.Value.empty())
    return;
  Shared.SlotWaiters.erase(One.Slot);
  SlotRelease Done;
  Done.SlotId = One.Slot;
  Done.IsComplete = How == AttemptEnd::Answered;
  Done.Sent = One.Call != nullptr && One.Call->hasSent();
  if (One.FirstPartAt)
    Done.FirstPartMillis = static_cast<uint64_t>(
        toMillis(*One.FirstPartAt - One.CallStartTime).count());
  Shared.SendToAgent(One.SlotAgentLink, Done);
  One.Slot = {};
}

} // namespace jacinthpond
