/** @file http_backends.cpp HTTP clients of back ends and platform services. */

#include "http/http_backends.h"

#include "http/bounded_client.h"
#include "http/event_parser.h"
#include "http/json_fields.h"
#include "http/requested_pause.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Longest time for connecting. */
constexpr std::chrono::milliseconds ConnectTimeout{1000};
/** Longest time without bytes while a back end streams an answer. */
constexpr std::chrono::seconds StreamTimeout{30};
/** Longest wait for a short answer, such as a state. */
constexpr std::chrono::milliseconds ShortTimeout{2000};
/** Time for a short answer to arrive that has begun. */
constexpr std::chrono::milliseconds TransferTime{5000};
/** Longest wait for a load order or a chunk. */
constexpr std::chrono::seconds LongTimeout{120};

/** Says whether a request was certainly not sent: no connection was made. */
bool isUnsent(httplib::Error Why) {
  return Why == httplib::Error::Connection ||
         Why == httplib::Error::ConnectionTimeout;
}

/** Fails with Unreachable for an unsent request, else OutcomeUnknown. */
boost::leaf::error_id failCall(httplib::Error Why) {
  return fail(isUnsent(Why) ? ErrorKind::Unreachable
                            : ErrorKind::OutcomeUnknown,
              httplib::to_string(Why));
}

/** Fails unless the back end answered an order with status 200. */
Result<void> checkOrderAnswer(const httplib::Result &Answer) {
  if (!Answer)
    return failCall(Answer.error());
  if (Answer->status != 200)
    return fail(ErrorKind::BackEndFailed,
                "status " + std::to_string(Answer->status));
  return {};
}

/** Gives the text of an answer; empty for status 204. */
Result<std::string> textOfAnswer(const httplib::Result &Answer) {
  if (!Answer)
    return fail(ErrorKind::Unreachable, httplib::to_string(Answer.error()));
  if (Answer->status == 204)
    return std::string();
  if (Answer->status != 200)
    return boost::leaf::new_error(Failure{
        ErrorKind::Unreachable, "status " + std::to_string(Answer->status),
        requestedPause(*Answer)});
  return Answer->body;
}

/** Says whether only the close of its connection ended the body of an answer.
 */
bool isEndedByClose(const httplib::Response &Answer) {
  return !Answer.has_header("Content-Length") &&
         !Answer.has_header("Transfer-Encoding") && Answer.status != 204 &&
         Answer.status != 304;
}

/** Gets a text; empty for status 204. */
Result<std::string> getText(const std::string &Url, const std::string &Path,
                            std::chrono::milliseconds Timeout) {
  BoundedClient Client(Url, {ConnectTimeout, Timeout, Timeout + TransferTime});
  return textOfAnswer(Client.Get(Path));
}

} // namespace

Result<EngineEnd>
HttpEngine::generate(const EngineRequest &Request,
                     const std::function<bool(Digest)> &OnBegin,
                     const std::function<bool(std::string)> &OnToken) {
  BoundedClient Client(Url, {ConnectTimeout, StreamTimeout});
  EventParser Parser{OnBegin, OnToken, {}, {}, false};
  const Json Body = {{"attempt", Request.Attempt.Value},
                     {"body", Request.Body},
                     {"priority", Request.Priority},
                     {"resume_from", Request.ResumeFrom}};
  httplib::Request Sent;
  Sent.method = "POST";
  Sent.path = "/v1/generate";
  Sent.body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  Sent.set_header("Content-Type", "application/json");
  Sent.content_receiver = [&](const char *Data, size_t n, uint64_t, uint64_t) {
    return Parser.parseBytes(Data, n);
  };
  const httplib::Result Answer = Client.send(Sent);
  if (Parser.Cancelled)
    return fail(ErrorKind::PartialAnswer, "cancelled");
  if (!Answer)
    return failCall(Answer.error());
  if (Answer->status == 503)
    return boost::leaf::new_error(Failure{
        ErrorKind::Unreachable, "engine refused", requestedPause(*Answer)});
  if (Answer->status != 200)
    return fail(ErrorKind::BackEndFailed,
                "status " + std::to_string(Answer->status));
  if (!Parser.End)
    return fail(ErrorKind::PartialAnswer, "stream ended early");
  return *Parser.End;
}

