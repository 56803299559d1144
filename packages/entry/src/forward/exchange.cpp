/** @file exchange.cpp One request on a route, from arrival to response. */

#include "forward/exchange.h"

#include "forward/forward_headers.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forward/request_match.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/come_back_func.h"
#include "forwarding/crash_watch_func.h"
#include "forwarding/no_server_func.h"
#include "http/http_server.h"
#include "log/log.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;

namespace {

/** Timeout for opening a connection: several times the latency between regions.
 */
constexpr Millis ConnectLimit{300};
/** Maximum attempts for one request, failed connections included; those send
 * nothing. */
constexpr uint32_t MaxAttemptsStarted = 5;
/** With less time left than this, an attempt can't be answered in time. */
constexpr Millis MinRemaining{10};
/** Upper bound for the time that a caller says it still waits. */
constexpr int64_t MaxRemainingMillis = int64_t{3600} * 1000;
/** Maximum requests that wait until a new entry has a view of the fleet; their
 * bodies stay in memory meanwhile. */
constexpr size_t MaxWaitingForReadiness = 256;

} // namespace

Exchange::Exchange(ForwardContext &Shared,
                   std::shared_ptr<CallerSession> Session,
                   CallerRequest Incoming)
    : Shared(Shared), Session(std::move(Session)),
      Incoming(std::move(Incoming.base())),
      Body(std::make_shared<const BodyBlocks>(std::move(Incoming.body()))),
      ArrivalTime(Shared.Clock.now()), LastSentToCaller(ArrivalTime),
      Timer(Shared.Io) {
  ++Shared.OpenRequests;
}

Exchange::~Exchange() { --Shared.OpenRequests; }

void Exchange::start() {
  Shared.Counters.add(ForwardCount::Requests);
  Id = fieldValue(Incoming, Shared.Wire.headerNames().AttemptId);
  Session->setDisconnectHandler(shared_from_this());
  readDeadline();
  if (waitUntilReady())
    return;
  startForwarding();
}

/**
 * Holds a request that arrives while this entry joins the fleet. When all
 * entries restart, callers with broken connections reconnect at once, within
 * the 0.25 s that it takes to get a view of the fleet. They have one retry
 * left: if refused, they would give up although their back ends are idle.
 * @return Whether the request waits.
 */
bool Exchange::waitUntilReady() {
  if (isEntryReady(Shared) || Shared.RefusingNew ||
      Shared.Clock.now() >= std::min(Shared.Fleet.ReadyBy, RequestDeadline) ||
      Shared.ReadinessWaiters.size() >= MaxWaitingForReadiness)
    return false;
  WaitingForReadiness = true;
  Shared.ReadinessWaiters.push_back(weak_from_this());
  logWaitForReadiness();
  armTimer();
  return true;
}

/** Goes on with a held request once the entry is ready, or once the wait is
 * over. */
void Exchange::handleEntryReady() {
  if (!Session || !WaitingForReadiness)
    return;
  WaitingForReadiness = false;
  startForwarding();
}

/** Matches the request to a route and forwards it, or refuses it. */
void Exchange::startForwarding() {
  Doc = Shared.Doc;
  if (!findRoute())
    return;
  CallerAge = callerAge(Shared.CallerDeadlines, *RequestRoute,
                        RequestDeadline - ArrivalTime);
  RequestDeadline =
      std::min(RequestDeadline, ArrivalTime + RequestRoute->Timeout);
  Needs.Service = chooseTarget(*RequestRoute, std::hash<std::string>{}(Id));
  Needs.MatchedRoute = RequestRoute;
  Needs.Owner = Owner;
  if (const auto Last = parseNumber(
          fieldValue(Incoming, Shared.Wire.headerNames().LastEventId)))
    LastEventId = static_cast<uint64_t>(*Last);
  armTimer();
  countFirstAttempt(Shared.Repeats, Needs.Service, ArrivalTime);
  tryNextServer();
}

/** Finds the route and the workspace; if the request can't be served, ends it.
 */
bool Exchange::findRoute() {
  const RequestMatch Match = matchRequest(Shared, Incoming);
  RequestRoute = Match.Found;
  Owner = Match.Owner;
  if (Match.Refused)
    endWithError(*Match.Refused, Ran::No, Match.Reason);
  return !Match.Refused;
}

/** Computes the request's deadline from the time that the caller says it still
 * waits. */
void Exchange::readDeadline() {
  const auto MillisLeft =
      parseNumber(fieldValue(Incoming, Shared.Wire.headerNames().Remaining));
  RequestDeadline =
      ArrivalTime + Millis(std::clamp(MillisLeft.value_or(MaxRemainingMillis),
                                      int64_t{0}, MaxRemainingMillis));
}

/** Priority of the request, 0 first: its workspace's if set, else its route's.
 */
