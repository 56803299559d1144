/** @file guarded_server.cpp A listener that slow callers cannot hold up. */

#include "http/guarded_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace jacinthpond {

namespace {

/** Requests on one connection before it is closed. */
constexpr uint32_t MaxServed = 1000;
/** Time that one answer may wait, in all, for a caller that does not read. */
constexpr Millis MaxWriteStall{10000};
/** Longest wait for answers under way when the listener ends. */
constexpr Millis FinishTime{5000};
constexpr Millis FinishPoll{5};

/** Connection that the thread serves; -1: none. */
thread_local int ServedSocket = -1;

bool peerGone(int Socket) {
  char c = 0;
  const ssize_t n = recv(Socket, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/** Gives the library a request from memory and writes to the connection. */
class RequestStream final : public httplib::Stream {
public:
  RequestStream(int Connection, const std::string &Whole)
      : Socket(Connection), Request(Whole) {}

  bool is_readable() const override { return Next < Request.size(); }
  bool is_writable() const override { return !Failed && !peerGone(Socket); }

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
        Failed = errno != EAGAIN || !waitForRoom();
    }
    return Failed ? -1 : static_cast<ssize_t>(Size);
  }

  void get_remote_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_in At{};
    socklen_t Size = sizeof(At);
    getpeername(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
    tell(At, Ip, Port);
  }
  void get_local_ip_and_port(std::string &Ip, int &Port) const override {
    sockaddr_in At{};
    socklen_t Size = sizeof(At);
    getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
    tell(At, Ip, Port);
  }
  socket_t socket() const override { return Socket; }

private:
  static void tell(const sockaddr_in &At, std::string &Ip, int &Port) {
    std::array<char, INET_ADDRSTRLEN> Text{};
    inet_ntop(AF_INET, &At.sin_addr, Text.data(), Text.size());
    Ip = Text.data();
    Port = ntohs(At.sin_port);
  }

  /**
   * Waits until the caller reads. The time counts over the whole answer: one
   * that reads a byte now and then would otherwise hold the thread for ever.
   */
  bool waitForRoom() {
    const auto Before = std::chrono::steady_clock::now();
    pollfd Room{Socket, POLLOUT, 0};
    const int n = poll(&Room, 1, static_cast<int>(StallLeft.count()));
    StallLeft -= toMillis(std::chrono::steady_clock::now() - Before);
    return n > 0 && StallLeft.count() > 0;
  }

  const int Socket;
  const std::string &Request;
  size_t Next = 0; ///< First byte of Request that was not read.
  Millis StallLeft = MaxWriteStall;
  bool Failed = false;
};

/** Hands accepted connections over on the thread that accepted them. */
class InlineQueue final : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Work) override { Work(); }
  void shutdown() override {}
};

ReceiverLimits receiverLimits(const ListenerLimits &Limits) {
  ReceiverLimits Bounds;
  Bounds.Request.MaxBodyBytes = Limits.MaxBodyBytes;
  Bounds.ReadTimeout = Limits.ReadTimeout;
  Bounds.MaxConnections = Limits.MaxConnections;
  return Bounds;
}

} // namespace

bool callerGone() { return ServedSocket >= 0 && peerGone(ServedSocket); }

GuardedServer::GuardedServer(const ListenerLimits &Limits)
    : MaxActive(Limits.Threads + Limits.MaxQueued),
      Threads(std::make_unique<httplib::ThreadPool>(Limits.Threads)),
      Receiver(std::make_unique<RequestReceiver>(
          receiverLimits(Limits),
          [this](Received One) { take(std::move(One)); })) {
  setupServer(*this, Limits);
  new_task_queue = [] { return new InlineQueue; };
}

GuardedServer::~GuardedServer() {
  Receiver->stop();
  Threads->shutdown();
}

void GuardedServer::finish(std::thread &Accepting) {
  const auto Limit = std::chrono::steady_clock::now() + FinishTime;
  while (Active > 0 && std::chrono::steady_clock::now() < Limit)
    std::this_thread::sleep_for(FinishPoll);
  stop();
  if (Accepting.joinable())
    Accepting.join();
}

bool GuardedServer::process_and_close_socket(socket_t sock) {
  Receiver->add(sock, "", 0);
  return true;
}

void GuardedServer::take(Received One) {
  // A request that waited for a thread behind long answers would be held back
  // without a word; refused, its caller can go to another entry.
  if (Active >= MaxActive) {
    answerRefused(One.Socket, {ErrorKind::Overloaded, "no thread is free", {}});
    close(One.Socket);
    return;
  }
  ++Active;
  Threads->enqueue([this, Kept = std::move(One)]() mutable {
    serve(Kept);
    --Active;
  });
}

void GuardedServer::serve(Received &One) {
  const bool Last = One.Served + 1 >= MaxServed;
  bool Closed = false;
  RequestStream Stream(One.Socket, One.Request);
  ServedSocket = One.Socket;
  const bool Good =
      process_request(Stream, Last, Closed, [](httplib::Request &) {});
  ServedSocket = -1;
  if (Good && !Closed && !Last) {
    Receiver->add(One.Socket, std::move(One.Rest), One.Served + 1);
    return;
  }
  shutdown(One.Socket, SHUT_RDWR);
  close(One.Socket);
}

} // namespace jacinthpond
