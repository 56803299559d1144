/** @file exchange_answer.cpp Handling the response of a back end. */

#include "forward/exchange.h"

#include "admission/part_history_func.h"
#include "base/retry_after_func.h"
#include "forward/forward_headers.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forward/suspects.h"
#include "forwarding/event_stream_func.h"
#include "forwarding/server_notice_func.h"
#include "log/log.h"

#include <algorithm>
#include <utility>

namespace jacinthpond {

namespace {

/** Status of a back end that refuses for now. */
constexpr unsigned StatusUnavailable = 503;
/** Status of a back end other than the one meant: it has the address now. */
constexpr unsigned StatusMisdirected = 421;
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
void Exchange::readRateLimit(const Attempt &One, const ResponseHead &Received,
                             bool Success) {
  const std::string *Name =
      usedHeaderName(Received, Shared.Wire.headerNames().RateLimits);
  if (Name == nullptr) {
    if (Success && isRateLimited(Shared.Pool, One.ServerId))
      applyRateLimit(One, std::nullopt, "");
    return;
  }
  const std::string_view Value = fieldValue(Received, *Name);
  const size_t Times = Received.count(*Name);
  const auto PerSecond = Shared.Wire.parseRateLimit(Value);
  if (PerSecond && Times == 1)
    applyRateLimit(One, PerSecond, *Name + ":" + std::string(Value));
  else
    logLine(LogPart::Requests, LogLevel::Warn,
            "event=rate_limit_unreadable id=" + logValue(Id) +
                " server=" + One.ServerId.Value + " field=" + logValue(*Name) +
                " value=" + logValue(Value) +
                " times=" + std::to_string(Times));
}

/** Records a back end's rate limit, or that it has none. Notifies the agent
 * that grants its slots; without an agent, the entries that share the limit. */
void Exchange::applyRateLimit(const Attempt &One,
                              std::optional<double> PerSecond,
                              std::string_view Field) {
  const TimePoint Now = Shared.Clock.now();
  const RateChange Change = recordAnswerRate(Shared.Pool, One.ServerId,
                                             PerSecond, One.CallStartTime, Now);
  logRateChange(One, Change, Field);
  const auto it = Shared.Pool.Servers.find(One.ServerId);
  if (it == Shared.Pool.Servers.end())
    return;
  const Millis Age = PerSecond ? Millis(0) : toMillis(Now - One.CallStartTime);
  const RateLimitNotice Notice{One.Slot, One.ServerId, PerSecond,
                               static_cast<uint64_t>(Age.count())};
  if (hasAgent(it->second))
    Shared.SendToAgent(it->second.Agent->Link, Notice);
  else if (Change != RateChange::None)
    Shared.SendToEntries(Notice);
}

/** Says whether the back end may still get the request, and takes the retry
 * that it costs. The back end may have asked for a pause while the connection
 * was being opened, or copies of the request may have crashed other ones. */
bool Exchange::maySendRequest(Attempt &One) {
  const TimePoint Now = Shared.Clock.now();
  const Digest Before = Needs.Suspect;
  if (checkQuarantine())
    return false;
  // It has become a suspect, whose back end is chosen otherwise.
  if (Needs.Suspect != Before && !Needs.Suspect.Value.empty())
    return false;
  if (!mayStillUse(Shared.Pool, One.ServerId, Needs, Now))
    return false;
  if (AttemptsSent > 1 &&
      !takeRepeat(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now))
    return false;
  commitAttempt(One);
  return true;
}

/** Records what the back end announces in the headers of a response. */
void Exchange::handleNotices(Attempt &One, const ResponseHead &Received) {
  logServerNotice(One, Received);
  readLeaving(One, Received);
  if (Received.result_int() == StatusUnavailable)
    readPause(One, Received);
}

/** Records that the answering back end is shutting down, and tells the other
 * entries. */
void Exchange::readLeaving(const Attempt &One, const ResponseHead &Received) {
  const std::string *Name =
      usedHeaderName(Received, Shared.Wire.headerNames().Leaving);
  if (Name == nullptr)
    return;
  const std::string_view Value = fieldValue(Received, *Name);
  const auto Leaving = Shared.Wire.parseLeaving(Value);
  if (!Leaving)
    logUnreadableNotice(One, *Name, Value);
  if (!Leaving.value_or(false))
    return;
  const TimePoint Now = Shared.Clock.now();
  std::vector<ServerLeavingNotice> News;
  if (Received.result_int() == StatusMisdirected)
    News = recordMisdirectedLeaving(Shared.Pool, One.ServerId,
                                    One.CallStartTime, Now);
  else if (const auto Notice = recordLeaving(Shared.Pool, One.ServerId, Now))
    News.push_back(*Notice);
  for (const ServerLeavingNotice &Notice : News) {
    Shared.Counters.add(ForwardCount::ServersLeaving);
    Shared.SendToEntries(Notice);
  }
}

/** Records the pause that a refusal asks for: the longest one if it is given
 * more than once. */
void Exchange::readPause(const Attempt &One, const ResponseHead &Received) {
  const std::string &Name = Shared.Wire.headerNames().RetryAfter;
  const auto [Begin, End] = Received.equal_range(Name);
  Millis Pause{0};
  for (auto it = Begin; it != End; ++it) {
    const std::string_view Value = toStringView(it->value());
    const auto Read = parseRetryAfter(Value);
    if (!Read)
      logUnreadableNotice(One, Name, Value);
    Pause = std::max(Pause, Read.value_or(Millis{0}));
  }
  if (recordPause(Shared.Pool, One.ServerId, Pause, Shared.Clock.now()))
    Shared.Counters.add(ForwardCount::Pauses);
}

/** Checks the head of a response and decides how its body is handled. */
void Exchange::handleAnswerHead(Attempt &One, const ResponseHead &Received) {
  const TimePoint Now = Shared.Clock.now();
  const HeaderNames &Names = Shared.Wire.headerNames();
  One.LastProgress = Now;
  recordServerActivity(Shared.Pool, One.ServerId, Now);
  if (const auto Busy =
          Shared.Wire.parseServerLoad(fieldValue(Received, Names.Load)))
    recordServerLoad(Shared.Pool, One.ServerId, *Busy, Now);
  const unsigned Status = Received.result_int();
  One.AnswerStatus = Status;
  const bool Misdirected = Status == StatusMisdirected;
  const bool NotRun = !fieldValue(Received, Names.NotExecuted).empty();
  const bool Success = Status >= 200 && Status < 300;
  const bool Signed = !fieldValue(Received, Names.Signature).empty();
  if (!Misdirected)
    readRateLimit(One, Received, Success && Signed);
  if (Misdirected || NotRun) {
    if (Misdirected) {
      avoidMismatchedServer(Shared.Pool, One.ServerId, Now);
      Shared.Counters.add(ForwardCount::Mismatched);
    }
    One.Mode = AnswerMode::Refusal;
    One.Call->skipBody();
    return;
  }
  recordAcceptedRequest(Shared.Pool, One.ServerId, Now);
  handleSignOfLife(Shared, One.ServerRun, One.CallStartTime);
  const bool IsEvents =
      fieldValue(Received, "Content-Type").starts_with("text/event-stream");
  const bool Unusable = (Success && !Signed) ||
                        !fieldValue(Received, "Content-Encoding").empty() ||
                        (HeadSent && !(Success && IsEvents));
  const bool OtherWeights =
      HeadSent && fieldValue(Received, Names.WeightVersion) !=
                      fieldValue(Head, Names.WeightVersion);
  if (Unusable || OtherWeights) {
    abandonAnswer(One, OtherWeights ? AbandonReason::OtherWeights
                                    : AbandonReason::Unusable);
    return;
  }
  const bool IsStream = Success && IsEvents;
  if (!IsStream && isTooLong(Received)) {
    abandonAnswer(One, AbandonReason::TooLarge);
    return;
  }
  abandonSearch();
  One.Head = Received;
  One.Mode = IsStream ? AnswerMode::Events : AnswerMode::Whole;
}

/** Says whether the announced length of a response exceeds the buffer. */
bool Exchange::isTooLong(const ResponseHead &Received) const {
  const auto Length = parseNumber(fieldValue(Received, "Content-Length"));
  return Incoming.method() != boost::beast::http::verb::head && Length &&
         *Length > static_cast<int64_t>(MaxWholeAnswerBytes);
}

/** Buffers a part of a body or streams its complete events to the caller. */
void Exchange::handleAnswerBody(Attempt &One, const std::string &Bytes) {
  const TimePoint Now = Shared.Clock.now();
  One.LastProgress = Now;
  if (!One.BodyBeganAt)
    One.BodyBeganAt = Now;
  recordServerActivity(Shared.Pool, One.ServerId, Now);
  if (One.Mode == AnswerMode::Refusal)
    return;
  abandonSearch();
  if (Now - *One.BodyBeganAt >= AnswerBegunAfter)
    reportBegun(One);
  if (One.Mode == AnswerMode::Whole) {
    const size_t Size = One.Body.size() + Bytes.size();
    if (Size > MaxWholeAnswerBytes)
      abandonAnswer(One, AbandonReason::TooLarge);
    else if (!One.Memory.resize(Size))
      abandonAnswer(One, AbandonReason::NoMemory);
    else
      One.Body += Bytes;
    return;
  }
  streamEvents(One, Bytes);
}

/** Passes the complete events of a stream on to the caller. */
void Exchange::streamEvents(Attempt &One, const std::string &Bytes) {
  const auto Self = shared_from_this();
  std::string Whole;
  const EventStreamStatus Verdict =
      appendCompleteEvents(One.Events, Bytes, Whole);
  if (!Whole.empty()) {
    keepOnly(One);
    if (!HeadSent)
      beginStream(One);
    LastEventId = One.Events.LastId;
    Session->sendBody(Whole);
    LastSentToCaller = Shared.Clock.now();
  }
  if (Verdict != EventStreamStatus::Good)
    abandonAnswer(One, AbandonReason::BrokenEvents);
  else if (!One.Memory.resize(One.Events.Partial.size()))
    abandonAnswer(One, AbandonReason::NoMemory);
  else if (Session && Session->backlog() > MaxCallerBacklogBytes)
    endWithError({ErrorKind::PartialAnswer, "the caller does not read", {}},
                 Ran::Yes, "caller_slow");
}

/** Sends the head of a stream to the caller. */
void Exchange::beginStream(Attempt &One) {
  HeadSent = true;
  BackEndError.reset(); // No other answer may follow this one.
  Head = One.Head;
  Needs.Weights = loadedWeights(Shared.Pool, One.ServerId);
  FirstByteTime = One.FirstPartAt = Shared.Clock.now();
  recordFirstPartTime(Shared.Pool, Needs.Service,
                      *FirstByteTime - One.CallStartTime);
  CallerAnswerHead Out;
  copyAnswerHead(Head, Out);
  Session->beginBody(std::move(Out));
}

/** Handles the end of a response: a complete one, or a refusal. */
void Exchange::handleAnswerEnd(Attempt &One, ResponseEnd How) {
  const auto Self = shared_from_this();
  if (One.Mode == AnswerMode::Refusal) {
    Shared.Counters.add(ForwardCount::NotExecuted);
    concludeAttempt(One, AttemptEnd::Refused);
    if (Sent.empty())
      tryNextServer();
    else
      armTimer();
    return;
  }
  if (One.Mode == AnswerMode::Events && !One.Events.Partial.empty()) {
    reportBrokenAnswer(One);
    abandonAnswer(One, AbandonReason::BrokenEvents);
    return;
  }
  if (How == ResponseEnd::Closed)
    confirmClosedAnswer(One);
  else
    completeAnswer(One);
}

/**
 * Completes a response that ended with its connection if its back end lives on
 * and has not reset the connection. One that crashes closes its connections in
 * the same way, and a part of the response would pass for the whole.
 */
void Exchange::confirmClosedAnswer(Attempt &One) {
  confirmRunning(Shared, One.ServerRun, One.ServerAt,
                 [Self = shared_from_this(),
                  Waiting = One.shared_from_this()](AddressCheck Result) {
                   if (!Self->Session || !Waiting->Call)
                     return;
                   const bool InOrder = Waiting->Call->closeEnded();
                   if (InOrder && Result == AddressCheck::Accepted)
                     Self->completeAnswer(*Waiting);
                   else
                     Self->handleCallFailure(*Waiting, CallFailure::Broken,
                                             InOrder ? ConnectionEnd::Closed
                                                     : ConnectionEnd::Reset);
                 });
}

/** Ends the request with a complete response. */
void Exchange::completeAnswer(Attempt &One) {
  const auto Self = shared_from_this();
  const auto Kept = One.shared_from_this();
  reportCompletion(One); // An error of a back end that runs on is no crash.
  if (One.Mode != AnswerMode::Events) {
    handleWholeAnswer(One);
    return;
  }
  keepOnly(One);
  concludeAttempt(One, AttemptEnd::Answered);
  if (!HeadSent)
    beginStream(One);
  if (!One.Events.Opening.empty()) // A stream without any event.
    Session->sendBody(One.Events.Opening);
  logEnd("answered", Head.result_int(), "stream");
  Shared.Counters.add(ForwardCount::Answered);
  const auto To = Session;
  finish();
  To->endBody();
}

/** Sends a complete response to the caller. An error is often specific to one
 * back end: a repeatable request is tried at another one first. */
void Exchange::handleWholeAnswer(Attempt &One) {
  const TimePoint Now = Shared.Clock.now();
  const bool Failed = One.Head.result_int() >= 500;
  WholeAnswer Answer{One.Head, std::move(One.Body), std::move(One.Memory)};
  One.FirstPartAt = Now;
  if (!Failed) {
    keepOnly(One);
    concludeAttempt(One, AttemptEnd::Answered);
    sendWholeAnswer(std::move(Answer), "whole");
    return;
  }
  concludeAttempt(One, AttemptEnd::Error);
  MayHaveRun = true;
  const bool MayRetry =
      isRepeatable() && hasAttemptsLeft() &&
      RequestDeadline - Now > Millis(RequestRoute->Target.count() / 4) &&
      canUseOtherServer(true, Now);
  if (Sent.empty() && !Next && !MayRetry) {
    sendWholeAnswer(std::move(Answer), "back_end_error");
    return;
  }
  BackEndError = std::move(Answer);
  if (Sent.empty())
    tryNextServer();
}

/** Sends a complete response to the caller and ends the request. */
void Exchange::sendWholeAnswer(WholeAnswer Answer, const char *How) {
  dropAllAttempts();
  FirstByteTime = Shared.Clock.now();
  CallerAnswer Out;
  copyAnswerHead(Answer.Head, Out);
  Out.body() = std::move(Answer.Body);
  logEnd("answered", Answer.Head.result_int(), How);
  Shared.Counters.add(ForwardCount::Answered);
  const auto To = Session;
  finish();
  To->answer(std::move(Out));
}

/** Cancels the call of an attempt whose response is unusable. */
void Exchange::abandonAnswer(Attempt &One, AbandonReason Why) {
  One.Abandoned = Why;
  if (One.Call)
    One.Call->cancel();
  handleCallFailure(One, CallFailure::Broken, ConnectionEnd::Open);
}

/** Handles the failure of an attempt: tries another back end if that is
 * allowed and no other attempt is open, else ends the request. */
void Exchange::handleCallFailure(Attempt &One, CallFailure Why,
                                 ConnectionEnd End) {
  const auto Self = shared_from_this();
  const auto Kept = One.shared_from_this();
  One.LastEnd = End;
  // A crash on a kept connection looks like a connection that was closed
  // before the request came.
  if (End == ConnectionEnd::Reset || End == ConnectionEnd::Closed)
    reportBrokenAnswer(One);
  if (Why == CallFailure::Unreached) {
    Shared.Counters.add(ForwardCount::Unreached);
    concludeAttempt(One, AttemptEnd::Unreached);
    --AttemptsSent; // Nothing was sent.
    Needs.Tried.insert(One.ServerId);
    if (End == ConnectionEnd::Refused) // It may have crashed just now.
      retryFailedAttempt();
    else
      tryNextServer();
    return;
  }
  if (Why == CallFailure::Withheld) {
    Shared.Counters.add(ForwardCount::Withheld);
    concludeAttempt(One, AttemptEnd::NotSent);
    --AttemptsSent;
    tryNextServer();
    return;
  }
  MayHaveRun = true;
  if (Why == CallFailure::Stale && isRepeatable()) {
    // Most likely the idle connection had been closed, which is no failure of
    // the back end. But it may have crashed on the request.
    concludeAttempt(One, AttemptEnd::Dropped);
    --AttemptsSent;
    Needs.Tried.erase(One.ServerId);
    ForceNewConnection = true;
  } else {
    Shared.Counters.add(ForwardCount::Broken);
    concludeAttempt(One, AttemptEnd::Broken);
  }
  if (!Sent.empty() || Next) {
    armTimer();
    return;
  }
  if (isRepeatable() && canResume()) {
    restartSearch(Search, Needs, false);
    retryFailedAttempt();
    return;
  }
  endWithError({ErrorKind::OutcomeUnknown, "the answer broke off", {}},
               Ran::Unknown, "back_end_broke");
}

} // namespace jacinthpond
