/** @file exchange.cpp One request on a route, from its arrival to its answer.
 */

#include "forward/exchange.h"

#include "forward/forward_headers.h"
#include "forward/header_fields.h"
#include "forward/log_value.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/come_back_func.h"
#include "http/http_server.h"
#include "log/log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;

namespace {

/** Longest wait for a connection: several times the way between regions. */
constexpr Millis ConnectLimit{300};
/** Connections tried at most for one request; none of them sends anything
 * unless it comes about. */
constexpr uint32_t MaxTries = 5;
/** Time left below which an attempt could not be answered any more. */
constexpr Millis LeastRemaining{10};
constexpr int64_t MostRemaining = int64_t{3600} * 1000;
/** Requests that wait until a new entry has a view of the fleet; their bodies
 * are held meanwhile. */
constexpr size_t MostHeld = 256;

/** Chooses among the services of a route by their weights. */
const ServiceName &pickTarget(const Route &From, std::string_view Id) {
  uint64_t Sum = 0;
  for (const RouteTarget &One : From.Targets)
    Sum += One.Weight;
  if (Sum == 0)
    return From.Targets.front().Service;
  uint64_t Point = std::hash<std::string_view>{}(Id) % Sum;
  const auto it =
      std::ranges::find_if(From.Targets, [&](const RouteTarget &One) {
        if (Point < One.Weight)
          return true;
        Point -= One.Weight;
        return false;
      });
  return it->Service;
}

std::string secondsText(Millis Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(Time.count()) / 1000);
  return Text.data();
}

} // namespace

Exchange::Exchange(ForwardContext &Shared,
                   std::shared_ptr<CallerSession> Session, CallerRequest Asked)
    : Shared(Shared), Session(std::move(Session)), Asked(std::move(Asked)),
      Arrived(Shared.Clock.now()), LastGiven(Arrived), Timer(Shared.Io) {
  ++Shared.Open;
}

Exchange::~Exchange() { --Shared.Open; }

void Exchange::start() {
  Shared.Counters.add(ForwardCount::Requests);
  Id = fieldOf(Asked, Shared.Wire.names().AttemptId);
  Session->workedOnBy(shared_from_this());
  readDeadline();
  if (waitForView())
    return;
  begin();
}

/**
 * Holds a request that came while this entry joins the fleet. After a restart
 * of all entries the callers whose connections broke come at once, within the
 * quarter of a second that a view takes. They have one more try: refused, they
 * would be gone, while their back ends are idle.
 */
bool Exchange::waitForView() {
  if (hasView() || Shared.Refusing ||
      Shared.Clock.now() >= std::min(Shared.Fleet.ReadyBy, Limit) ||
      Shared.Held.size() >= MostHeld)
    return false;
  HeldForView = true;
  Shared.Held.push_back(weak_from_this());
  logHeld();
  armTimer();
  return true;
}

void Exchange::viewCame() {
  if (!Session || !HeldForView)
    return;
  HeldForView = false;
  begin();
}

bool Exchange::hasView() const {
  return Shared.Doc != nullptr && Shared.Fleet.Ready;
}

/** Sends the request on, or refuses it. */
void Exchange::begin() {
  Doc = Shared.Doc;
  if (!findRoute() || !checkCaller())
    return;
  Age = callerAge(Shared.Callers, *From, Limit - Arrived);
  Limit = std::min(Limit, Arrived + From->Timeout);
  Needs.Service = pickTarget(*From, Id);
  Needs.From = From;
  Needs.Owner = Owner;
  if (const auto Last =
          numberIn(fieldOf(Asked, Shared.Wire.names().LastEventId)))
    Events.LastId = static_cast<uint64_t>(*Last);
  armTimer();
  countFirst(Shared.Repeats, Needs.Service, Arrived);
  tryNext();
}

bool Exchange::findRoute() {
  if (!hasView()) {
    endWith({ErrorKind::StaleView, "no configuration yet", {}}, Ran::No,
            "no_configuration");
    return false;
  }
  if (Shared.Refusing) {
    endWith({ErrorKind::Leaving, "", {}}, Ran::No, "leaving");
    return false;
  }
  From = matchRoute(Shared.Index, fieldOf(Asked, "Host"), view(Asked.target()));
  if (From == nullptr) {
    endWith({ErrorKind::NotFound, "no route", {}}, Ran::No, "no_route");
    return false;
  }
  return true;
}

