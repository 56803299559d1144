/** @file exchange_answer.cpp Handling the response of a back end. */

#include "forward/exchange.h"

#include "admission/part_history_func.h"
#include "base/retry_after_func.h"
#include "forward/forward_headers.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forward/suspects.h"
#include "forwarding/server_notice_func.h"
#include "log/log.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;

namespace {

/** Maximum bytes buffered for a caller that reads slowly. */
constexpr size_t MaxCallerBacklogBytes = 1 << 20;
/** Maximum size of a response that is buffered until it is complete. */
constexpr size_t MaxWholeAnswerBytes = 16 << 20;

} // namespace

/**
 * Reads the rate limit headers of a response. The limit counts as lifted only
 * when a successful response has none: refusals and failures may come from a
 * part of the back end that never sends these headers.
 */
void Exchange::readRateLimit(const ResponseHead &Received, bool Success) {
  const std::string *Name =
      usedHeaderName(Received, Shared.Wire.headerNames().RateLimits);
  if (Name == nullptr) {
    if (Success && isRateLimited(Shared.Pool, ServerId))
      applyRateLimit(std::nullopt, "");
    return;
  }
  const std::string_view Value = fieldValue(Received, *Name);
  const size_t Times = Received.count(*Name);
  const auto PerSecond = Shared.Wire.parseRateLimit(Value);
  if (PerSecond && Times == 1)
    applyRateLimit(PerSecond, *Name + ":" + std::string(Value));
  else
    logLine(LogPart::Requests, LogLevel::Warn,
            "event=rate_limit_unreadable id=" + logValue(Id) +
                " server=" + ServerId.Value + " field=" + logValue(*Name) +
                " value=" + logValue(Value) +
                " times=" + std::to_string(Times));
}

/** Records a back end's rate limit, or that it has none. Notifies the agent
 * that grants its slots; without an agent, the entries that share the limit. */
void Exchange::applyRateLimit(std::optional<double> PerSecond,
                              std::string_view Field) {
  const TimePoint Now = Shared.Clock.now();
  const RateChange Change =
      recordAnswerRate(Shared.Pool, ServerId, PerSecond, CallStartTime, Now);
  logRateChange(Change, Field);
  const auto it = Shared.Pool.Servers.find(ServerId);
  if (it == Shared.Pool.Servers.end())
    return;
  const Millis Age = PerSecond ? Millis(0) : toMillis(Now - CallStartTime);
  const RateLimitNotice Notice{CurrentSlot, ServerId, PerSecond,
                               static_cast<uint64_t>(Age.count())};
  if (hasAgent(it->second))
    Shared.SendToAgent(it->second.Agent->Link, Notice);
  else if (Change != RateChange::None)
    Shared.SendToEntries(Notice);
}

/** Says whether the back end may still get the request. It may have asked for a
 * pause while the connection was being opened, or copies of the request may
 * have crashed other back ends. */
bool Exchange::maySendRequest() {
  const Digest Before = Needs.Suspect;
  if (checkQuarantine())
    return false;
  // It has become a suspect, whose back end is chosen otherwise.
  if (Needs.Suspect != Before && !Needs.Suspect.Value.empty())
    return false;
  return mayStillUse(Shared.Pool, ServerId, Needs, Shared.Clock.now());
}

/** Records what the back end announces in the headers of a response. */
void Exchange::handleNotices(const ResponseHead &Received) {
  logServerNotice(Received);
  readLeaving(Received);
  if (Received.result() == http::status::service_unavailable)
    readPause(Received);
}

/** Records that the answering back end is shutting down, and tells the other
 * entries. */
void Exchange::readLeaving(const ResponseHead &Received) {
  const std::string *Name =
      usedHeaderName(Received, Shared.Wire.headerNames().Leaving);
  if (Name == nullptr)
    return;
  const std::string_view Value = fieldValue(Received, *Name);
  const auto Leaving = Shared.Wire.parseLeaving(Value);
  if (!Leaving)
    logUnreadableNotice(*Name, Value);
  if (!Leaving.value_or(false))
    return;
  const TimePoint Now = Shared.Clock.now();
  std::vector<ServerLeavingNotice> News;
  if (Received.result() == http::status::misdirected_request)
    News = recordMisdirectedLeaving(Shared.Pool, ServerId, CallStartTime, Now);
  else if (const auto One = recordLeaving(Shared.Pool, ServerId, Now))
    News.push_back(*One);
  for (const ServerLeavingNotice &One : News) {
    Shared.Counters.add(ForwardCount::ServersLeaving);
    Shared.SendToEntries(One);
  }
}

/** Records the pause that a refusal asks for: the longest one if it is given
 * more than once. */
