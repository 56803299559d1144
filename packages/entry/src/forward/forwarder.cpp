/** @file forwarder.cpp Listeners and traffic thread for requests on routes. */

#include "forward/forwarder.h"

#include "forward/exchange.h"
#include "forward/forward_headers.h"
#include "forward/request_match.h"
#include "forward/socket_options.h"
#include "forward/suspects.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/come_back_func.h"
#include "forwarding/fleet_snapshot_func.h"
#include "forwarding/liveness_func.h"
#include "forwarding/server_notice_func.h"
#include "http/http_server.h"
#include "log/log.h"
#include "routing/directory_func.h"
#include "settings/resource_shares_func.h"
#include "threads/process.h"
#include "weights/weights_func.h"

#include <boost/asio/post.hpp>

#include <array>
#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/** Maximum connections that the kernel queues until they are accepted. */
constexpr int ListenBacklog = 1024;
/** Open connections for each further one that a listener accepts in a turn. */
constexpr size_t OpenPerAccepted = 32;
/** Size of the kernel's receive buffer of a connection: what the kernel has
 * received takes memory of the host as well. */
constexpr int ReceiveBufferBytes = 64 << 10;
/** Delay before accepting again after a failure, e.g. without descriptors. */
constexpr Millis AcceptPause{50};
/** Period of the checks for expired idle connections. */
constexpr Millis SweepPeriod{1000};
/** Period of the checks for delays of the traffic thread, and the delay that is
 * logged. */
constexpr Millis StallPeriod{250};
constexpr Millis LongStall{200};
/** Time that a caller without a known deadline is taken to wait. */
constexpr Millis LongRetryAfter{10000};

/** Answer to a request that is refused before it is complete. */
struct RefusalAnswer {
  unsigned Status; ///< HTTP status.
  ErrorKind Kind;  ///< Kind in its body.
};

/** Answer for each CallerRefusal, in enum order. */
constexpr std::array<RefusalAnswer, static_cast<size_t>(CallerRefusal::Count)>
    RefusalAnswers = {{{400, ErrorKind::BadRequest},
                       {413, ErrorKind::TooLarge},
                       {431, ErrorKind::BadRequest},
                       {408, ErrorKind::SlowCaller},
                       {503, ErrorKind::HostFull},
                       {503, ErrorKind::HostFull},
                       {503, ErrorKind::HostFull}}};

} // namespace

Forwarder::Forwarder(const Settings &Config, const WirePort &Wire,
                     TrafficMetrics &Timings)
    : Config(Config), Shared(Wire, Timings), SweepTimer(Shared.Io),
      StallTimer(Shared.Io) {
  Shared.Pool.Options.Self.Value = Config.Name;
  Shared.Pool.Options.Domain.Value = Config.Domain;
  applySettings(Config);
  Shared.Pool.Random ^= std::hash<std::string>{}(Config.Name) | 1U;
  Shared.SlotIdPrefix =
      Config.Name + "/" + std::to_string(randomIncarnation()) + "/";
}

/** Response to a request that is refused before it is complete. */
CallerAnswer Forwarder::refusalAnswer(CallerRefusal Why) {
  const RefusalAnswer &Row = RefusalAnswers.at(static_cast<size_t>(Why));
  const Failure Told{Row.Kind, "", {}};
  CallerAnswer Out;
  Out.result(Row.Status);
  Out.set(http::field::content_type, "application/json");
  if (retryAfter(Told).count() > 0)
    Out.set(http::field::retry_after,
            formatSeconds(
                spreadRetryAfter(Told, LongRetryAfter, Shared.Pool.Random)));
  Out.body() = errorBody(Told, Ran::No, {});
  return Out;
}

/** Takes over the settings that may change while the process runs. */
void Forwarder::applySettings(const Settings &From) {
  const ResourceShares Shares = resourceShares(From, descriptorLimit());
  Shared.Callers.setLimits({Shares.CallerBytes, Shares.CallerConnections});
  Shared.Pool.Options.ReplacedWeightsTime = replacedWeightsTime(From);
  Shared.Pool.Options.LapseGrace = Millis(From.LapseGraceMillis);
  Shared.AnswerMemory.Limit = Shares.AnswerBytes;
  Shared.Repeats.Limits = {From.RepeatRatio,
                           static_cast<uint32_t>(From.RepeatSlack),
                           std::chrono::seconds(From.RepeatWindowSeconds)};
}