bool Exchange::checkCaller() {
  if (!Shared.Index.KeysWanted)
    return true;
  Owner = matchTenant(Shared.Index, fieldOf(Asked, "Authorization"));
  if (Owner != nullptr || From->Anonymous)
    return true;
  endWith({ErrorKind::Unauthorized, "", {}}, Ran::No, "unknown_key");
  return false;
}

void Exchange::readDeadline() {
  const auto Told = numberIn(fieldOf(Asked, Shared.Wire.names().Remaining));
  Limit = Arrived + Millis(std::clamp(Told.value_or(MostRemaining), int64_t{0},
                                      MostRemaining));
}

/** Gives the urgency: a tenant's goes before its route's. */
uint32_t Exchange::rank() const {
  return Owner != nullptr && Owner->Rank ? *Owner->Rank : From->Rank;
}

bool Exchange::attemptsLeft() const {
  return Sent < From->MaxAttempts && Tries < MaxTries;
}

/** Says whether the request may run again although it may have run. */
bool Exchange::canRepeat() const {
  if (From->Kind == RouteKind::Stream)
    return From->Resumable;
  return From->Kind == RouteKind::Idempotent;
}

void Exchange::tryNext() {
  const TimePoint Now = Shared.Clock.now();
  if (neededBy() - Now < LeastRemaining) {
    limitCame();
    return;
  }
  if (!attemptsLeft()) {
    endWithoutServer({ErrorKind::Overloaded, "no attempt left", {}},
                     "no_attempt_left");
    return;
  }
  if (!mayAskMore(Search)) {
    endWithoutServer({ErrorKind::Overloaded, "no place", RoomIn}, "no_place");
    return;
  }
  ServerChoice Choice = chooseServer(Shared.Pool, Needs, Now);
  if (Choice.Server == nullptr && takeBusyOnes(Search, Needs))
    Choice = chooseServer(Shared.Pool, Needs, Now);
  if (Choice.Server == nullptr) {
    refusedBy(Choice);
    return;
  }
  if (Sent > 0) {
    if (!mayRepeat(Shared.Repeats, Needs.Service, Shared.Pool.Entries, Now)) {
      endWithoutServer({ErrorKind::Overloaded, "retry budget used up", {}},
                       "retry_budget");
      return;
    }
    Shared.Counters.add(ForwardCount::Repeats);
    if (HeadSent)
      Shared.Counters.add(ForwardCount::Resumes);
  }
  logAttempt(*Choice.Server, Choice);
  At = Choice.Server->Listed.Id;
  attemptOpened(Shared.Pool, At);
  if (hasAgent(*Choice.Server))
    askPlace(*Choice.Server);
  else
    sendTo(*Choice.Server);
}

void Exchange::refusedBy(const ServerChoice &Choice) {
  const bool Full = Choice.Why == PoolRefusal::AllFull || !Needs.Full.empty();
  const char *Reason = Full ? "all_full" : "none_usable";
  if (Choice.Limited > 0 && Choice.Limited == Choice.Candidates)
    Reason = "all_at_rate";
  endWithoutServer({Full ? ErrorKind::Overloaded : ErrorKind::NoWorker,
                    Needs.Service.Value,
                    RoomIn.count() > 0 ? RoomIn : Choice.RetryAfter},
                   Reason);
}

