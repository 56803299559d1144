/** @file exchange_answer.cpp What is done with the answer of a back end. */

#include "forward/exchange.h"

#include "forward/forward_headers.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "log/log.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Bytes that may wait for a caller that reads slowly. */
constexpr size_t MaxBacklog = 1 << 20;
/** Largest answer that is held until it is whole. */
constexpr size_t MaxWholeAnswer = 16 << 20;

} // namespace

/**
 * Takes the rate limit that a back end names. Only a success without one says
 * that there is none: refusals and failures may come from a part of the back
 * end that never names it.
 */
void Exchange::noteRate(const ResponseHead &Came, bool Success) {
  const auto &Names = Shared.Wire.names().RateLimits;
  const auto it = std::ranges::find_if(
      Names, [&](const std::string &Name) { return Came.count(Name) > 0; });
  if (it == Names.end()) {
    if (Success && isRateLimited(Shared.Pool, At))
      takeRate(std::nullopt, "");
    return;
  }
  const std::string_view Value = fieldOf(Came, *it);
  const size_t Times = Came.count(*it);
  const auto PerSecond = Shared.Wire.rateLimitOf(Value);
  if (PerSecond && Times == 1)
    takeRate(PerSecond, *it + ":" + std::string(Value));
  else
    logLine(LogPart::Requests, LogLevel::Warn,
            "event=rate_limit_unreadable id=" + logValue(Id) +
                " server=" + At.Value + " field=" + logValue(*it) + " value=" +
                logValue(Value) + " times=" + std::to_string(Times));
}

/** Tells a limit, or its end, to the agent that gives the places there, and
 * where there is none to the entries that split the limit. */
void Exchange::takeRate(std::optional<double> PerSecond,
                        std::string_view Field) {
  const TimePoint Now = Shared.Clock.now();
  const RateChange Change =
      rateHeard(Shared.Pool, At, PerSecond, CallBegan, Now);
  logRate(Change, Field);
  const auto it = Shared.Pool.Servers.find(At);
  if (it == Shared.Pool.Servers.end())
    return;
  const Millis Age = PerSecond ? Millis(0) : toMillis(Now - CallBegan);
  const RateHeard Told{PlaceId, At, PerSecond,
                       static_cast<uint64_t>(Age.count())};
  if (hasAgent(it->second))
    Shared.SendToAgent(it->second.Agent->Link, Told);
  else if (Change != RateChange::None)
    Shared.SendToEntries(Told);
}

void Exchange::callHead(const ResponseHead &Came) {
  const TimePoint Now = Shared.Clock.now();
  const HeaderNames &Names = Shared.Wire.names();
  LastProgress = Now;
  serverHeard(Shared.Pool, At, Now);
  if (const auto Busy = Shared.Wire.busyOf(fieldOf(Came, Names.Load)))
    loadTold(Shared.Pool, At, *Busy, Now);
  const unsigned Status = Came.result_int();
  const bool Misdirected = Status == 421; // Another one may hold the address.
  const bool NotRun = !fieldOf(Came, Names.NotExecuted).empty();
  const bool Success = Status >= 200 && Status < 300;
  const bool Signed = !fieldOf(Came, Names.Signature).empty();
  if (!Misdirected)
    noteRate(Came, Success && Signed);
  if (Misdirected || NotRun) {
    if (Misdirected) {
      serverMisjudged(Shared.Pool, At, Now);
      Shared.Counters.add(ForwardCount::Misjudged);
    }
    Mode = AnswerMode::Refusal;
    return;
  }
  const bool Foreign =
      (Success && !Signed) || !fieldOf(Came, "Content-Encoding").empty();
  const bool OtherWeights = HeadSent && fieldOf(Came, Names.WeightVersion) !=
                                            fieldOf(Head, Names.WeightVersion);
  if (Foreign || OtherWeights || (HeadSent && !Success)) {
    answerBroke();
    return;
  }
  if (!HeadSent)
    Head = Came;
  const bool IsEvents =
      fieldOf(Came, "Content-Type").starts_with("text/event-stream");
  Mode = Success && IsEvents ? AnswerMode::Events : AnswerMode::Whole;
}