void Forwarder::reload(const Settings &Changed) {
  boost::asio::post(Shared.Io, [this, Changed] { applySettings(Changed); });
}

Forwarder::~Forwarder() {
  Shared.Io.stop();
  if (Traffic.joinable())
    Traffic.join();
}

/** Callbacks for the sessions of a listener that answers requests with
 * OnRequest. */
SessionCallbacks Forwarder::makeCallbacks(
    std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
        OnRequest) {
  SessionCallbacks Callbacks;
  Callbacks.OnRequest = std::move(OnRequest);
  Callbacks.OnBadRequest = [this](CallerRefusal Why) {
    return refusalAnswer(Why);
  };
  Callbacks.Connections = &Shared.Callers;
  // No body is needed, but for requests on routes.
  Callbacks.OnHead = [](const CallerRequest::header_type &) {
    return HeadDecision{false, std::nullopt};
  };
  Callbacks.Limits = [this] {
    return Shared.Doc ? Shared.Doc->Limits : CallerLimits{};
  };
  Callbacks.IsLeaving = [this] { return Shared.Leaving.load(); };
  return Callbacks;
}

/** Decides whether the body of a request is received: not if its head rules the
 * request out. */
HeadDecision
Forwarder::decideByHead(const CallerRequest::header_type &Head) const {
  if (!isEntryReady(Shared))
    return {}; // It may wait until the entry is ready.
  const RequestMatch Match = matchRequest(Shared, Head);
  if (Match.Refused)
    return {false, std::nullopt};
  return {true, Match.Owner == nullptr ? WorkspaceName{} : Match.Owner->Name};
}

bool Forwarder::start() {
  Shared.Fleet.ReadyBy =
      expectedReadyTime(Shared.Clock.now(), Millis(Config.JoinWaitMillis));
  SessionCallbacks Routes = makeCallbacks([this](const auto &Session,
                                                 CallerRequest Request) {
    std::make_shared<Exchange>(Shared, Session, std::move(Request))->start();
  });
  Routes.OnHead = [this](const CallerRequest::header_type &Head) {
    return decideByHead(Head);
  };
  const bool Listening =
      listen(Config.RouteListen, std::move(Routes)) &&
      listen(Config.ReadyListen,
             makeCallbacks([this](const auto &Session, const CallerRequest &) {
               answerReadinessCheck(*Session);
             })) &&
      listen(Config.DirectoryListen,
             makeCallbacks(
                 [this](const auto &Session, const CallerRequest &Request) {
                   answerDirectoryRequest(*Session, Request);
                 }));
  if (!Listening)
    return false;
  sweep();
  watchForStalls();
  Traffic = std::thread([this] {
    for (;;) {
      try {
        Shared.Io.run();
        return;
      } catch (const std::exception &Why) {
        // An unexpected exception in one request; the others go on.
        logLine(LogPart::Requests, LogLevel::Error,
                std::string("event=traffic_fault why=") + Why.what());
      }
    }
  });
  return true;
}