void Exchange::sendTo(const ServerView &Server) {
  const TimePoint Now = Shared.Clock.now();
  const HeaderNames &Names = Shared.Wire.names();
  if (PlaceId.Value.empty())
    sentPastAgent(Shared.Pool, At, Now);
  PassedOn Passed;
  Passed.Remaining = toMillis(Limit - Now);
  Passed.Server = Server.Listed.Id;
  Passed.Version = versionToDemand(Shared.Pool, At, Now);
  if (HeadSent) { // Goes on with the weights that began it.
    Passed.Version = fieldOf(Head, Names.WeightVersion);
    Passed.LastEventId = Events.LastId;
  }
  Passed.Tenant = Owner == nullptr ? "" : Owner->Name.Value;
  Passed.Rank = rank();
  CallPlan Plan;
  Plan.To = Server.Listed.At;
  Plan.Bytes = requestBytes(Asked, Names, Passed);
  Plan.IdHeader = Names.AttemptId;
  Plan.AttemptId = Id;
  // A kept connection may be closed by the other end just as the request is
  // sent. Whether it ran is then unknown, so what may not be repeated goes over
  // a new one: a round trip more, and no lost bookings.
  Plan.NewConnection = NewConnection || !canRepeat();
  Plan.NoBody = Asked.method() == http::verb::head;
  Plan.MostKept = connectionsToKeep(Shared.Pool, Server.Listed.Service);
  Mode = AnswerMode::Waiting;
  Body.clear();
  dropPartialEvent(Events);
  CallBegan = Now;
  SentOn = Server.Weights;
  LastProgress = Now;
  ++Tries;
  ++Sent; // Taken back where no connection comes about.
  Places += (Places.empty() ? "" : ",") + At.Value;
  Call = std::make_shared<BackEndCall>(Shared.Io, Shared.Connections,
                                       std::move(Plan), *this);
  armTimer();
  Call->start(std::min(ConnectLimit, toMillis(Limit - Now)));
}

void Exchange::attemptOver(AttemptEnd How) {
  const TimePoint Now = Shared.Clock.now();
  const bool WasSent = Call != nullptr;
  const bool Open = WasSent || Asking;
  if (WasSent && How != AttemptEnd::Answered)
    logAttemptEnd(How, Now - CallBegan);
  placeOver(How);
  if (!Open)
    return;
  Call.reset();
  attemptClosed(Shared.Pool, At, WasSent ? How : AttemptEnd::NotSent,
                Now - CallBegan, Now);
}

/** No back end can take it: it is refused, unless it may have run. */
void Exchange::endWithoutServer(Failure Why, const char *Reason) {
  if (!MayHaveRun) {
    if (Why.Kind == ErrorKind::Overloaded)
      Why.RetryAfter = std::max(retryAfter(Why),
                                toMillis(awayToBeKnown(Shared.Callers, *From)));
    endWith(Why, Ran::No, Reason);
    return;
  }
  endWith({ErrorKind::OutcomeUnknown, Why.Detail, {}}, Ran::Unknown, Reason);
}

void Exchange::endWith(const Failure &Why, Ran Executed, const char *Reason) {
  const auto Self = shared_from_this();
  if (Call)
    Call->cancel();
  attemptOver(AttemptEnd::Dropped);
  const ErrorAnswer &Row = answerFor(Why.Kind);
  const auto Status = static_cast<unsigned>(Row.HttpStatus);
  Shared.Counters.add(Executed == Ran::No ? ForwardCount::Refused
                                          : ForwardCount::Failed);
  logEnd(Row.Name, HeadSent ? 0 : Status, Reason);
  const auto To = Session;
  finish();
  if (HeadSent) { // An end that looked whole would hide what is missing.
    To->abort();
    return;
  }
  CallerAnswer Out;
  Out.result(Status);
  Out.set(http::field::content_type, "application/json");
  const Millis Again =
      comeBackAfter(Why, Limit - Shared.Clock.now(), Shared.Pool.Random);
  const bool Promises = Executed == Ran::No && (Status == 503 || Status == 429);
  if (Promises && Again.count() > 0)
    Out.set(http::field::retry_after, secondsText(Again));
  Out.body() = errorBody(Why, Executed, RequestId{Id});
  To->answer(std::move(Out));
}

void Exchange::callerGone() {
  const auto Self = shared_from_this();
  if (!Session)
    return;
  // Whoever left needs no answer: the back end is free for others.
  if (Call)
    Call->cancel();
  attemptOver(AttemptEnd::Dropped);
  Shared.Counters.add(ForwardCount::CallersGone);
  logEnd("caller_gone", 0, HeadSent ? "in_stream" : "before_answer");
  finish();
}

void Exchange::finish() {
  Timer.cancel();
  Session.reset();
}

} // namespace jacinthpond
