/** @file guarded_server.cpp HTTP server that slow callers cannot block. */

#include "http/guarded_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace jacinthpond {

namespace {

/** Requests on one connection before it is closed. */
constexpr uint32_t MaxRequestsPerConnection = 1000;
/** Total time that one answer may wait for a caller that does not read. */
constexpr Millis MaxWriteStall{10000};
/** Longest wait for requests in progress when the listener stops. */
constexpr Millis FinishTimeout{5000};
/** Time between two checks whether all requests have ended. */
constexpr Millis FinishPollInterval{5};

/** Connection of the request that this thread serves; -1: none. */
thread_local int ServedSocket = -1;

/** Says whether the peer has closed or reset the connection. */
bool isPeerClosed(int Socket) {
  char c = 0;
  const ssize_t n = recv(Socket, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/** Stream of the library that reads a received request from memory and writes
 * the answer to its connection. */
class RequestStream final : public httplib::Stream {
public:
  RequestStream(int Connection, const std::string &Whole)
      : Socket(Connection), Request(Whole) {}

  bool is_readable() const override { return Next < Request.size(); }
  bool is_writable() const override { return !Failed && !isPeerClosed(Socket); }

  ssize_t read(char *Into, size_t Size) override {
    const size_t n = std::min(Size, Request.size() - Next);
    std::memcpy(Into, Request.data() + Next, n);
    Next += n;
    return static_cast<ssize_t>(n);
  }

  ssize_t write(const char *Data, size_t Size) override {
    size_t Done = 0;
    while (Done < Size && !Failed) {
      const ssize_t n =
          send(Socket, Data + Done, Size - Done, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        Done += static_cast<size_t>(n);
      else
        Failed = errno != EAGAIN || !waitUntilWritable();
    }
    return Failed ? -1 : static_cast<ssize_t>(Size);
  }

  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_in At{};
    socklen_t Size = sizeof(At);
    getpeername(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
    formatAddress(At, Ip, Port);
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_in At{};
    socklen_t Size = sizeof(At);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
    formatAddress(At, Ip, Port);
  }
  socket_t socket() const override { return Socket; }

private:
  /** Converts a socket address to an IP and a port. */
  static void formatAddress(const sockaddr_in &At, std::string &Ip, int &Port) {
    std::array<char, INET_ADDRSTRLEN> Text{};
    inet_ntop(AF_INET, &At.sin_addr, Text.data(), Text.size());
    Ip = Text.data();
    Port = ntohs(At.sin_port);
  }

  /**
   * Waits until the socket can take more bytes; false when the time is up.
   * The time limit covers the whole answer: a caller that reads a byte now and
   * then would otherwise hold the thread forever.
   */
  bool waitUntilWritable() {
    const auto Before = std::chrono::steady_clock::now();
    pollfd Poll{Socket, POLLOUT, 0};
    const int n = poll(&Poll, 1, static_cast<int>(StallLeft.count()));
    StallLeft -= toMillis(std::chrono::steady_clock::now() - Before);
    return n > 0 && StallLeft.count() > 0;
  }

  const int Socket;
  const std::string &Request;
  size_t Next = 0; ///< Index of the next byte of Request to read.
  Millis StallLeft = MaxWriteStall; ///< Time that is left for waiting.
  bool Failed = false;
};

/** Task queue of the library that runs tasks at once, on the accepting thread:
 * they only pass the connection to the receiver. */
class InlineTaskQueue final : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Work) override { Work(); }
  void shutdown() override {}
};

/** Gives the receiver's share of a listener's limits. */
ReceiverLimits receiverLimits(const ListenerLimits &Limits) {
  ReceiverLimits Result;
  Result.Request.MaxBodyBytes = Limits.MaxBodyBytes;
  Result.ReadTimeout = Limits.ReadTimeout;
  Result.MaxConnections = Limits.MaxConnections;
  Result.Name = Limits.Name;
  Result.MaxBytes = Limits.MaxBytes;
  Result.Copies = Limits.Copies;
  return Result;
}

} // namespace

bool isCallerGone() { return ServedSocket >= 0 && isPeerClosed(ServedSocket); }

GuardedServer::GuardedServer(const ListenerLimits &Limits)
    : MaxActiveRequests(Limits.Threads + Limits.MaxQueued),
      Threads(std::make_unique<httplib::ThreadPool>(Limits.Threads)),
      Receiver(std::make_unique<RequestReceiver>(
          receiverLimits(Limits),
          [this](ReceivedRequest Pending) { dispatch(std::move(Pending)); })) {
  configureServer(*this, Limits);
  new_task_queue = [] { return new InlineTaskQueue; };
}

GuardedServer::~GuardedServer() {
  Receiver->stop();
  Threads->shutdown();
}

void GuardedServer::drainAndStop(std::thread &AcceptThread) {
  const auto Deadline = std::chrono::steady_clock::now() + FinishTimeout;
  while (ActiveRequests > 0 && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(FinishPollInterval);
  stop();
  if (AcceptThread.joinable())
    AcceptThread.join();
}

bool GuardedServer::process_and_close_socket(socket_t sock) {
  Receiver->add(sock);
  return true;
}

void GuardedServer::dispatch(ReceivedRequest Pending) {
  // Behind long answers, a request could wait for a thread without any
  // response. When it is refused instead, its caller can try another entry.
  if (ActiveRequests >= MaxActiveRequests) {
    sendRefusal(Pending.Socket,
                {ErrorKind::Overloaded, "no thread is free", {}});
    Receiver->release(Pending);
    close(Pending.Socket);
    return;
  }
  ++ActiveRequests;
  Threads->enqueue([this, Accepted = std::move(Pending)]() mutable {
    serveRequest(Accepted);
    --ActiveRequests;
  });
}

void GuardedServer::serveRequest(ReceivedRequest &Pending) {
  const bool LastRequest = Pending.Served + 1 >= MaxRequestsPerConnection;
  bool Closed = false;
  RequestStream Stream(Pending.Socket, Pending.Request);
  ServedSocket = Pending.Socket;
  const bool Success =
      process_request(Stream, LastRequest, Closed, [](httplib::Request &) {});
  ServedSocket = -1;
  if (Success && !Closed && !LastRequest) {
    Receiver->giveBack(std::move(Pending));
    return;
  }
  Receiver->release(Pending);
  shutdown(Pending.Socket, SHUT_RDWR);
  close(Pending.Socket);
}

} // namespace jacinthpond
