/** @file forwarder.cpp Listeners and thread of requests on routes. */

#include "forward/forwarder.h"

#include "forward/exchange.h"
#include "forward/socket_options.h"
#include "forwarding/caller_age_func.h"
#include "forwarding/fleet_snapshot_func.h"
#include "forwarding/liveness_func.h"
#include "http/http_server.h"
#include "log/log.h"
#include "routing/directory_func.h"
#include "threads/process.h"
#include "weights/weights_func.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace jacinthpond {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/** Connections that the kernel accepts for us before we do. */
constexpr int ListenBacklog = 1024;
/** Wait before accepting again when no descriptor is left. */
constexpr Millis AcceptPause{50};
/** Time between two looks for old idle connections. */
constexpr Millis SweepPeriod{1000};
/** Time between two looks whether the thread runs in time, and the delay that
 * is worth a line. */
constexpr Millis StallPeriod{250};
constexpr Millis LongStall{200};

ErrorKind kindOf(unsigned Status) {
  if (Status == 408)
    return ErrorKind::SlowCaller;
  if (Status == 413)
    return ErrorKind::TooLarge;
  return ErrorKind::BadRequest;
}

CallerAnswer badRequest(unsigned Status) {
  CallerAnswer Out;
  Out.result(Status);
  Out.set(http::field::content_type, "application/json");
  Out.body() = errorBody({kindOf(Status), "", {}}, Ran::No, {});
  return Out;
}

} // namespace

Forwarder::Forwarder(const Settings &Config, const WirePort &Wire,
                     TrafficMetrics &Timings)
    : Config(Config), Shared(Wire, Timings), SweepTimer(Shared.Io),
      StallTimer(Shared.Io) {
  Shared.Pool.Options.Self.Value = Config.Name;
  Shared.Pool.Options.Domain.Value = Config.Domain;
  takeOptions(Config);
  Shared.Pool.Random ^= std::hash<std::string>{}(Config.Name) | 1U;
  Shared.PlacePrefix =
      Config.Name + "/" + std::to_string(randomIncarnation()) + "/";
}

void Forwarder::takeOptions(const Settings &From) {
  Shared.Pool.Options.FormerWeightsFor = formerWeightsTime(From);
  Shared.Pool.Options.LapseGrace = Millis(From.LapseGraceMillis);
  Shared.Repeats.Limits = {From.RepeatRatio,
                           static_cast<uint32_t>(From.RepeatSlack),
                           std::chrono::seconds(From.RepeatWindowSeconds)};
}

void Forwarder::reload(const Settings &Changed) {
  boost::asio::post(Shared.Io, [this, Changed] { takeOptions(Changed); });
}

Forwarder::~Forwarder() {
  Shared.Io.stop();
  if (Traffic.joinable())
    Traffic.join();
}

SessionRules Forwarder::rulesFor(
    std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
        OnRequest) {
  SessionRules Rules;
  Rules.OnRequest = std::move(OnRequest);
  Rules.OnBadRequest = badRequest;
  Rules.Limits = [this] {
    return Shared.Doc ? Shared.Doc->Limits : CallerLimits{};
  };
  Rules.Leaving = [this] { return Shared.Leaving.load(); };
  return Rules;
}

bool Forwarder::start() {
  Shared.Fleet.ReadyBy =
      joinedBy(Shared.Clock.now(), Millis(Config.JoinWaitMillis));
  const bool Listening =
      listen(Config.RouteListen,
             rulesFor([this](const auto &Session, CallerRequest Asked) {
               std::make_shared<Exchange>(Shared, Session, std::move(Asked))
                   ->start();
             })) &&
      listen(Config.ReadyListen,
             rulesFor([this](const auto &Session, const CallerRequest &) {
               answerReady(*Session);
             })) &&
      listen(Config.DirectoryListen,
             rulesFor([this](const auto &Session, const CallerRequest &Asked) {
               answerDirectory(*Session, Asked);
             }));
  if (!Listening)
    return false;
  sweep();
  watchStalls();
  Traffic = std::thread([this] {
    for (;;) {
      try {
        Shared.Io.run();
        return;
      } catch (const std::exception &Why) {
        // One request failed in a way nobody thought of; the others go on.
        logLine(LogPart::Requests, LogLevel::Error,
                std::string("event=traffic_fault why=") + Why.what());
      }
    }
  });
  return true;
}