void Exchange::readPause(const ResponseHead &Received) {
  const std::string &Name = Shared.Wire.headerNames().RetryAfter;
  const auto [Begin, End] = Received.equal_range(Name);
  Millis Pause{0};
  for (auto it = Begin; it != End; ++it) {
    const std::string_view Value = toStringView(it->value());
    const auto Read = parseRetryAfter(Value);
    if (!Read)
      logUnreadableNotice(Name, Value);
    Pause = std::max(Pause, Read.value_or(Millis{0}));
  }
  if (recordPause(Shared.Pool, ServerId, Pause, Shared.Clock.now()))
    Shared.Counters.add(ForwardCount::Pauses);
}

/** Checks the head of a response and decides how its body is handled. */
void Exchange::handleAnswerHead(const ResponseHead &Received) {
  const TimePoint Now = Shared.Clock.now();
  const HeaderNames &Names = Shared.Wire.headerNames();
  LastProgress = Now;
  recordServerActivity(Shared.Pool, ServerId, Now);
  if (const auto Busy =
          Shared.Wire.parseServerLoad(fieldValue(Received, Names.Load)))
    recordServerLoad(Shared.Pool, ServerId, *Busy, Now);
  const unsigned Status = Received.result_int();
  AnswerStatus = Status;
  const bool Misdirected = Status == 421; // Another run may have the address.
  const bool NotRun = !fieldValue(Received, Names.NotExecuted).empty();
  const bool Success = Status >= 200 && Status < 300;
  const bool Signed = !fieldValue(Received, Names.Signature).empty();
  if (!Misdirected)
    readRateLimit(Received, Success && Signed);
  if (Misdirected || NotRun) {
    if (Misdirected) {
      avoidMismatchedServer(Shared.Pool, ServerId, Now);
      Shared.Counters.add(ForwardCount::Mismatched);
    }
    Mode = AnswerMode::Refusal;
    return;
  }
  recordAcceptedRequest(Shared.Pool, ServerId, Now);
  handleSignOfLife(Shared, ServerRun, CallStartTime);
  const bool Unusable =
      (Success && !Signed) || !fieldValue(Received, "Content-Encoding").empty();
  const bool OtherWeights =
      HeadSent && fieldValue(Received, Names.WeightVersion) !=
                      fieldValue(Head, Names.WeightVersion);
  if (Unusable || OtherWeights || (HeadSent && !Success)) {
    abandonAnswer(OtherWeights ? AbandonReason::OtherWeights
                               : AbandonReason::Unusable);
    return;
  }
  if (!HeadSent)
    Head = Received;
  const bool IsEvents =
      fieldValue(Received, "Content-Type").starts_with("text/event-stream");
  Mode = Success && IsEvents ? AnswerMode::Events : AnswerMode::Whole;
}

/** Buffers a part of a body or streams its complete events to the caller. */
void Exchange::handleAnswerBody(std::string Bytes) {
  LastProgress = Shared.Clock.now();
  if (!BodyBeganAt)
    BodyBeganAt = LastProgress;
  recordServerActivity(Shared.Pool, ServerId, LastProgress);
  if (Mode == AnswerMode::Refusal)
    return;
  if (LastProgress - *BodyBeganAt >= AnswerBegunAfter)
    reportBegun();
  if (Mode == AnswerMode::Whole) {
    Body += Bytes;
    if (Body.size() > MaxWholeAnswerBytes)
      abandonAnswer(AbandonReason::TooLarge);
    return;
  }
  const auto Self = shared_from_this();
  std::string Whole;
  const EventStreamStatus Verdict = appendCompleteEvents(Events, Bytes, Whole);
  if (!Whole.empty()) {
    if (!HeadSent)
      beginStream();
    Session->sendBody(Whole);
    LastSentToCaller = LastProgress;
  }
  if (Verdict != EventStreamStatus::Good)
    abandonAnswer(AbandonReason::BrokenEvents);
  else if (Session && Session->backlog() > MaxCallerBacklogBytes)
    endWithError({ErrorKind::PartialAnswer, "the caller does not read", {}},
                 Ran::Yes, "caller_slow");
}

/** Sends the head of a stream to the caller. */
void Exchange::beginStream() {
  HeadSent = true;
  Needs.Weights = loadedWeights(Shared.Pool, ServerId);
  FirstByteTime = Shared.Clock.now();
  recordFirstPartTime(Shared.Pool, Needs.Service,
                      *FirstByteTime - CallStartTime);
  CallerAnswerHead Out;
  Out.result(Head.result());
  copyAnswerHeaders(Head, Out);
  Session->beginBody(std::move(Out));
}

/** Ends the request with a response, or retries after a refusal. */
void Exchange::handleAnswerEnd(ResponseEnd How) {
  const auto Self = shared_from_this();
  if (Mode == AnswerMode::Refusal) {
    Shared.Counters.add(ForwardCount::NotExecuted);
    concludeAttempt(AttemptEnd::Refused);
    Needs.Tried.insert(ServerId);
    tryNextServer();
    return;
  }
  if (Mode == AnswerMode::Events && !Events.Partial.empty()) {
    reportBrokenAnswer();
    abandonAnswer(AbandonReason::BrokenEvents);
    return;
  }
  if (How == ResponseEnd::Closed)
    confirmClosedAnswer();
  else
    completeAnswer();
}