/** Opens a listener; an empty address means none. */
bool Forwarder::listen(const std::string &At, SessionCallbacks Callbacks) {
  if (At.empty())
    return true;
  const auto Where = parseEndpoint(At);
  if (!Where)
    return false;
  Listener &One = Listeners.emplace_back(
      Listener{Tcp::acceptor(Shared.Io), std::move(Callbacks),
               boost::asio::steady_timer(Shared.Io)});
  Error ec;
  One.Accepting.open(Where->protocol(), ec);
  if (!ec)
    One.Accepting.set_option(Tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    One.Accepting.non_blocking(true, ec);
  // Accepted sockets inherit it. Without it, they only take more memory.
  Error Ignored;
  One.Accepting.set_option(
      boost::asio::socket_base::receive_buffer_size(ReceiveBufferBytes),
      Ignored);
  if (!ec)
    One.Accepting.bind(*Where, ec);
  if (!ec)
    One.Accepting.listen(ListenBacklog, ec);
  if (ec) {
    logLine(LogPart::Main, LogLevel::Error,
            "event=listen_failed at=" + At + " why=" + ec.message());
    return false;
  }
  accept(One);
  return true;
}

/** Accepts connections on a listener until it is closed. */
void Forwarder::accept(Listener &On) {
  On.Accepting.async_accept([this, &On](const Error &ec, Tcp::socket Socket) {
    if (ec == boost::asio::error::operation_aborted)
      return;
    if (ec) {
      pauseAccepting(On, ec);
      return;
    }
    startSession(On, std::move(Socket));
    acceptWaiting(On);
    accept(On);
  });
}

/** Accepts connections that wait already, as many as a turn of all connections
 * takes time: with one at a time, a caller would wait for as many turns as
 * there are callers before it. All at a time, a burst of callers would reach
 * the back ends at once, and more of them would be refused. */
void Forwarder::acceptWaiting(Listener &On) {
  const size_t Further = Shared.Callers.count() / OpenPerAccepted;
  for (size_t n = 0; n < Further; ++n) {
    Error ec;
    Tcp::socket Socket(Shared.Io);
    On.Accepting.accept(Socket, ec);
    if (ec)
      return; // Mostly since no more wait; else the next turn fails as well.
    startSession(On, std::move(Socket));
  }
}

void Forwarder::startSession(Listener &On, Tcp::socket Socket) {
  std::make_shared<CallerSession>(std::move(Socket), On.Callbacks)->start();
}

/** Frees descriptors if there are none, and accepts again after a pause. */
void Forwarder::pauseAccepting(Listener &On, const Error &ec) {
  if (ec == boost::asio::error::no_descriptors)
    Shared.Callers.makeRoom();
  else
    logLine(LogPart::Main, LogLevel::Warn,
            "event=accept_failed why=" + ec.message());
  On.Pause.expires_after(AcceptPause);
  On.Pause.async_wait([this, &On](const Error &Ended) {
    if (!Ended)
      accept(On);
  });
}

/** Closes expired idle connections, now and periodically. */
void Forwarder::sweep() {
  Shared.Connections.closeExpired(Shared.Clock.now());
  Shared.Callers.logEndedSeries();
  dropExpiredSuspects(Shared.Suspects, Shared.Clock.now());
  publishCrashes(Shared);
  dropOldRuns(Shared.Crashes, Shared.Clock.now());
  std::erase_if(Shared.Trials, [this](const auto &Row) {
    return !Shared.Suspects.Suspects.contains(Row.first);
  });
  SweepTimer.expires_after(SweepPeriod);
  SweepTimer.async_wait([this](const Error &ec) {
    if (!ec)
      sweep();
  });
}

/** Logs and counts delays of the traffic thread. A stalled thread reads
 * requests late, and their own log lines don't show it: their times begin when
 * they are read. */
void Forwarder::watchForStalls() {
  const TimePoint Due = Shared.Clock.now() + StallPeriod;
  StallTimer.expires_after(StallPeriod);
  StallTimer.async_wait([this, Due](const Error &ec) {
    if (ec)
      return;
    const Millis Late = toMillis(Shared.Clock.now() - Due);
    if (Late >= LongStall) {
      Shared.Counters.add(ForwardCount::Stalls);
      logLine(LogPart::Requests, LogLevel::Warn,
              "event=stalled thread=traffic ms=" +
                  std::to_string(Late.count()));
    }
    watchForStalls();
  });
}

void Forwarder::setDocument(DocumentPtr Doc,
                            std::optional<TimePoint> PublishedAfter) {
  boost::asio::post(Shared.Io, [this, Doc = std::move(Doc), PublishedAfter] {
    const TimePoint Now = Shared.Clock.now();
    Shared.Doc = Doc;
    Shared.DocSince = Now;
    Shared.Index = makeRouteIndex(*Doc);
    forgetRemovedRoutes(Shared.CallerDeadlines, *Doc);
    applyPoolDocument(Shared.Pool, Doc, PublishedAfter, Now);
    resumeWaitingRequests();
  });
}

/** Resumes the requests that wait for readiness once this entry is ready. */
void Forwarder::resumeWaitingRequests() {
  if (!Shared.Fleet.Ready || Shared.Doc == nullptr)
    return;
  for (const auto &One : std::exchange(Shared.ReadinessWaiters, {}))
    if (const auto Waiter = One.lock())
      Waiter->handleEntryReady();
}

void Forwarder::handlePong(LinkId Link) {
  boost::asio::post(Shared.Io,
                    [this, Link] { recordAgentActivity(Shared.Pool, Link); });
}

void Forwarder::handleRateNotice(const RateLimitNotice &Heard) {
  boost::asio::post(Shared.Io, [this, Heard] {
    const RateChange Change =
        jacinthpond::recordPeerRate(Shared.Pool, Heard, Shared.Clock.now());
    // Passed on, since in a large fleet not all entries are linked directly.
    if (Change != RateChange::None)
      Shared.SendToEntries(Heard);
  });
}

void Forwarder::handleServerLeaving(const ServerLeavingNotice &Heard) {
  boost::asio::post(Shared.Io, [this, Heard] {
    if (!recordPeerLeaving(Shared.Pool, Heard, Shared.Clock.now()))
      return;
    logLine(LogPart::Requests, LogLevel::Info,
            "event=server_leaving from=peer server=" + Heard.Server.Value);
    // Passed on, since in a large fleet not all entries are linked directly.
    Shared.SendToEntries(Heard);
  });
}

void Forwarder::handleSuspectNotice(const SuspectNotice &Notice) {
  boost::asio::post(Shared.Io, [this, Notice] {
    jacinthpond::handleSuspectNotice(Shared, Notice);
  });
}

void Forwarder::handleSlotAnswer(LinkId Link, const SlotAnswer &Answer) {
  boost::asio::post(Shared.Io, [this, Link, Answer] {
    recordAgentActivity(Shared.Pool, Link);
    // Removed with its answer: a weak pointer that stays in the map would keep
    // the memory of its request allocated.
    const auto Node = Shared.SlotWaiters.extract(Answer.SlotId);
    if (const auto Waiter = Node ? Node.mapped().lock() : nullptr)
      Waiter->handleSlotAnswer(Answer);
  });
}

void Forwarder::handleAgentReports(std::vector<AgentReport> News) {
  boost::asio::post(Shared.Io, [this, News = std::move(News)] {
    const TimePoint Now = Shared.Clock.now();
    for (const AgentReport &One : News)
      applyAgentReport(Shared.Pool, One, Now);
  });
}

void Forwarder::setFleet(FleetSnapshot Fleet) {
  boost::asio::post(Shared.Io, [this, Fleet = std::move(Fleet)] {
    setListingUnavailable(Shared.Pool, Fleet.ListingUnavailable,
                          Shared.Clock.now());
    Shared.Pool.Entries = Fleet.Sharers;
    Shared.Pool.Sharers = Fleet.SharerNames;
    Shared.Fleet = Fleet;
    resumeWaitingRequests();
  });
}

/** Answers a readiness check with status 200 or 503. */
void Forwarder::answerReadinessCheck(CallerSession &To) const {
  CallerAnswer Out;
  const bool Ready = Shared.Fleet.Ready && Shared.Doc && !Shared.Leaving;
  Out.result(Ready ? http::status::ok : http::status::service_unavailable);
  To.answer(std::move(Out));
}

/** Answers a caller that asks for the addresses of entries. */
void Forwarder::answerDirectoryRequest(CallerSession &To,
                                       const CallerRequest &Request) const {
  CallerAnswer Out;
  const auto Question = Shared.Wire.parseDirectoryQuery(
      std::string_view(Request.target().data(), Request.target().size()));
  if (!Question) {
    Out.result(http::status::not_found);
    To.answer(std::move(Out));
    return;
  }
  const std::vector<Address> Entries = directoryAddresses(
      Shared.Fleet.Alive, Shared.Doc.get(), Question->Domain, Question->Region);
  // With status 503 the caller asks the next entry.
  Out.result(Entries.empty() ? http::status::service_unavailable
                             : http::status::ok);
  Out.set(http::field::content_type, "application/json");
  Out.body() = Shared.Wire.formatDirectoryAnswer(
      Entries, Millis(Config.AddressKeepMillis));
  To.answer(std::move(Out));
}

} // namespace jacinthpond
