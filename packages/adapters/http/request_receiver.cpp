/** @file request_receiver.cpp Collects whole requests of many connections. */

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

/** Time between two looks at the deadlines. */
constexpr int ExpiryPeriodMillis = 100;
/** How long a refused caller may take to read its answer. */
constexpr Millis ClosingTime{1000};
constexpr size_t ReadBytes = 65536;

TimePoint now() { return std::chrono::steady_clock::now(); }

/** Writes what fits; a caller that reads nothing loses the rest. */
void sendText(int Socket, const std::string &Text) {
  (void)!send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

std::string refusalText(const Failure &Why) {
  const std::string Body = errorBody(Why, Ran::No, {});
  return "HTTP/1.1 " + std::to_string(answerFor(Why.Kind).HttpStatus) +
         " Refused\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\nConnection: close\r\n\r\n" + Body;
}

} // namespace

void answerRefused(int Socket, const Failure &Why) {
  sendText(Socket, refusalText(Why));
  shutdown(Socket, SHUT_WR);
}

RequestReceiver::RequestReceiver(const ReceiverLimits &Bounds,
                                 std::function<void(Received)> Take)
    : Limits(Bounds), OnRequest(std::move(Take)),
      Events(epoll_create1(EPOLL_CLOEXEC)),
      Wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)), Reader([this] { run(); }) {}

RequestReceiver::~RequestReceiver() {
  stop();
  close(Events);
  close(Wake);
}

void RequestReceiver::stop() {
  {
    const std::lock_guard Lock(Guard);
    Stopped = true;
  }
  const uint64_t One = 1;
  (void)!write(Wake, &One, sizeof(One));
  if (Reader.joinable())
    Reader.join();
  const std::lock_guard Lock(Guard);
  while (!Connections.empty())
    forget(Connections.begin()->first, true);
}

void RequestReceiver::add(int Socket, std::string Rest, uint32_t Served) {
  std::vector<Received> Whole;
  {
    const std::lock_guard Lock(Guard);
    if (Stopped) {
      close(Socket);
      return;
    }
    makeRoom();
    Waiting &One = Connections[Socket];
    One.Buffer = std::move(Rest);
    One.Served = Served;
    const bool Idle = Served > 0 && One.Buffer.empty();
    One.Deadline = now() + (Idle ? Limits.IdleTimeout : Limits.ReadTimeout);
    epoll_event Watch{};
    Watch.events = EPOLLIN;
    Watch.data.fd = Socket;
    epoll_ctl(Events, EPOLL_CTL_ADD, Socket, &Watch);
    if (!One.Buffer.empty() && takeBytes(Socket, One, Whole))
      forget(Socket, false);
  }
  for (Received &One : Whole)
    OnRequest(std::move(One));
}

/**
 * Makes room for a connection. When callers hold the bound with connections
 * on which nothing comes, the one nearest to its deadline gives way; it would
 * otherwise keep out a caller that has something to ask.
 */
void RequestReceiver::makeRoom() {
  if (Connections.size() < Limits.MaxConnections)
    return;
  const auto it = std::ranges::min_element(
      Connections, {}, [](const auto &Row) { return Row.second.Deadline; });
  forget(it->first, true);
}

void RequestReceiver::forget(int Socket, bool Close) {
  epoll_ctl(Events, EPOLL_CTL_DEL, Socket, nullptr);
  Connections.erase(Socket);
  if (Close)
    close(Socket);
}

void RequestReceiver::run() {
  std::array<epoll_event, 64> Ready{};
  TimePoint NextExpiry = now();
  for (;;) {
    const int n =
        epoll_wait(Events, Ready.data(), Ready.size(), ExpiryPeriodMillis);
    std::vector<Received> Whole;
    {
      const std::lock_guard Lock(Guard);
      if (Stopped)
        return;
      for (int i = 0; i < n; ++i)
        readFrom(Ready.at(static_cast<size_t>(i)).data.fd, Whole);
      if (now() >= NextExpiry) {
        expire();
        NextExpiry = now() + Millis(ExpiryPeriodMillis);
      }
    }
    for (Received &One : Whole)
      OnRequest(std::move(One));
  }
}

void RequestReceiver::readFrom(int Socket, std::vector<Received> &Whole) {
  const auto it = Connections.find(Socket);
  if (it == Connections.end())
    return;
  Waiting &One = it->second;
  std::array<char, ReadBytes> Buf; // NOLINT: filled by recv.
  const ssize_t n = recv(Socket, Buf.data(), Buf.size(), MSG_DONTWAIT);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0) {
    endOfInput(Socket, One);
    return;
  }
  if (One.Closing)
    return;
  // The time for a request runs from its first byte; later bytes do not
  // lengthen it, so that a byte now and then does not keep it open.
  if (One.Buffer.empty() && One.Served > 0)
    One.Deadline = now() + Limits.ReadTimeout;
  One.Buffer.append(Buf.data(), static_cast<size_t>(n));
  if (takeBytes(Socket, One, Whole))
    forget(Socket, false);
}

/** Says whether a whole request was moved to Whole. */
bool RequestReceiver::takeBytes(int Socket, Waiting &One,
                                std::vector<Received> &Whole) {
  if (One.Needed == 0) {
    const Framing Found = frameRequest(One.Buffer, Limits.Request);
    if (Found.Why) {
      refuse(Socket, One, *Found.Why);
      return false;
    }
    One.Needed = Found.Bytes;
    if (Found.AsksToGoOn && One.Buffer.size() < One.Needed)
      sendText(Socket, "HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (One.Needed == 0 || One.Buffer.size() < One.Needed)
    return false;
  Whole.push_back({Socket, One.Buffer.substr(0, One.Needed),
                   One.Buffer.substr(One.Needed), One.Served});
  return true;
}

void RequestReceiver::endOfInput(int Socket, Waiting &One) {
  if (!One.Closing && !One.Buffer.empty())
    answerRefused(Socket,
                  {ErrorKind::BadRequest, "the request is cut off", {}});
  forget(Socket, true);
}

void RequestReceiver::refuse(int Socket, Waiting &One, const Failure &Why) {
  // Closing at once, with bytes unread, would reset the connection and the
  // caller could lose the answer.
  answerRefused(Socket, Why);
  One.Closing = true;
  One.Buffer.clear();
  One.Deadline = now() + ClosingTime;
}

void RequestReceiver::expire() {
  std::vector<int> Late;
  for (const auto &[Socket, One] : Connections)
    if (now() >= One.Deadline)
      Late.push_back(Socket);
  for (const int Socket : Late) {
    Waiting &One = Connections.at(Socket);
    if (One.Closing || One.Buffer.empty())
      forget(Socket, true);
    else
      refuse(Socket, One, {ErrorKind::SlowCaller, "", {}});
  }
}

} // namespace jacinthpond
