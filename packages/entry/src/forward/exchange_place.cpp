/** @file exchange_place.cpp How a request gets a place at its back end. */

#include "forward/exchange.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/liveness_func.h"

#include <algorithm>

namespace jacinthpond {

namespace {

/** Part of the target that is kept for the way of answer and request. */
constexpr Millis AnswerMargin{20};
/** Part of the target in which an agent answers, beyond a wait that it was
 * allowed; another one can be asked in what is left. */
constexpr int AgentAnswerPart = 8;
/** Bounds of that time: many times the way between regions, and long enough for
 * one packet that is sent again. */
constexpr Millis LeastAnswerTime{25};
constexpr Millis MostAnswerTime{150};

} // namespace

/** Time in which the first part of the answer has to leave its back end. */
Millis Exchange::firstPartWithin(TimePoint Now) const {
  const Duration Left = Arrived - Age + From->Target - Now - AnswerMargin;
  return toMillis(std::max(Left, Duration{0}));
}

void Exchange::askPlace(const ServerView &Server) {
  const TimePoint Now = Shared.Clock.now();
  PlaceAsk Ask;
  Ask.Place.Value = Shared.PlacePrefix + std::to_string(Shared.NextPlace++);
  Ask.Request.Value = logValue(Id);
  Ask.Tenant = Owner == nullptr ? TenantName{} : Owner->Name;
  // A stream that broke off is waited for by its caller.
  Ask.Rank = HeadSent ? 0 : rank();
  Millis Wait = HeadSent ? From->GapTarget : firstPartWithin(Now);
  if (!HeadSent)
    Ask.FirstPartMillis = static_cast<uint64_t>(Wait.count());
  if (!HeadSent && Wait.count() == 0) { // Late, whatever place is given.
    Ask.Spare = true;
    Wait = lateWait(neededBy() - Now);
    takeBusyOnes(Search, Needs); // It need not begin at once.
  }
  Ask.WaitMillis = static_cast<uint64_t>(Wait.count());
  Ask.PromptTokens =
      Shared.Wire.promptTokens(fieldOf(Asked, Shared.Wire.names().TokenCounts));
  const Millis MostReading = mostReading(Search);
  Ask.MostReadingMillis = static_cast<uint32_t>(MostReading.count());
  placeAsked(Search);
  AskUntil = Now + std::clamp(From->Target / AgentAnswerPart, LeastAnswerTime,
                              MostAnswerTime);
  if (MostReading.count() == 0)
    AskUntil += Wait; // It may wait there.
  PlaceId = Ask.Place;
  PlaceLink = Server.Agent->Link;
  Asking = true;
  Shared.Waiting[PlaceId] = weak_from_this();
  if (const auto Told = rateToTell(Server, Now))
    Shared.SendToAgent(PlaceLink, *Told);
  Shared.SendToAgent(PlaceLink, Ask);
  const bool First = hostAsked(Shared.Pool, At, Now);
  if (First && (Ask.Spare || MostReading.count() == 0))
    Shared.SendToAgent(PlaceLink, Ping{}); // The place may take a while.
  armTimer();
}

void Exchange::placeAnswered(const PlaceAnswer &Answer) {
  const auto Self = shared_from_this();
  const TimePoint Now = Shared.Clock.now();
  if (!Session || !Asking || Answer.Place != PlaceId)
    return;
  Asking = false;
  loadTold(Shared.Pool, At, Answer.Load.Busy, Now);
  readingTold(Shared.Pool, At, Millis(Answer.ReadingMillis));
  if (Answer.Given && mayStillUse(Shared.Pool, At, Needs, Now)) {
    sendTo(Shared.Pool.Servers.at(At));
    return;
  }
  if (!Answer.Given) {
    PlaceId = {}; // The agent has forgotten it.
    const Millis Room(static_cast<int64_t>(Answer.RetryAfterMillis));
    if (Answer.Why == ErrorKind::RateLimited) {
      Shared.Counters.add(ForwardCount::RateRefused);
      rateRefused(Shared.Pool, At, Room, Now);
    } else if (Room.count() > 0) {
      RoomIn = RoomIn.count() == 0 ? Room : std::min(RoomIn, Room);
    }
  }
  askElsewhere(Answer.Why == ErrorKind::Overloaded);
}

void Exchange::agentDidNotAnswer() {
  agentSilent(Shared.Pool, At, Shared.Clock.now());
  askElsewhere(false);
}

/** Gives up the place at this back end and looks for another one. */
void Exchange::askElsewhere(bool OnlyBusy) {
  placeOver(AttemptEnd::Dropped);
  attemptClosed(Shared.Pool, At, AttemptEnd::NotSent, {}, Shared.Clock.now());
  placeRefused(Search, Needs, At, OnlyBusy);
  tryNext();
}

/** Gives a place back. */
void Exchange::placeOver(AttemptEnd How) {
  Asking = false;
  if (PlaceId.Value.empty())
    return;
  Shared.Waiting.erase(PlaceId);
  PlaceDone Done;
  Done.Place = PlaceId;
  Done.Whole = How == AttemptEnd::Answered;
  Done.Sent = Call != nullptr && Call->sent();
  if (FirstByte && *FirstByte >= CallBegan)
    Done.FirstPartMillis =
        static_cast<uint64_t>(toMillis(*FirstByte - CallBegan).count());
  Shared.SendToAgent(PlaceLink, Done);
  PlaceId = {};
}

} // namespace jacinthpond
