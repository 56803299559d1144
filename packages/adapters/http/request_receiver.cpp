/** @file request_receiver.cpp Receives HTTP requests on one thread. */

#include "http/request_receiver.h"

#include "admission/connection_table_func.h"
#include "admission/refusal_episode_func.h"
#include "http/http_server.h"
#include "log/refusal_log.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace jacinthpond {

namespace {

/** Time between two checks of the deadlines. */
constexpr int ExpiryPeriodMillis = 100;
/** Time that a refused caller has to read the error answer. */
constexpr Millis RefusalReadTimeout{1000};
/** Size of the buffer for one receive call. */
constexpr size_t ReadBufferBytes = 65536;

/** Gives the current time of the steady clock. */
TimePoint now() { return std::chrono::steady_clock::now(); }

/** Sends what the socket buffer can hold; the rest is discarded. */
void sendText(int Socket, const std::string &Text) {
  (void)!send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

/** Gives the Retry-After header of a refusal; empty where there is none. */
std::string retryAfterField(const Failure &Why) {
  const std::string Seconds = retryAfterSeconds(Why);
  return Seconds.empty() ? "" : "Retry-After: " + Seconds + "\r\n";
}

/** Gives the complete HTTP response for a refused request. */
std::string refusalText(const Failure &Why) {
  const std::string Body = errorBody(Why, Ran::No, {});
  return "HTTP/1.1 " + std::to_string(errorAnswerFor(Why.Kind).HttpStatus) +
         " Refused\r\n" + retryAfterField(Why) +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\nConnection: close\r\n\r\n" + Body;
}

} // namespace

void sendRefusal(int Socket, const Failure &Why) {
  sendText(Socket, refusalText(Why));
  shutdown(Socket, SHUT_WR);
}

RequestReceiver::RequestReceiver(const ReceiverLimits &Bounds,
                                 std::function<void(ReceivedRequest)> Handler)
    : Limits(Bounds), OnRequest(std::move(Handler)),
      Epoll(epoll_create1(EPOLL_CLOEXEC)),
      Wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  Table.Limits = {Limits.MaxBytes, Limits.MaxConnections};
  Reader = std::thread([this] { receiveRequests(); });
}

RequestReceiver::~RequestReceiver() {
  stop();
  close(Epoll);
  close(Wake);
}

void RequestReceiver::stop() {
  {
    const std::lock_guard Lock(Guard);
    Stopped = true;
  }
  const uint64_t Increment = 1;
  (void)!write(Wake, &Increment, sizeof(Increment));
  if (Reader.joinable())
    Reader.join();
  const std::lock_guard Lock(Guard);
  while (!Connections.empty())
    removeConnection(Connections.begin()->first);
}

void RequestReceiver::add(int Socket) {
  const std::lock_guard Lock(Guard);
  if (Stopped) {
    close(Socket);
    return;
  }
  const ConnectionId Id = addConnection(Table, now());
  watch(Socket, Id).Deadline = now() + Limits.ReadTimeout;
  closeExcessConnections();
}

void RequestReceiver::giveBack(ReceivedRequest Answered) {
  std::vector<ReceivedRequest> Complete;
  {
    const std::lock_guard Lock(Guard);
    if (Stopped) {
      jacinthpond::removeConnection(Table, Answered.Id);
      close(Answered.Socket);
      return;
    }
    ReceivingConnection &Connection = watch(Answered.Socket, Answered.Id);
    Connection.Buffer = std::move(Answered.Rest);
    Connection.Served = Answered.Served + 1;
    Connection.Deadline =
        now() +
        (Connection.Buffer.empty() ? Limits.IdleTimeout : Limits.ReadTimeout);
    if (!Connection.Buffer.empty() &&
        extractRequest(Answered.Socket, Connection, Complete))
      passOn(Answered.Socket);
    else
      count(Answered.Socket);
  }
  for (ReceivedRequest &Delivered : Complete)
    OnRequest(std::move(Delivered));
}

void RequestReceiver::release(const ReceivedRequest &Answered) {
  const std::lock_guard Lock(Guard);
  jacinthpond::removeConnection(Table, Answered.Id);
}

ReceivingConnection &RequestReceiver::watch(int Socket, ConnectionId Id) {
  ReceivingConnection &Connection = Connections[Socket];
  Connection.Id = Id;
  Sockets[Id] = Socket;
  epoll_event Watch{};
  Watch.events = EPOLLIN;
  Watch.data.fd = Socket;
  epoll_ctl(Epoll, EPOLL_CTL_ADD, Socket, &Watch);
  return Connection;
}

void RequestReceiver::closeExcessConnections() {
  for (const ConnectionId Id : connectionsOverLimit(Table)) {
    countRefusal(CallerRefusal::Connections);
    removeConnection(Sockets.at(Id));
  }
}

void RequestReceiver::count(int Socket) {
  const auto it = Connections.find(Socket);
  if (it == Connections.end())
    return;
  const ReceivingConnection &One = it->second;
  const ConnectionId Id = One.Id;
  ConnectionPhase Phase = ConnectionPhase::Receiving;
  if (One.Closing)
    Phase = ConnectionPhase::Closing;
  else if (One.Buffer.empty())
    Phase = ConnectionPhase::Idle;
  recordConnection(Table, Id, Phase, One.Buffer.capacity() * Limits.Copies,
                   now());
  while (const auto Chosen = connectionOverMemory(Table, Id, now())) {
    countRefusal(CallerRefusal::Memory);
    const int Full = Sockets.at(*Chosen);
    refuseRequest(Full, Connections.at(Full), {ErrorKind::HostFull, "", {}});
  }
}