uint32_t Exchange::rank() const {
  return Owner != nullptr && Owner->Rank ? *Owner->Rank : RequestRoute->Rank;
}

/** Says whether the request may have another attempt. */
bool Exchange::hasAttemptsLeft() const {
  return AttemptsSent < RequestRoute->MaxAttempts &&
         AttemptsStarted < MaxAttemptsStarted;
}

/** Says whether the request may be sent again after it may have been executed.
 */
bool Exchange::isRepeatable() const {
  if (RequestRoute->Kind == RouteKind::Stream)
    return RequestRoute->Resumable;
  return RequestRoute->Kind == RouteKind::Idempotent;
}

/** Says whether another attempt could go on where the caller's answer stands.
 */
bool Exchange::canResume() const { return !HeadSent || LastEventId; }

/** Gives what rules out another attempt, whatever the back ends; nothing: it
 * may be prepared. */
std::optional<NoServerReason> Exchange::attemptObstacle(TimePoint Now) {
  if (checkQuarantine())
    return NoServerReason::Quarantined;
  if (!hasAttemptsLeft())
    return NoServerReason::NoAttemptLeft;
  if (AttemptsSent > 0 &&
      !hasRepeatsLeft(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now))
    return NoServerReason::RetryBudget;
  if (!mayRequestMoreSlots(Search))
    return NoServerReason::NoPlace;
  return std::nullopt;
}

/** Prepares an attempt at the next suitable back end. */
void Exchange::tryNextServer() {
  if (Next)
    return;
  const TimePoint Now = Shared.Clock.now();
  if (nextPartDeadline() - Now < MinRemaining) {
    if (Sent.empty())
      handleDeadline();
    return;
  }
  if (const auto Why = attemptObstacle(Now)) {
    endSearch(*Why, {ErrorKind::Overloaded, noServerReasonName(*Why),
                     ShortestRetryAfter});
    return;
  }
  ServerChoice Choice = chooseServer(Shared.Pool, Needs, Now);
  if (Choice.Server == nullptr && reconsiderBusyServers(Search, Needs))
    Choice = chooseServer(Shared.Pool, Needs, Now);
  if (Choice.Server == nullptr) {
    handleNoServer(Choice);
    return;
  }
  logAttempt(*Choice.Server, Choice);
  Next = std::make_shared<Attempt>(*this, Choice.Server->Listed.Id,
                                   Shared.AnswerMemory);
  recordAttemptStart(Shared.Pool, Next->ServerId);
  if (hasAgent(*Choice.Server))
    requestSlot(*Next, *Choice.Server);
  else
    sendTo(*Next, *Choice.Server);
}

/** Ends the search for a back end because none could be chosen. */
void Exchange::handleNoServer(const ServerChoice &Choice) {
  const bool Full = Choice.Why == PoolRefusal::AllFull || !Needs.Full.empty();
  NoServerReason Why =
      Full ? NoServerReason::AllFull : NoServerReason::NoneUsable;
  if (Choice.Limited > 0 && Choice.Limited == Choice.Candidates)
    Why = NoServerReason::AllAtRate;
  const bool Paused = Choice.Why == PoolRefusal::AllPaused;
  if (Paused) {
    Why = NoServerReason::AllPaused;
    Shared.Counters.add(ForwardCount::Withheld);
  }
  endSearch(Why, {Full || Paused ? ErrorKind::Overloaded : ErrorKind::NoWorker,
                  Needs.Service.Value,
                  ShortestRetryAfter.count() > 0 ? ShortestRetryAfter
                                                 : Choice.RetryAfter});
}

/** Sends the request to a back end, once a connection is open. */
void Exchange::sendTo(Attempt &One, const ServerView &Server) {
  const TimePoint Now = Shared.Clock.now();
  const HeaderNames &Names = Shared.Wire.headerNames();
  if (One.Slot.Value.empty())
    countRequestWithoutSlot(Shared.Pool, One.ServerId, Now);
  AttemptHeaders Added;
  Added.Remaining = toMillis(RequestDeadline - Now);
  Added.Server = Server.Listed.Id;
  Added.Version = requiredVersion(Shared.Pool, One.ServerId, Now);
  if (HeadSent) { // A stream resumes on the weights that began it.
    Added.Version = fieldValue(Head, Names.WeightVersion);
    Added.LastEventId = LastEventId;
  }
  Added.Workspace = Owner == nullptr ? "" : Owner->Name.Value;
  Added.Rank = rank();
  BackEndRequest Sending;
  Sending.To = Server.Listed.At;
  Sending.Bytes = requestHead(Incoming, Body->size(), Names, Added);
  Sending.Body = Body;
  Sending.AttemptIdHeader = Names.AttemptId;
  Sending.AttemptId = Id;
  // The back end may close a pooled connection just as the request is sent, and
  // whether the request ran is then unknown. Requests that may not be repeated
  // use a new connection: one more round trip, but no lost bookings.
  // A suspect that crashes its back end would look like one that a closed
  // connection never delivered.
  Sending.ForceNewConnection =
      ForceNewConnection || !isRepeatable() || !Needs.Suspect.Value.empty();
  Sending.NoResponseBody = Incoming.method() == http::verb::head;
  Sending.MaxIdle = maxIdleConnections(Shared.Pool, Server.Listed.Service);
  One.CallStartTime = One.LastProgress = Now;
  One.ServerRun = runName(Server.Listed);
  One.ServerAt = Server.Listed.At;
  One.WeightsWhenSent = Server.Weights;
  One.Events.LastId = LastEventId;
  ++AttemptsStarted;
  One.Number = ++AttemptsSent; // Undone if nothing is sent.
  TriedServers += (TriedServers.empty() ? "" : ",") + One.ServerId.Value;
  One.Call = std::make_shared<BackEndCall>(Shared.Io, Shared.Connections,
                                           std::move(Sending), One);
  armTimer();
  One.Call->start(std::min(ConnectLimit, toMillis(RequestDeadline - Now)));
}

