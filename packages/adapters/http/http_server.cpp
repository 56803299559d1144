/** @file http_server.cpp Set-up and error answers of all HTTP listeners. */

#include "http/http_server.h"

#include <nlohmann/json.hpp>

#include <sys/socket.h>

#include <chrono>
#include <future>
#include <utility>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

/** Longest time that an idle connection holds a thread, in seconds. */
constexpr time_t KeepAliveSeconds = 2;
/** Pending connections that the kernel queues until they are accepted. */
constexpr int ListenBacklog = 1024;
/** Time between two checks whether a new listener accepts connections. */
constexpr std::chrono::milliseconds AcceptPollInterval{1};
/** Requests on one connection before it is closed. */
constexpr size_t KeepAliveRequests = 1000;

/** Gives the error kind for a status that the library set itself. */
ErrorKind errorKindOfStatus(int Status) {
  switch (Status) {
  case 404:
    return ErrorKind::NotFound;
  case 408:
    return ErrorKind::SlowCaller;
  case 413:
  case 414:
  case 431:
    return ErrorKind::TooLarge;
  default:
    return Status >= 500 ? ErrorKind::Internal : ErrorKind::BadRequest;
  }
}

} // namespace

void configureServer(httplib::Server &Server, const ListenerLimits &Limits) {
  Server.new_task_queue = [n = Limits.Threads] {
    return new httplib::ThreadPool(n);
  };
  Server.set_payload_max_length(Limits.MaxBodyBytes);
  Server.set_read_timeout(Limits.ReadTimeout);
  Server.set_keep_alive_timeout(KeepAliveSeconds);
  Server.set_keep_alive_max_count(KeepAliveRequests);
  Server.set_tcp_nodelay(true);
  Server.set_error_handler(
      [](const httplib::Request &, httplib::Response &Answer) {
        // Only answers that the library made itself are empty.
        if (Answer.body.empty())
          writeError(Answer, {errorKindOfStatus(Answer.status), "", {}},
                     Ran::No, {});
      });
}

std::string startServer(httplib::Server &Server, const std::string &At,
                        std::thread &AcceptThread) {
  const size_t Colon = At.rfind(':');
  if (Colon == std::string::npos)
    return "";
  const std::string Ip = At.substr(0, Colon);
  // The library listens with a backlog of 5. The kernel drops the SYN packets
  // of a larger burst of callers, which resend them only after 1 s. Calling
  // listen() again on the same socket enlarges the backlog.
  int ListenSocket = -1;
  Server.set_socket_options([&ListenSocket](int Socket) {
    const int Enable = 1;
    setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enable, sizeof(Enable));
    ListenSocket = Socket;
  });
  int Port = std::atoi(At.c_str() + Colon + 1);
  if (Port == 0)
    Port = Server.bind_to_any_port(Ip);
  else if (!Server.bind_to_port(Ip, Port))
    return "";
  if (Port <= 0 || listen(ListenSocket, ListenBacklog) != 0)
    return "";
  std::promise<void> Done;
  const std::future<void> Ended = Done.get_future();
  AcceptThread = std::thread([&Server, Done = std::move(Done)]() mutable {
    Server.listen_after_bind();
    Done.set_value();
  });
  // The library ignores stop() until its thread accepts. A program that exits
  // because its next address is in use would then wait for the thread forever.
  while (!Server.is_running() &&
         Ended.wait_for(AcceptPollInterval) == std::future_status::timeout) {
  }
  return Ip + ":" + std::to_string(Port);
}

std::string errorBody(const Failure &Why, Ran Executed,
                      const RequestId &Request,
                      const std::vector<Address> &AlternativeEntries) {
  const ErrorAnswer &Row = errorAnswerFor(Why.Kind);
  Json Error = {{"kind", Row.Name},
                {"message", Row.Text},
                {"ran", ranName(Executed)},
                {"retry_after_ms", retryAfter(Why).count()}};
  if (!Why.Detail.empty())
    Error["detail"] = Why.Detail;
  Json Body = {{"error", Error}};
  for (const Address &At : AlternativeEntries)
    Body["entries"].push_back(At.Value);
  if (!Request.Value.empty())
    Body["request_id"] = Request.Value;
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string retryAfterSeconds(const Failure &Why) {
  const Millis After = retryAfter(Why);
  return After.count() > 0 ? std::to_string((After.count() + 999) / 1000) : "";
}

void writeError(httplib::Response &Answer, const Failure &Why, Ran Executed,
                const RequestId &Request,
                const std::vector<Address> &AlternativeEntries) {
  Answer.status = errorAnswerFor(Why.Kind).HttpStatus;
  if (const std::string Seconds = retryAfterSeconds(Why); !Seconds.empty())
    Answer.set_header("Retry-After", Seconds);
  Answer.set_content(errorBody(Why, Executed, Request, AlternativeEntries),
                     "application/json");
}

} // namespace jacinthpond