void Exchange::callBody(std::string Bytes) {
  LastProgress = Shared.Clock.now();
  serverHeard(Shared.Pool, At, LastProgress);
  if (Mode == AnswerMode::Refusal)
    return;
  if (Mode == AnswerMode::Whole) {
    Body += Bytes;
    if (Body.size() > MaxWholeAnswer)
      answerBroke();
    return;
  }
  const auto Self = shared_from_this();
  std::string Whole;
  const EventVerdict Verdict = putEvents(Events, Bytes, Whole);
  if (!Whole.empty()) {
    if (!HeadSent)
      beginEvents();
    Session->sendBody(Whole);
    LastGiven = LastProgress;
  }
  if (Verdict != EventVerdict::Good)
    answerBroke();
  else if (Session && Session->backlog() > MaxBacklog)
    endWith({ErrorKind::PartialAnswer, "the caller does not read", {}},
            Ran::Yes, "caller_slow");
}

void Exchange::beginEvents() {
  HeadSent = true;
  Needs.Weights = weightsAt(Shared.Pool, At);
  FirstByte = Shared.Clock.now();
  firstPartCame(Shared.Pool, Needs.Service, *FirstByte - CallBegan);
  CallerAnswerHead Out;
  Out.result(Head.result());
  copyAnswerHeaders(Head, Out);
  Session->beginBody(std::move(Out));
}

void Exchange::callEnded() {
  const auto Self = shared_from_this();
  if (Mode == AnswerMode::Refusal) {
    Shared.Counters.add(ForwardCount::NotExecuted);
    attemptOver(AttemptEnd::Refused);
    Needs.Tried.insert(At);
    tryNext();
    return;
  }
  if (Mode == AnswerMode::Events) {
    if (!Events.Partial.empty()) {
      answerBroke();
      return;
    }
    attemptOver(AttemptEnd::Answered);
    if (!HeadSent)
      beginEvents();
    logEnd("answered", Head.result_int(), "stream");
    Shared.Counters.add(ForwardCount::Answered);
    const auto To = Session;
    finish();
    To->endBody();
    return;
  }
  deliverWhole();
}

void Exchange::deliverWhole() {
  const bool Failed = Head.result_int() >= 500;
  attemptOver(Failed ? AttemptEnd::Error : AttemptEnd::Answered);
  const TimePoint Now = Shared.Clock.now();
  MayHaveRun = MayHaveRun || Failed;
  // A back end's error on work that may be repeated is often its own: another
  // one answers. When there is none the caller gets the error as it came.
  if (Failed && canRepeat() && attemptsLeft() &&
      Limit - Now > Millis(From->Target.count() / 4) && couldGoElsewhere(Now)) {
    Needs.Tried.insert(At);
    tryNext();
    return;
  }
  FirstByte = Now;
  CallerAnswer Out;
  Out.result(Head.result());
  copyAnswerHeaders(Head, Out);
  Out.body() = std::move(Body);
  logEnd("answered", Head.result_int(), Failed ? "back_end_error" : "whole");
  Shared.Counters.add(ForwardCount::Answered);
  const auto To = Session;
  finish();
  To->answer(std::move(Out));
}

/** Says whether another back end would take the request. The budget is asked
 * again when the attempt is made; here it is only felt whether there is any, so
 * that what is in hand is not thrown away. */
bool Exchange::couldGoElsewhere(TimePoint Now) {
  ServerNeeds Other = Needs;
  Other.Tried.insert(At);
  return chooseServer(Shared.Pool, Other, Now).Server != nullptr &&
         repeatsLeft(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now);
}

/** What came cannot be used, or stopped coming. */
void Exchange::answerBroke() {
  if (hostStandsStill(Shared.Clock.now()))
    Shared.Counters.add(ForwardCount::StoodStill);
  if (Call)
    Call->cancel();
  callFailed(CallFailure::Broken);
}

void Exchange::callFailed(CallFailure Why) {
  const auto Self = shared_from_this();
  if (Why == CallFailure::Unreached) {
    Shared.Counters.add(ForwardCount::Unreached);
    attemptOver(AttemptEnd::Unreached);
    --Sent; // Nothing reached a back end.
    Needs.Tried.insert(At);
    tryNext();
    return;
  }
  if (Why == CallFailure::Stale && canRepeat()) {
    // The other end closed it while it was idle: no fault of the back end.
    attemptOver(AttemptEnd::Dropped);
    --Sent;
    NewConnection = true;
    tryNext();
    return;
  }
  Shared.Counters.add(ForwardCount::Broken);
  attemptOver(AttemptEnd::Broken);
  MayHaveRun = true;
  Needs.Tried.insert(At);
  const bool Continuable = !HeadSent || Events.LastId;
  if (canRepeat() && Continuable) {
    tryNext();
    return;
  }
  endWith({ErrorKind::OutcomeUnknown, "the answer broke off", {}}, Ran::Unknown,
          "back_end_broke");
}

} // namespace jacinthpond