/**
 * Completes a response that ended with its connection if its back end lives on.
 * One that crashes closes its connections in the same way, and a part of the
 * response would pass for the whole.
 */
void Exchange::confirmClosedAnswer() {
  const auto Waiting = Call;
  confirmRunning(Shared, ServerRun, ServerAt,
                 [Self = shared_from_this(), Waiting](AddressCheck Result) {
                   if (!Self->Session || Self->Call != Waiting)
                     return;
                   if (Result == AddressCheck::Accepted)
                     Self->completeAnswer();
                   else
                     Self->handleCallFailure(CallFailure::Broken,
                                             ConnectionEnd::Closed);
                 });
}

/** Ends the request with a complete response. */
void Exchange::completeAnswer() {
  const auto Self = shared_from_this();
  if (Mode == AnswerMode::Events) {
    reportCompletion();
    concludeAttempt(AttemptEnd::Answered);
    if (!HeadSent)
      beginStream();
    logEnd("answered", Head.result_int(), "stream");
    Shared.Counters.add(ForwardCount::Answered);
    const auto To = Session;
    finish();
    To->endBody();
    return;
  }
  sendWholeAnswer();
}

/** Sends a complete response to the caller, or retries after a server error. */
void Exchange::sendWholeAnswer() {
  reportCompletion(); // An error of a back end that runs on is no crash.
  const bool Failed = Head.result_int() >= 500;
  concludeAttempt(Failed ? AttemptEnd::Error : AttemptEnd::Answered);
  const TimePoint Now = Shared.Clock.now();
  MayHaveRun = MayHaveRun || Failed;
  // An error is often specific to one back end, so a repeatable request is
  // tried at another. If there is none, the caller gets the error unchanged.
  if (Failed && isRepeatable() && hasAttemptsLeft() &&
      RequestDeadline - Now > Millis(RequestRoute->Target.count() / 4) &&
      canUseOtherServer(Now)) {
    Needs.Tried.insert(ServerId);
    tryNextServer();
    return;
  }
  FirstByteTime = Now;
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

/** Says whether another back end could take the request, so that the current
 * response isn't dropped for nothing. Only checks the retry budget; the next
 * attempt draws on it. */
bool Exchange::canUseOtherServer(TimePoint Now) {
  ServerNeeds Other = Needs;
  Other.Tried.insert(ServerId);
  return chooseServer(Shared.Pool, Other, Now).Server != nullptr &&
         hasRepeatsLeft(Shared.Repeats, Needs.Service, Shared.Pool.Entries,
                        Now);
}

/** Cancels the call, since its response is unusable or has stalled. */
void Exchange::abandonAnswer(AbandonReason Why) {
  Abandoned = Why;
  if (isServerHostUnresponsive(Shared.Clock.now()))
    Shared.Counters.add(ForwardCount::HostUnresponsive);
  if (Call)
    Call->cancel();
  handleCallFailure(CallFailure::Broken, ConnectionEnd::Open);
}

/** Retries a failed attempt if that is allowed, else ends the request. */
void Exchange::handleCallFailure(CallFailure Why, ConnectionEnd End) {
  const auto Self = shared_from_this();
  LastEnd = End;
  // A crash on a kept connection looks like a connection that was closed
  // before the request came.
  if (End == ConnectionEnd::Reset || End == ConnectionEnd::Closed)
    reportBrokenAnswer();
  if (Why == CallFailure::Unreached) {
    Shared.Counters.add(ForwardCount::Unreached);
    concludeAttempt(AttemptEnd::Unreached);
    --AttemptsSent; // Nothing was sent.
    Needs.Tried.insert(ServerId);
    if (End == ConnectionEnd::Refused) // It may have crashed just now.
      retryFailedAttempt();
    else
      tryNextServer();
    return;
  }
  if (Why == CallFailure::Withheld) {
    Shared.Counters.add(ForwardCount::Withheld);
    concludeAttempt(AttemptEnd::NotSent);
    --AttemptsSent;
    tryNextServer();
    return;
  }
  if (Why == CallFailure::Stale && isRepeatable()) {
    // Most likely the idle connection had been closed, which is no failure of
    // the back end. But it may have crashed on the request.
    concludeAttempt(AttemptEnd::Dropped);
    --AttemptsSent;
    MayHaveRun = true;
    ForceNewConnection = true;
    retryFailedAttempt();
    return;
  }
  Shared.Counters.add(ForwardCount::Broken);
  concludeAttempt(AttemptEnd::Broken);
  MayHaveRun = true;
  Needs.Tried.insert(ServerId);
  const bool CanResume = !HeadSent || Events.LastId;
  if (isRepeatable() && CanResume) {
    retryFailedAttempt();
    return;
  }
  endWithError({ErrorKind::OutcomeUnknown, "the answer broke off", {}},
               Ran::Unknown, "back_end_broke");
}

} // namespace jacinthpond
