/** @file caller_api.cpp HTTP API of an entry for callers. */

#include "caller_api.h"

#include "attempts/keyed_call_func.h"
#include "base/hash_func.h"
#include "base/overloaded.h"
#include "configuration/document_func.h"
#include "http/guarded_server.h"
#include "log/log.h"
#include "routing/entry_addresses_func.h"
#include "settings/resource_shares_func.h"
#include "threads/process.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Time without an event after which a stream gets a keep-alive comment, and
 * after which a waiting call checks whether its caller left. */
constexpr Millis KeepAlivePeriod{1000};
/** Longest workspace name, idempotency key or class name, in bytes. */
constexpr size_t MaxNameBytes = 128;
/** Longest home token, in bytes. */
constexpr size_t MaxHomeTokenBytes = 6144;

/** Serializes JSON; replaces bytes that are not valid UTF-8. */
std::string toJsonText(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** Makes a request id that is unique in this process and, through a number
 * chosen at random at its start, most likely among processes too. */
RequestId makeRequestId() {
  static std::atomic<uint64_t> Next{1};
  static const uint64_t Run = randomIncarnation();
  return RequestId{"r" + std::to_string(Run % 1000000007) + "-" +
                   std::to_string(Next++)};
}

/**
 * Says whether a text has no control characters, so that it can be logged. A
 * line feed would let a caller forge log lines.
 */
bool isPrintable(const std::string &Text) {
  return std::ranges::none_of(Text,
                              [](unsigned char c) { return std::iscntrl(c); });
}

/** Parses and validates path, headers and body of a caller's request. */
Result<CallRequest> parseCall(const httplib::Request &Req) {
  CallRequest Call;
  Call.Request = makeRequestId();
  Call.Class.Value = Req.matches[1];
  Call.Workspace.Value = Req.get_header_value("X-Tenant");
  Call.Key.Value = Req.get_header_value("Idempotency-Key");
  Call.Token = Req.get_header_value("X-Home-Token");
  Call.Body = Req.body;
  if (Call.Workspace.Value.empty())
    return fail(ErrorKind::BadRequest, "header X-Tenant is missing");
  const std::array Names = {&Call.Workspace.Value, &Call.Key.Value,
                            &Call.Class.Value};
  if (std::ranges::any_of(
          Names, [](const auto *One) { return One->size() > MaxNameBytes; }))
    return fail(ErrorKind::TooLarge, "a name is too long");
  if (std::ranges::any_of(Names,
                          [](const auto *One) { return !isPrintable(*One); }))
    return fail(ErrorKind::BadRequest, "a name has control characters");
  if (Call.Token.size() > MaxHomeTokenBytes)
    return fail(ErrorKind::TooLarge, "X-Home-Token is too long");
  const std::string Deadline = Req.get_header_value("X-Deadline-Ms");
  if (!Deadline.empty()) {
    int64_t n = 0;
    const auto Parsed =
        std::from_chars(Deadline.data(), Deadline.data() + Deadline.size(), n);
    if (Parsed.ec != std::errc{} ||
        Parsed.ptr != Deadline.data() + Deadline.size() || n <= 0)
      return fail(ErrorKind::BadRequest,
                  "X-Deadline-Ms: found " + Deadline +
                      ", allowed: a whole number above 0");
    Call.Deadline = Millis(n);
  }
  if (!Json::accept(Call.Body))
    return fail(ErrorKind::BadRequest, "the body is no JSON");
  return Call;
}

/** Formats an event of a text/event-stream. */
std::string formatSseEvent(const char *Name, const std::string &Data) {
  return std::string("event: ") + Name + "\ndata: " + Data + "\n\n";
}

/** Formats an event of a call for a stream; sets Final if it is the last. */
std::string formatStreamEvent(const CallEvent &Event, const RequestId &Request,
                              bool &Final) {
  return std::visit(
      Overloaded{
          [&](const CallPart &e) {
            return formatSseEvent("token", toJsonText({{"text", e.Data}}));
          },
          [&](const CallEnd &e) {
            Final = true;
            return formatSseEvent("end",
                                  toJsonText({{"count", e.Count},
                                              {"sha256", e.Content.Value},
                                              {"weights", e.Weights.Value},
                                              {"request_id", Request.Value}}));
          },
          [&](const CallError &e) {
            Final = true;
            return formatSseEvent("error", errorBody(e.Why, e.Executed, Request,
                                                     e.AlternativeEntries));
          }},
      Event);
}

/** Measures the latencies of one call and logs its outcome. */
class CallTimer {
public:
  /** Starts to measure a call that is about to be submitted. */
  CallTimer(EntryShell &Entry, const CallRequest &Call)
      : Shell(Entry), Doc(Entry.document()), Workspace(Call.Workspace),
        Class(Call.Class), Request(Call.Request),
        StartTime(Entry.clock().now()) {}

  /** Records an event of the call. */
  void recordEvent(const CallEvent &Event) {
    std::visit(Overloaded{[this](const CallPart &) { recordPart(); },
                          [this](const CallEnd &) {
                            observe(Timing::Whole, StartTime);
                            logOutcome(LogLevel::Debug, "answered");
                          },
                          [this](const CallError &e) {
                            logOutcome(
                                LogLevel::Info,
                                std::string(errorAnswerFor(e.Why.Kind).Name) +
                                    ", ran " +
                                    std::string(ranName(e.Executed)));
                          }},
               Event);
  }

private:
  /** Adds the time since From to a histogram. */
  void observe(Timing What, TimePoint From) {
    Shell.timings().observe(What, Doc.get(), Workspace, Class,
                            Shell.clock().now() - From);
  }

  /** Records the time to the first part, or since the previous one. */
  void recordPart() {
    observe(PartCount == 0 ? Timing::FirstToken : Timing::BetweenTokens,
            PartCount == 0 ? StartTime : LastPartTime);
    ++PartCount;
    LastPartTime = Shell.clock().now();
  }

  /** Logs how the call ended. */
  void logOutcome(LogLevel Level, const std::string &Reason) const {
    logLine(LogPart::Requests, Level,
            "Request " + Request.Value + " of class " + Class.Value +
                " ended: " + Reason + ".");
  }

  EntryShell &Shell;
  DocumentPtr Doc; ///< In force when the call arrived; limits the labels.
  WorkspaceName Workspace;
  ClassName Class;
  RequestId Request;
  TimePoint StartTime;
  TimePoint LastPartTime; ///< Valid once PartCount is above 0.
  uint64_t PartCount = 0;
};

/** Writes the error that ended a call as a plain HTTP answer. */
void writeCallError(httplib::Response &Res, const CallError &Error,
                    const RequestId &Request) {
  if (!Error.Token.empty())
    Res.set_header("X-Home-Token", Error.Token);
  Res.set_header("X-Request-Id", Request.Value);
  writeError(Res, Error.Why, Error.Executed, Request, Error.AlternativeEntries);
}

/** Waits for the whole answer and writes it. @return False when the caller
 * left. */
bool writeWholeAnswer(CallChannel &Channel, const CallRequest &Call,
                      CallTimer &Timer, httplib::Response &Res) {
  std::string Text;
  for (;;) {
    const auto Event = Channel.pop(KeepAlivePeriod);
    // The caller left: end the call, so that its attempt is cancelled.
    if (isCallerGone())
      return false;
    if (!Event)
      continue;
    Timer.recordEvent(*Event);
    if (const auto *Part = std::get_if<CallPart>(&*Event)) {
      Text += Part->Data;
      continue;
    }
    if (const auto *Error = std::get_if<CallError>(&*Event)) {
      writeCallError(Res, *Error, Call.Request);
      return true;
    }
    const auto &End = std::get<CallEnd>(*Event);
    Res.set_header("X-Request-Id", Call.Request.Value);
    if (End.Weights.Value.empty()) {
      Res.status = End.Status;
      Res.set_content(Text, "application/json");
      return true;
    }
    Res.set_content(toJsonText({{"text", Text},
                                {"count", End.Count},
                                {"sha256", End.Content.Value},
                                {"weights", End.Weights.Value},
                                {"request_id", Call.Request.Value}}),
                    "application/json");
    return true;
  }
}

/** A streamed answer; finishes the call when the HTTP library destroys it. */
struct OpenStream {
  EntryShell &Shell;                     ///< The entry.
  std::shared_ptr<CallChannel> Channel;  ///< Source of the events.
  CallRequest Call;                      ///< The call that is answered.
  CallTimer Timer;                       ///< Its latencies.
  std::optional<CallEvent> PendingEvent; ///< Read before the stream began.
  bool Final = false; ///< The final event was taken from the channel.

  OpenStream(EntryShell &Entry, std::shared_ptr<CallChannel> From,
             CallRequest Owner, CallTimer Started, CallEvent FirstEvent)
      : Shell(Entry), Channel(std::move(From)), Call(std::move(Owner)),
        Timer(std::move(Started)), PendingEvent(std::move(FirstEvent)) {}
  ~OpenStream() { Shell.finishCall(Call.Call, Final); }
  OpenStream(const OpenStream &) = delete;
  OpenStream &operator=(const OpenStream &) = delete;

  /** Writes the next event, or a keep-alive comment when none comes in time.
   * @return False when the caller left. */
  bool writeNextEvent(httplib::DataSink &Sink) {
    const auto Event = PendingEvent ? std::exchange(PendingEvent, std::nullopt)
                                    : Channel->pop(KeepAlivePeriod);
    if (Event)
      Timer.recordEvent(*Event);
    const std::string Text =
        Event ? formatStreamEvent(*Event, Call.Request, Final)
              : ": keep-alive\n\n";
    if (!Sink.write(Text.data(), Text.size()))
      return false;
    if (Final)
      Sink.done();
    return true;
  }
};

/** Waits for the first event, then starts to stream the answer; an error before
 * the first token is sent as a plain answer. */
void startAnswerStream(EntryShell &Shell, std::shared_ptr<CallChannel> Channel,
                       const CallRequest &Call, CallTimer Timer,
                       httplib::Response &Res) {
  std::optional<CallEvent> FirstEvent;
  while (!(FirstEvent = Channel->pop(KeepAlivePeriod)))
    if (isCallerGone()) {
      Shell.finishCall(Call.Call, false);
      return;
    }
  if (const auto *Error = std::get_if<CallError>(&*FirstEvent)) {
    Timer.recordEvent(*FirstEvent);
    writeCallError(Res, *Error, Call.Request);
    Shell.finishCall(Call.Call, true);
    return;
  }
  const auto Stream =
      std::make_shared<OpenStream>(Shell, std::move(Channel), Call,
                                   std::move(Timer), std::move(*FirstEvent));
  Res.set_header("X-Request-Id", Call.Request.Value);
  Res.set_chunked_content_provider("text/event-stream",
                                   [Stream](size_t, httplib::DataSink &Sink) {
                                     return Stream->writeNextEvent(Sink);
                                   });
}

/** Handles a request of a class: submits the call and answers it whole or, if
 * the caller accepts text/event-stream, as a stream. */
void handleCall(EntryShell &Shell, const httplib::Request &Req,
                httplib::Response &Res) {
  Outcome<CallRequest> Parsed = outcomeOf([&] { return parseCall(Req); });
  if (!Parsed.Value) {
    writeError(Res, Parsed.Why, Ran::No, {});
    return;
  }
  CallRequest &Call = *Parsed.Value;
  Call.Caller = Req.remote_addr;
  CallTimer Timer(Shell, Call);
  auto Channel = Shell.submitCall(Call);
  if (Req.get_header_value("Accept") == "text/event-stream") {
    startAnswerStream(Shell, std::move(Channel), Call, std::move(Timer), Res);
    return;
  }
  const bool Finished = writeWholeAnswer(*Channel, Call, Timer, Res);
  Shell.finishCall(Call.Call, Finished);
}

/** Issues a home token for a class whose calls must not be repeated. */
void handleHomeToken(EntryShell &Shell, const httplib::Request &Req,
                     httplib::Response &Res) {
  const ClassName Class{Req.matches[1]};
  std::string Token;
  bool Known = false;
  bool Ready = false;
  Shell.inspect([&](const EntryState &Entry, TimePoint) {
    const Document *Doc = Entry.View.InForce.get();
    Ready = Doc != nullptr;
    const WorkClass *Row = Doc == nullptr ? nullptr : findClass(*Doc, Class);
    Known = Row != nullptr && !Row->Repeatable;
    Token = makeHomeToken(Entry, Class);
  });
  if (!Ready) {
    writeError(Res, {ErrorKind::StaleView, "no configuration yet", {}}, Ran::No,
               {});
    return;
  }
  if (!Known) {
    writeError(
        Res, {ErrorKind::NotFound, "no class with tokens: " + Class.Value, {}},
        Ran::No, {});
    return;
  }
  if (Token.empty()) {
    writeError(Res, {ErrorKind::NoWorker, "no home is ready", {}}, Ran::No, {});
    return;
  }
  Res.set_content(toJsonText({{"class", Class.Value}, {"token", Token}}),
                  "application/json");
}

/** Lists the entries that a caller can use, in an order that depends on a hash
 * of its address, so that callers spread over the entries. */
void handleEntries(EntryShell &Shell, const Settings &Config,
                   const httplib::Request &Req, httplib::Response &Res) {
  Json Body = {{"entries", Json::array()},
               {"keep_ms", Config.AddressKeepMillis}};
  Shell.inspect([&](const EntryState &Entry, TimePoint) {
    for (const Address &At : entryAddressesFor(Entry, Req.remote_addr))
      Body["entries"].push_back(At.Value);
  });
  Res.set_content(Body.dump(), "application/json");
}

} // namespace