/** Ends an attempt: logs it, releases its slot and counts it for the back end.
 */
void Exchange::concludeAttempt(Attempt &One, AttemptEnd How) {
  const TimePoint Now = Shared.Clock.now();
  const auto Kept = One.shared_from_this();
  const bool WasSent = One.Call != nullptr;
  const bool Open = WasSent || One.AwaitingSlot;
  if (WasSent && How != AttemptEnd::Answered)
    logAttemptEnd(One, How);
  releaseSlot(One, How);
  const bool WasOpen = std::erase(Sent, Kept) > 0;
  if (Next == Kept)
    Next.reset();
  if (WasOpen && Sent.empty())
    widenSearch();
  if (!Open)
    return;
  One.Call.reset();
  recordAttemptEnd(Shared.Pool, One.ServerId,
                   WasSent ? How : AttemptEnd::NotSent, Now - One.CallStartTime,
                   Now);
}

/** Lets the search queue at agents, once no answer is open any more. */
void Exchange::widenSearch() {
  const bool UsedUp = Search.SpareOnly || !mayRequestMoreSlots(Search);
  Search.SpareOnly = false;
  if (UsedUp && !Next)
    restartSearch(Search, Needs, false);
}

/** Ends a request that no back end can take: refused, or with an unknown
 * outcome if an attempt may have been executed. */
void Exchange::endWithoutServer(Failure Why, const char *Reason) {
  if (!MayHaveRun) {
    if (Why.Kind == ErrorKind::Overloaded)
      Why.RetryAfter = std::max(retryAfter(Why),
                                toMillis(recognizableRetryDelay(
                                    Shared.CallerDeadlines, *RequestRoute)));
    endWithError(Why, Ran::No, Reason);
    return;
  }
  endWithError({ErrorKind::OutcomeUnknown, Why.Detail, {}}, Ran::Unknown,
               Reason);
}

/** Ends the request with an error; a stream that has begun is aborted. */
void Exchange::endWithError(const Failure &Why, Ran Executed,
                            const char *Reason) {
  const auto Self = shared_from_this();
  dropAllAttempts();
  const ErrorAnswer &Row = errorAnswerFor(Why.Kind);
  const auto Status = static_cast<unsigned>(Row.HttpStatus);
  Shared.Counters.add(Executed == Ran::No ? ForwardCount::Refused
                                          : ForwardCount::Failed);
  logEnd(Row.Name, HeadSent ? 0 : Status, Reason);
  const auto To = Session;
  finish();
  if (HeadSent) { // A regular end would make the stream look complete.
    To->abort();
    return;
  }
  CallerAnswer Out;
  Out.result(Status);
  Out.set(http::field::content_type, "application/json");
  const Millis RetryDelay = spreadRetryAfter(
      Why, RequestDeadline - Shared.Clock.now(), Shared.Pool.Random);
  const bool MayRetry = Executed == Ran::No && (Status == 503 || Status == 429);
  if (MayRetry && RetryDelay.count() > 0)
    Out.set(http::field::retry_after, formatSeconds(RetryDelay));
  Out.body() = errorBody(Why, Executed, RequestId{Id});
  To->answer(std::move(Out));
}

/** Cancels the request, since its caller closed the connection. */
void Exchange::handleCallerDisconnect() {
  const auto Self = shared_from_this();
  if (!Session)
    return;
  // Nobody waits for the response any more: free the back end for others.
  dropAllAttempts();
  Shared.Counters.add(ForwardCount::CallersGone);
  logEnd("caller_gone", 0, HeadSent ? "in_stream" : "before_answer");
  finish();
}

/** Detaches the exchange from its session and timer; nothing happens after
 * this. */
void Exchange::finish() {
  Timer.cancel();
  Session.reset();
}

} // namespace jacinthpond