Result<EngineState> HttpEngine::state() {
  BOOST_LEAF_AUTO(Text, getText(Url, "/v1/state", ShortTimeout));
  const Json Value = Json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return fail(ErrorKind::Unreachable, "state is no JSON");
  EngineState Read;
  Read.Run = textOf(Value, "run");
  Read.Weights.Value = textOf(Value, "weights");
  Read.Running = static_cast<uint32_t>(numberOf(Value, "running"));
  Read.Cold = flagOf(Value, "cold");
  return Read;
}

Result<void> HttpEngine::stage(const ChunkRef &Chunk,
                               const std::string &Bytes) {
  BoundedClient Client(Url, {ConnectTimeout, LongTimeout});
  const httplib::Result Answer = Client.Put("/v1/chunks/" + Chunk.Content.Value,
                                            Bytes, "application/octet-stream");
  return checkOrderAnswer(Answer);
}

Result<std::string> HttpEngine::readStagedContent(const ChunkRef &) {
  return fail(ErrorKind::NotFound, "this engine gives nothing back");
}

Result<void> HttpEngine::load(const LoadOrder &Order,
                              const LoadCallbacks &Steps) {
  BoundedClient Client(Url, {ConnectTimeout, LongTimeout});
  Json Body = {{"fence", Order.Fence.Value},
               {"set", Order.Set.Value},
               {"chunks", Json::array()}};
  for (const Digest &Chunk : Order.Chunks)
    Body["chunks"].push_back(Chunk.Value);
  BOOST_LEAF_CHECK(Steps.VerifyStaged());
  // This engine answers only when it has loaded, so Taken could not be called
  // earlier. It identifies chunks by their digests only.
  const httplib::Result Answer =
      Client.Post("/v1/load", Body.dump(), "application/json");
  return checkOrderAnswer(Answer);
}

Result<ServiceAnswer> HttpService::call(const ServiceCall &Call) {
  const auto Timeout = std::max(Call.Timeout, Millis{1});
  BoundedClient Client(Url, {ConnectTimeout, Timeout});
  const httplib::Headers Headers = {{"X-Attempt", Call.Attempt.Value},
                                    {"Idempotency-Key", Call.Key.Value}};
  const httplib::Result Answer = Client.Post(
      "/v1/calls/" + Call.Class.Value, Headers, Call.Body, "application/json");
  if (!Answer)
    return failCall(Answer.error());
  // A service that crashes closes its connections in the same way, and a part
  // of the answer would pass for the whole.
  if (isEndedByClose(*Answer) && !outcomeOf([&] { return ping(); }).Value)
    return fail(ErrorKind::OutcomeUnknown,
                "the service ended during its answer");
  return ServiceAnswer{Answer->status, Answer->body, requestedPause(*Answer)};
}

Result<std::string> HttpService::ping() {
  return getText(Url, "/v1/run", ShortTimeout);
}

Result<std::string> HttpConfig::watch(ConfigVersion After, const Digest &,
                                      Millis Wait) {
  const std::string Path = "/v1/config?after=" + std::to_string(After.Value) +
                           "&wait_ms=" + std::to_string(Wait.count());
  return getText(Url, Path, Wait + ShortTimeout);
}

Result<HostStates> HttpHosts::hosts() {
  BOOST_LEAF_AUTO(Text, getText(Url, "/v1/hosts", ShortTimeout));
  const Json Value = Json::parse(Text, nullptr, false);
  if (!Value.is_object())
    return fail(ErrorKind::Unreachable, "host list is no JSON");
  HostStates States;
  for (const auto &Row : Value.items())
    States[HostName{Row.key()}] =
        Row.value() == "leaving" ? HostState::Leaving : HostState::Live;
  return States;
}

Result<std::string> HttpOrigin::fetch(const ChunkRef &Chunk) {
  BoundedClient Client(Url, {ConnectTimeout, LongTimeout});
  return textOfAnswer(Fetches.send(
      Client, [&] { return Client.Get("/v1/chunks/" + Chunk.Content.Value); }));
}

Result<ChunkList> HttpOrigin::list(const ChunkRef &) {
  return fail(ErrorKind::NotFound, "documents hold the list");
}

} // namespace jacinthpond
