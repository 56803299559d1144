/** @file caller_api.cpp What callers see of an entry, over HTTP. */

#include "caller_api.h"

#include "attempts/keyed_call_func.h"
#include "base/hash_func.h"
#include "base/overloaded.h"
#include "configuration/document_func.h"
#include "http/guarded_server.h"
#include "log/log.h"
#include "routing/entry_addresses_func.h"
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

/** Silence after which a stream gets a comment line that keeps it alive. */
constexpr Millis KeepAlive{1000};
/** Longest text of a header that names something, in bytes. */
constexpr size_t MaxNameBytes = 128;
/** Longest home token, in bytes. */
constexpr size_t MaxTokenBytes = 6144;

std::string dumpJson(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

RequestId makeRequestId() {
  static std::atomic<uint64_t> Next{1};
  static const uint64_t Run = randomIncarnation();
  return RequestId{"r" + std::to_string(Run % 1000000007) + "-" +
                   std::to_string(Next++)};
}

/**
 * Says whether a text may stand in a log line. A line feed would let a caller
 * write lines of its own.
 */
bool isName(const std::string &Text) {
  return std::ranges::none_of(Text,
                              [](unsigned char c) { return std::iscntrl(c); });
}

/** Reads what a caller asks for out of path, headers and body. */
Result<CallRequest> readCall(const httplib::Request &Asked) {
  CallRequest Call;
  Call.Request = makeRequestId();
  Call.Class.Value = Asked.matches[1];
  Call.Tenant.Value = Asked.get_header_value("X-Tenant");
  Call.Key.Value = Asked.get_header_value("Idempotency-Key");
  Call.Token = Asked.get_header_value("X-Home-Token");
  Call.Body = Asked.body;
  if (Call.Tenant.Value.empty())
    return fail(ErrorKind::BadRequest, "header X-Tenant is missing");
  const std::array Names = {&Call.Tenant.Value, &Call.Key.Value,
                            &Call.Class.Value};
  if (std::ranges::any_of(
          Names, [](const auto *One) { return One->size() > MaxNameBytes; }))
    return fail(ErrorKind::TooLarge, "a name is too long");
  if (std::ranges::any_of(Names, [](const auto *One) { return !isName(*One); }))
    return fail(ErrorKind::BadRequest, "a name has control characters");
  if (Call.Token.size() > MaxTokenBytes)
    return fail(ErrorKind::TooLarge, "X-Home-Token is too long");
  const std::string Deadline = Asked.get_header_value("X-Deadline-Ms");
  if (!Deadline.empty()) {
    int64_t n = 0;
    const auto Read =
        std::from_chars(Deadline.data(), Deadline.data() + Deadline.size(), n);
    if (Read.ec != std::errc{} ||
        Read.ptr != Deadline.data() + Deadline.size() || n <= 0)
      return fail(ErrorKind::BadRequest,
                  "X-Deadline-Ms: found " + Deadline +
                      ", allowed: a whole number above 0");
    Call.Deadline = Millis(n);
  }
  if (!Json::accept(Call.Body))
    return fail(ErrorKind::BadRequest, "the body is no JSON");
  return Call;
}

std::string sseEvent(const char *Name, const std::string &Data) {
  return std::string("event: ") + Name + "\ndata: " + Data + "\n\n";
}

/** Turns one event into the text of a stream; sets Final on the last one. */
std::string streamText(const CallEvent &Event, const RequestId &Request,
                       bool &Final) {
  return std::visit(
      Overloaded{[&](const CallPart &e) {
                   return sseEvent("token", dumpJson({{"text", e.Data}}));
                 },
                 [&](const CallEnd &e) {
                   Final = true;
                   return sseEvent("end",
                                   dumpJson({{"count", e.Count},
                                             {"sha256", e.Content.Value},
                                             {"weights", e.Weights.Value},
                                             {"request_id", Request.Value}}));
                 },
                 [&](const CallError &e) {
                   Final = true;
                   return sseEvent("error", errorBody(e.Why, e.Executed,
                                                      Request, e.Elsewhere));
                 }},
      Event);
}

/** Observes the pieces of one answer and logs its end. */
class CallTimer {
public:
  CallTimer(EntryShell &Entry, const CallRequest &Call)
      : Host(Entry), Doc(Entry.document()), Tenant(Call.Tenant),
        Class(Call.Class), Request(Call.Request), Began(Entry.clock().now()) {}

  /** Notes whatever happened to the call. */
  void note(const CallEvent &Event) {
    std::visit(Overloaded{[this](const CallPart &) { notePiece(); },
                          [this](const CallEnd &) {
                            observe(Timing::Whole, Began);
                            log(LogLevel::Debug, "answered");
                          },
                          [this](const CallError &e) {
                            log(LogLevel::Info,
                                std::string(answerFor(e.Why.Kind).Name) +
                                    ", ran " +
                                    std::string(ranName(e.Executed)));
                          }},
               Event);
  }

private:
  void observe(Timing What, TimePoint From) {
    Host.timings().observe(What, Doc.get(), Tenant, Class,
                           Host.clock().now() - From);
  }

  void notePiece() {
    observe(Pieces == 0 ? Timing::FirstToken : Timing::BetweenTokens,
            Pieces == 0 ? Began : LastPiece);
    ++Pieces;
    LastPiece = Host.clock().now();
  }

  void log(LogLevel Level, const std::string &End) const {
    logLine(LogPart::Requests, Level,
            "Request " + Request.Value + " of class " + Class.Value +
                " ended: " + End + ".");
  }

  EntryShell &Host;
  DocumentPtr Doc; ///< In force when the call came; bounds the labels.
  TenantName Tenant;
  ClassName Class;
  RequestId Request;
  TimePoint Began;
  TimePoint LastPiece; ///< Valid once Pieces is above 0.
  uint64_t Pieces = 0;
};

void writeCallError(httplib::Response &Answer, const CallError &Error,
                    const RequestId &Request) {
  if (!Error.Token.empty())
    Answer.set_header("X-Home-Token", Error.Token);
  Answer.set_header("X-Request-Id", Request.Value);
  writeError(Answer, Error.Why, Error.Executed, Request, Error.Elsewhere);
}

/** Waits for the whole answer and writes it; false when the caller left. */
bool answerWhole(CallChannel &Channel, const CallRequest &Call,
                 CallTimer &Timer, httplib::Response &Answer) {
  std::string Text;
  for (;;) {
    const auto Event = Channel.pop(KeepAlive);
    // A caller that left wants no answer: its attempt is to end too.
    if (callerGone())
      return false;
    if (!Event)
      continue;
    Timer.note(*Event);
    if (const auto *Part = std::get_if<CallPart>(&*Event)) {
      Text += Part->Data;
      continue;
    }
    if (const auto *Error = std::get_if<CallError>(&*Event)) {
      writeCallError(Answer, *Error, Call.Request);
      return true;
    }
    const auto &End = std::get<CallEnd>(*Event);
    Answer.set_header("X-Request-Id", Call.Request.Value);
    if (End.Weights.Value.empty()) {
      Answer.status = End.Status;
      Answer.set_content(Text, "application/json");
      return true;
    }
    Answer.set_content(dumpJson({{"text", Text},
                                 {"count", End.Count},
                                 {"sha256", End.Content.Value},
                                 {"weights", End.Weights.Value},
                                 {"request_id", Call.Request.Value}}),
                       "application/json");
    return true;
  }
}

/** One caller's stream; forgets the call when the library drops it. */
struct OpenStream {
  EntryShell &Host;                     ///< The entry.
  std::shared_ptr<CallChannel> Channel; ///< Where events come from.
  CallRequest Call;                     ///< Whose stream.
  CallTimer Timer;                      ///< Its timings.
  std::optional<CallEvent> First;       ///< Event read before the stream began.
  bool Final = false;                   ///< The last event was written.

  OpenStream(EntryShell &Entry, std::shared_ptr<CallChannel> From,
             CallRequest Asked, CallTimer Began, CallEvent Begin)
      : Host(Entry), Channel(std::move(From)), Call(std::move(Asked)),
        Timer(std::move(Began)), First(std::move(Begin)) {}
  ~OpenStream() { Host.done(Call.Call, Final); }
  OpenStream(const OpenStream &) = delete;
  OpenStream &operator=(const OpenStream &) = delete;

  bool writeNext(httplib::DataSink &Sink) {
    const auto Event =
        First ? std::exchange(First, std::nullopt) : Channel->pop(KeepAlive);
    if (Event)
      Timer.note(*Event);
    const std::string Text =
        Event ? streamText(*Event, Call.Request, Final) : ": keep-alive\n\n";
    if (!Sink.write(Text.data(), Text.size()))
      return false;
    if (Final)
      Sink.done();
    return true;
  }
};

/** Answers as a stream; an error before the first token is a plain answer. */
void answerStream(EntryShell &Host, std::shared_ptr<CallChannel> Channel,
                  const CallRequest &Call, CallTimer Timer,
                  httplib::Response &Answer) {
  std::optional<CallEvent> Begin;
  while (!(Begin = Channel->pop(KeepAlive)))
    if (callerGone()) {
      Host.done(Call.Call, false);
      return;
    }
  if (const auto *Error = std::get_if<CallError>(&*Begin)) {
    Timer.note(*Begin);
    writeCallError(Answer, *Error, Call.Request);
    Host.done(Call.Call, true);
    return;
  }
  const auto Stream = std::make_shared<OpenStream>(
      Host, std::move(Channel), Call, std::move(Timer), std::move(*Begin));
  Answer.set_header("X-Request-Id", Call.Request.Value);
  Answer.set_chunked_content_provider(
      "text/event-stream", [Stream](size_t, httplib::DataSink &Sink) {
        return Stream->writeNext(Sink);
      });
}

void handleCall(EntryShell &Host, const httplib::Request &Asked,
                httplib::Response &Answer) {
  Outcome<CallRequest> Read = outcomeOf([&] { return readCall(Asked); });
  if (!Read.Value) {
    writeError(Answer, Read.Why, Ran::No, {});
    return;
  }
  CallRequest &Call = *Read.Value;
  Call.Caller = Asked.remote_addr;
  CallTimer Timer(Host, Call);
  auto Channel = Host.call(Call);
  if (Asked.get_header_value("Accept") == "text/event-stream") {
    answerStream(Host, std::move(Channel), Call, std::move(Timer), Answer);
    return;
  }
  const bool Heard = answerWhole(*Channel, Call, Timer, Answer);
  Host.done(Call.Call, Heard);
}

/** Gives a home token for a class whose calls may not be repeated. */
void handleToken(EntryShell &Host, const httplib::Request &Asked,
                 httplib::Response &Answer) {
  const ClassName Class{Asked.matches[1]};
  std::string Token;
  bool Known = false;
  bool Ready = false;
  Host.inspect([&](const EntryState &Entry, TimePoint) {
    const Document *Doc = Entry.View.InForce.get();
    Ready = Doc != nullptr;
    const WorkClass *Row = Doc == nullptr ? nullptr : findClass(*Doc, Class);
    Known = Row != nullptr && !Row->Repeatable;
    Token = makeHomeToken(Entry, Class);
  });
  if (!Ready) {
    writeError(Answer, {ErrorKind::StaleView, "no configuration yet", {}},
               Ran::No, {});
    return;
  }
  if (!Known) {
    writeError(
        Answer,
        {ErrorKind::NotFound, "no class with tokens: " + Class.Value, {}},
        Ran::No, {});
    return;
  }
  if (Token.empty()) {
    writeError(Answer, {ErrorKind::NoWorker, "no home is ready", {}}, Ran::No,
               {});
    return;
  }
  Answer.set_content(dumpJson({{"class", Class.Value}, {"token", Token}}),
                     "application/json");
}

/** Tells which entries to use, in an order spread by a hash of the caller. */
void handleEntries(EntryShell &Host, const Settings &Config,
                   const httplib::Request &Asked, httplib::Response &Answer) {
  Json Body = {{"entries", Json::array()},
               {"keep_ms", Config.AddressKeepMillis}};
  Host.inspect([&](const EntryState &Entry, TimePoint) {
    for (const Address &At : addressesFor(Entry, Asked.remote_addr))
      Body["entries"].push_back(At.Value);
  });
  Answer.set_content(Body.dump(), "application/json");
}

} // namespace