bool Forwarder::listen(const std::string &At, SessionRules Rules) {
  if (At.empty())
    return true;
  const auto Where = endpointOf(At);
  if (!Where)
    return false;
  Listener &One = Listeners.emplace_back(
      Listener{Tcp::acceptor(Shared.Io), std::move(Rules),
               boost::asio::steady_timer(Shared.Io)});
  Error ec;
  One.Accepting.open(Where->protocol(), ec);
  if (!ec)
    One.Accepting.set_option(Tcp::acceptor::reuse_address(true), ec);
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

void Forwarder::accept(Listener &On) {
  On.Accepting.async_accept([this, &On](const Error &ec, Tcp::socket Socket) {
    if (ec == boost::asio::error::operation_aborted)
      return;
    if (!ec) {
      std::make_shared<CallerSession>(std::move(Socket), On.Rules)->start();
      accept(On);
      return;
    }
    logLine(LogPart::Main, LogLevel::Warn,
            "event=accept_failed why=" + ec.message());
    On.Pause.expires_after(AcceptPause);
    On.Pause.async_wait([this, &On](const Error &Ended) {
      if (!Ended)
        accept(On);
    });
  });
}

void Forwarder::sweep() {
  Shared.Connections.sweep(Shared.Clock.now());
  SweepTimer.expires_after(SweepPeriod);
  SweepTimer.async_wait([this](const Error &ec) {
    if (!ec)
      sweep();
  });
}

/** A thread that gets no processor reads requests late, and no line of theirs
 * shows it: their times begin when they are read. */
void Forwarder::watchStalls() {
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
    watchStalls();
  });
}

void Forwarder::follow(DocumentPtr Doc,
                       std::optional<TimePoint> PublishedAfter) {
  boost::asio::post(Shared.Io, [this, Doc = std::move(Doc), PublishedAfter] {
    const TimePoint Now = Shared.Clock.now();
    Shared.Doc = Doc;
    Shared.DocSince = Now;
    Shared.Index = makeRouteIndex(*Doc);
    forgetOtherRoutes(Shared.Callers, *Doc);
    poolFollows(Shared.Pool, Doc, PublishedAfter, Now);
    letHeldGoOn();
  });
}

void Forwarder::letHeldGoOn() {
  if (!Shared.Fleet.Ready || Shared.Doc == nullptr)
    return;
  for (const auto &One : std::exchange(Shared.Held, {}))
    if (const auto Waiter = One.lock())
      Waiter->viewCame();
}

void Forwarder::hostAnswered(LinkId Link) {
  boost::asio::post(Shared.Io, [this, Link] { hostHeard(Shared.Pool, Link); });
}

void Forwarder::rateTold(const RateHeard &Heard) {
  boost::asio::post(Shared.Io, [this, Heard] {
    const RateChange Change =
        jacinthpond::rateTold(Shared.Pool, Heard, Shared.Clock.now());
    // In a large fleet not all entries have links to each other.
    if (Change != RateChange::None)
      Shared.SendToEntries(Heard);
  });
}

void Forwarder::placeAnswered(LinkId Link, const PlaceAnswer &Answer) {
  boost::asio::post(Shared.Io, [this, Link, Answer] {
    hostHeard(Shared.Pool, Link);
    // Taken out with its answer: one that is left would keep the memory of its
    // request.
    const auto Node = Shared.Waiting.extract(Answer.Place);
    if (const auto Waiter = Node ? Node.mapped().lock() : nullptr)
      Waiter->placeAnswered(Answer);
  });
}

void Forwarder::told(std::vector<AgentNews> News) {
  boost::asio::post(Shared.Io, [this, News = std::move(News)] {
    const TimePoint Now = Shared.Clock.now();
    for (const AgentNews &One : News)
      agentTold(Shared.Pool, One, Now);
  });
}

void Forwarder::fleet(FleetSnapshot Fleet) {
  boost::asio::post(Shared.Io, [this, Fleet = std::move(Fleet)] {
    listingAway(Shared.Pool, Fleet.ListingAway, Shared.Clock.now());
    Shared.Pool.Entries = Fleet.Sharers;
    Shared.Pool.Sharers = Fleet.SharerNames;
    Shared.Fleet = Fleet;
    letHeldGoOn();
  });
}

void Forwarder::answerReady(CallerSession &To) const {
  CallerAnswer Out;
  const bool Ready = Shared.Fleet.Ready && Shared.Doc && !Shared.Leaving;
  Out.result(Ready ? http::status::ok : http::status::service_unavailable);
  To.answer(std::move(Out));
}

void Forwarder::answerDirectory(CallerSession &To,
                                const CallerRequest &Asked) const {
  CallerAnswer Out;
  const auto Question = Shared.Wire.directoryQuestion(
      std::string_view(Asked.target().data(), Asked.target().size()));
  if (!Question) {
    Out.result(http::status::not_found);
    To.answer(std::move(Out));
    return;
  }
  const std::vector<Address> Entries = directoryAnswer(
      Shared.Fleet.Alive, Shared.Doc.get(), Question->Domain, Question->Region);
  // Without any address the caller asks the next entry.
  Out.result(Entries.empty() ? http::status::service_unavailable
                             : http::status::ok);
  Out.set(http::field::content_type, "application/json");
  Out.body() =
      Shared.Wire.directoryAnswer(Entries, Millis(Config.AddressKeepMillis));
  To.answer(std::move(Out));
}

} // namespace jacinthpond