namespace {

/** Copies of a request while it is served: as received, as the library, the
 * control thread and the link to the agent have it. */
constexpr size_t RequestCopies = 4;

/** Returns the limits of the listener according to the settings. */
ListenerLimits listenerLimits(const Settings &Config) {
  const ResourceShares Shares = resourceShares(Config, descriptorLimit());
  ListenerLimits Limits;
  Limits.Name = "callers";
  Limits.MaxConnections = Shares.CallerConnections;
  Limits.MaxBytes = Shares.CallerBytes;
  Limits.Copies = RequestCopies;
  Limits.Threads = static_cast<size_t>(Config.CallerThreads);
  Limits.MaxBodyBytes = static_cast<size_t>(Config.MaxBodyBytes);
  Limits.ReadTimeout = Millis(Config.CallerReadMillis);
  // Answers can take long, so a caller for whom no thread is free is refused
  // at once instead of queued.
  Limits.MaxQueued = 0;
  return Limits;
}

} // namespace

CallerApi::CallerApi(const Settings &Config, EntryShell &Shell)
    : Config(Config), Shell(Shell),
      Server(std::make_unique<GuardedServer>(listenerLimits(Config))) {
  // A caller on a persistent connection would go on using an entry that shuts
  // down.
  Server->set_post_routing_handler(
      [this](const httplib::Request &, httplib::Response &Res) {
        if (this->Shell.isLeaving())
          Res.set_header("Connection", "close");
      });
  Server->Get("/v1/entries", [this](const auto &Req, auto &Res) {
    handleEntries(this->Shell, this->Config, Req, Res);
  });
  Server->Get(R"(/v1/classes/([^/]+)/token)",
              [this](const auto &Req, auto &Res) {
                handleHomeToken(this->Shell, Req, Res);
              });
  Server->Post(R"(/v1/classes/([^/]+)/requests)",
               [this](const auto &Req, auto &Res) {
                 handleCall(this->Shell, Req, Res);
               });
}

CallerApi::~CallerApi() { Server->drainAndStop(AcceptThread); }

std::string CallerApi::start() {
  return startServer(*Server, Config.CallerListen, AcceptThread);
}

} // namespace jacinthpond