namespace {

ListenerLimits limitsOf(const Settings &Config) {
  ListenerLimits Limits;
  Limits.Threads = static_cast<size_t>(Config.CallerThreads);
  Limits.MaxBodyBytes = static_cast<size_t>(Config.MaxBodyBytes);
  Limits.ReadTimeout = Millis(Config.CallerReadMillis);
  // Answers may take long: whoever finds no thread is told at once.
  Limits.MaxQueued = 0;
  return Limits;
}

} // namespace

CallerApi::CallerApi(const Settings &Config, EntryShell &Host)
    : Config(Config), Host(Host),
      Server(std::make_unique<GuardedServer>(limitsOf(Config))) {
  // A caller on a kept connection would go on using an entry that leaves.
  Server->set_post_routing_handler(
      [this](const httplib::Request &, httplib::Response &Answer) {
        if (this->Host.leaving())
          Answer.set_header("Connection", "close");
      });
  Server->Get("/v1/entries", [this](const auto &Asked, auto &Answer) {
    handleEntries(this->Host, this->Config, Asked, Answer);
  });
  Server->Get(R"(/v1/classes/([^/]+)/token)",
              [this](const auto &Asked, auto &Answer) {
                handleToken(this->Host, Asked, Answer);
              });
  Server->Post(R"(/v1/classes/([^/]+)/requests)",
               [this](const auto &Asked, auto &Answer) {
                 handleCall(this->Host, Asked, Answer);
               });
}

CallerApi::~CallerApi() { Server->finish(Accepting); }

std::string CallerApi::start() {
  return startServer(*Server, Config.CallerListen, Accepting);
}

} // namespace jacinthpond
