/** @file request_receiver.cpp Receives HTTP requests on one thread. */

#include "http/request_receiver.h"

#include "http/http_server.h"

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

/** Gives the complete HTTP response for a refused request. */
std::string refusalText(const Failure &Why) {
  const std::string Body = errorBody(Why, Ran::No, {});
  return "HTTP/1.1 " + std::to_string(errorAnswerFor(Why.Kind).HttpStatus) +
         " Refused\r\nContent-Type: application/json\r\nContent-Length: " +
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
      Wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      Reader([this] { receiveRequests(); }) {}

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
    removeConnection(Connections.begin()->first, true);
}

void RequestReceiver::add(int Socket, std::string Rest, uint32_t Served) {
  std::vector<ReceivedRequest> Complete;
  {
    const std::lock_guard Lock(Guard);
    if (Stopped) {
      close(Socket);
      return;
    }
    evictConnectionIfFull();
    ReceivingConnection &Connection = Connections[Socket];
    Connection.Buffer = std::move(Rest);
    Connection.Served = Served;
    const bool Idle = Served > 0 && Connection.Buffer.empty();
    Connection.Deadline =
        now() + (Idle ? Limits.IdleTimeout : Limits.ReadTimeout);
    epoll_event Watch{};
    Watch.events = EPOLLIN;
    Watch.data.fd = Socket;
    epoll_ctl(Epoll, EPOLL_CTL_ADD, Socket, &Watch);
    if (!Connection.Buffer.empty() &&
        extractRequest(Socket, Connection, Complete))
      removeConnection(Socket, false);
  }
  for (ReceivedRequest &Delivered : Complete)
    OnRequest(std::move(Delivered));
}

void RequestReceiver::evictConnectionIfFull() {
  if (Connections.size() < Limits.MaxConnections)
    return;
  // Otherwise, idle connections up to the limit would keep out callers that
  // want to send a request.
  const auto it = std::ranges::min_element(
      Connections, {}, [](const auto &Row) { return Row.second.Deadline; });
  removeConnection(it->first, true);
}

void RequestReceiver::removeConnection(int Socket, bool Close) {
  epoll_ctl(Epoll, EPOLL_CTL_DEL, Socket, nullptr);
  Connections.erase(Socket);
  if (Close)
    close(Socket);
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
    removeConnection(Socket, false);
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
  if (Connection.Needed == 0 || Connection.Buffer.size() < Connection.Needed)
    return false;
  Complete.push_back({Socket, Connection.Buffer.substr(0, Connection.Needed),
                      Connection.Buffer.substr(Connection.Needed),
                      Connection.Served});
  return true;
}

void RequestReceiver::handleEndOfInput(int Socket,
                                       ReceivingConnection &Connection) {
  if (!Connection.Closing && !Connection.Buffer.empty())
    sendRefusal(Socket, {ErrorKind::BadRequest, "the request is cut off", {}});
  removeConnection(Socket, true);
}

void RequestReceiver::refuseRequest(int Socket, ReceivingConnection &Connection,
                                    const Failure &Why) {
  // Closing a socket with unread bytes would reset the connection, and the
  // caller could lose the answer.
  sendRefusal(Socket, Why);
  Connection.Closing = true;
  Connection.Buffer.clear();
  Connection.Deadline = now() + RefusalReadTimeout;
}

void RequestReceiver::expireConnections() {
  std::vector<int> Expired;
  for (const auto &[Socket, Connection] : Connections)
    if (now() >= Connection.Deadline)
      Expired.push_back(Socket);
  for (const int Socket : Expired) {
    ReceivingConnection &Connection = Connections.at(Socket);
    if (Connection.Closing || Connection.Buffer.empty())
      removeConnection(Socket, true);
    else
      refuseRequest(Socket, Connection, {ErrorKind::SlowCaller, "", {}});
  }
}

} // namespace jacinthpond