void RequestReceiver::countRefusal(CallerRefusal Why) {
  if (recordRefusal(Episodes, Why, now()))
    logRefusals(Limits.Name, Why, Table);
}

void RequestReceiver::logEndedSeries() {
  for (const auto &[Why, Refused] : endEpisodes(Episodes, now()))
    logRefusalsEnd(Limits.Name, Why, Refused);
}

void RequestReceiver::removeConnection(int Socket) {
  const auto it = Connections.find(Socket);
  jacinthpond::removeConnection(Table, it->second.Id);
  Sockets.erase(it->second.Id);
  Connections.erase(it);
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Socket, nullptr);
  close(Socket);
}

void RequestReceiver::passOn(int Socket) {
  const auto it = Connections.find(Socket);
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Socket, nullptr);
  Sockets.erase(it->second.Id);
  Connections.erase(it);
}

void RequestReceiver::receiveRequests() {
  std::array<epoll_event, 64> Ready{};
  TimePoint NextExpiry = now();
  for (;;) {
    const int n =
        epoll_wait(Epoll, Ready.data(), Ready.size(), ExpiryPeriodMillis);
    std::vector<ReceivedRequest> Complete;
    {
      const std::lock_guard Lock(Guard);
      if (Stopped)
        return;
      for (int i = 0; i < n; ++i)
        readFrom(Ready.at(static_cast<size_t>(i)).data.fd, Complete);
      if (now() >= NextExpiry) {
        expireConnections();
        logEndedSeries();
        NextExpiry = now() + Millis(ExpiryPeriodMillis);
      }
    }
    for (ReceivedRequest &Delivered : Complete)
      OnRequest(std::move(Delivered));
  }
}

void RequestReceiver::readFrom(int Socket,
                               std::vector<ReceivedRequest> &Complete) {
  const auto it = Connections.find(Socket);
  if (it == Connections.end())
    return;
  ReceivingConnection &Connection = it->second;
  std::array<char, ReadBufferBytes> Buf; // NOLINT: filled by recv.
  const ssize_t n = recv(Socket, Buf.data(), Buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0) {
    handleEndOfInput(Socket, Connection);
    return;
  }
  if (Connection.Closing)
    return;
  // The time limit of a request starts with its first byte. Later bytes do not
  // extend it: a byte now and then must not keep the connection open.
  if (Connection.Buffer.empty() && Connection.Served > 0)
    Connection.Deadline = now() + Limits.ReadTimeout;
  Connection.Buffer.append(Buf.data(), static_cast<size_t>(n));
  if (extractRequest(Socket, Connection, Complete))
    passOn(Socket);
  else
    count(Socket);
}

bool RequestReceiver::extractRequest(int Socket,
                                     ReceivingConnection &Connection,
                                     std::vector<ReceivedRequest> &Complete) {
  if (Connection.Needed == 0) {
    const Framing Parsed = frameRequest(Connection.Buffer, Limits.Request);
    if (Parsed.Why) {
      refuseRequest(Socket, Connection, *Parsed.Why);
      return false;
    }
    Connection.Needed = Parsed.Bytes;
    if (Parsed.ExpectsContinue && Connection.Buffer.size() < Connection.Needed)
      sendText(Socket, "HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (Connection.Needed == 0 || Connection.Buffer.size() < Connection.Needed) {
    // Once half has come, the rest is likely; a string that grows by itself
    // would take up to twice the size.
    if (Connection.Buffer.size() > Connection.Needed / 2)
      Connection.Buffer.reserve(Connection.Needed);
    return false;
  }
  std::string Rest = Connection.Buffer.substr(Connection.Needed);
  Connection.Buffer.resize(Connection.Needed);
  recordConnection(
      Table, Connection.Id, ConnectionPhase::Working,
      (Connection.Buffer.capacity() + Rest.capacity()) * Limits.Copies, now());
  Complete.push_back({Connection.Id, Socket, std::move(Connection.Buffer),
                      std::move(Rest), Connection.Served});
  return true;
}

void RequestReceiver::handleEndOfInput(int Socket,
                                       ReceivingConnection &Connection) {
  if (!Connection.Closing && !Connection.Buffer.empty())
    sendRefusal(Socket, {ErrorKind::BadRequest, "the request is cut off", {}});
  removeConnection(Socket);
}

void RequestReceiver::refuseRequest(int Socket, ReceivingConnection &Connection,
                                    const Failure &Why) {
  // Closing a socket with unread bytes would reset the connection, and the
  // caller could lose the answer.
  sendRefusal(Socket, Why);
  Connection.Closing = true;
  Connection.Buffer.clear();
  Connection.Buffer.shrink_to_fit();
  Connection.Deadline = now() + RefusalReadTimeout;
  recordConnection(Table, Connection.Id, ConnectionPhase::Closing, 0, now());
}

void RequestReceiver::expireConnections() {
  std::vector<int> Expired;
  for (const auto &[Socket, Connection] : Connections)
    if (now() >= Connection.Deadline)
      Expired.push_back(Socket);
  for (const int Socket : Expired) {
    ReceivingConnection &Connection = Connections.at(Socket);
    if (Connection.Closing || Connection.Buffer.empty())
      removeConnection(Socket);
    else
      refuseRequest(Socket, Connection, {ErrorKind::SlowCaller, "", {}});
  }
}

} // namespace jacinthpond
