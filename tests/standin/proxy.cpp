/** @file proxy.cpp A TCP proxy that injects faults.
 *
 * /control takes: "mode" ("pass", "freeze": bytes wait, "freeze_up" and
 * "freeze_down": only those to or from the target, "refuse": new connections
 * are closed, "closed": nobody listens), "delay_ms", "bytes_per_second",
 * "corrupt_every" (flips a bit in every n-th block), "cut": true (closes all
 * connections), "reset": true (the same, without the polite end), "lose": true
 * (all connections of now go silent for good; new ones work). Start values name
 * the address too: "ip", "port".
 */

#include "standin.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

namespace jacinthpond::standin {

namespace {

constexpr size_t BlockBytes = 16384;
/** Time between two looks at the faults while nothing moves. */
constexpr int PollMillis = 20;
/** Time between two looks whether to listen again. */
constexpr int ClosedPollMillis = 5;

/** Faults in force; guarded by Guard where not atomic. */
struct Faults {
  std::mutex Guard;
  Json Options;
  std::atomic<bool> FrozenUp{false};   ///< To the target.
  std::atomic<bool> FrozenDown{false}; ///< From the target.
  std::atomic<bool> Refusing{false};
  std::atomic<bool> Closed{false}; ///< Nobody listens.
  std::atomic<int> DelayMillis{0};
  std::atomic<uint64_t> BytesPerSecond{0};
  std::atomic<uint64_t> CorruptEvery{0};
  std::atomic<uint64_t> CutBefore{0};  ///< Connections below are closed.
  std::atomic<bool> Resetting{false};  ///< The last cut was a reset.
  std::atomic<uint64_t> LoseBefore{0}; ///< Connections below are silent.
  std::atomic<uint64_t> Blocks{0};
  std::atomic<uint64_t> Connections{0};
  sockaddr_in Target{};
};

/** Both sockets of a connection; closed when the last thread lets go. */
struct Pair {
  uint64_t Number = 0;
  int Client = -1;
  int Server = -1;
  std::atomic<bool> Over{false};
  ~Pair() {
    close(Client);
    close(Server);
  }
};

bool sendAll(int Socket, const char *Data, size_t n) {
  while (n > 0) {
    const ssize_t Sent = send(Socket, Data, n, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Data += Sent;
    n -= static_cast<size_t>(Sent);
  }
  return true;
}

bool readable(int Socket) {
  pollfd One{Socket, POLLIN, 0};
  return poll(&One, 1, PollMillis) > 0;
}

/** Lets the close of a socket be a reset. */
void resetOnClose(int Socket) {
  const linger AtOnce{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
}

/** Ends a connection for both directions. */
void end(Faults &Now, Pair &Both) {
  Both.Over = true;
  if (Now.Resetting && Both.Number < Now.CutBefore) {
    // The close of the last reference resets; a shutdown would end politely.
    resetOnClose(Both.Client);
    resetOnClose(Both.Server);
    return;
  }
  shutdown(Both.Client, SHUT_RDWR);
  shutdown(Both.Server, SHUT_RDWR);
}

/** Relays one direction until an end is closed or the connection is cut. */
void relay(Faults &Now, const std::shared_ptr<Pair> &Both, int From, int To) {
  const std::atomic<bool> &Frozen =
      From == Both->Client ? Now.FrozenUp : Now.FrozenDown;
  std::array<char, BlockBytes> buf{};
  while (!Both->Over && Both->Number >= Now.CutBefore) {
    const bool Silent = Both->Number < Now.LoseBefore || Frozen;
    if (Silent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
      continue;
    }
    if (!readable(From))
      continue;
    const ssize_t Got = recv(From, buf.data(), buf.size(), 0);
    if (Got <= 0)
      break;
    const auto n = static_cast<size_t>(Got);
    const uint64_t Every = Now.CorruptEvery;
    if (Every > 0 && ++Now.Blocks % Every == 0)
      buf.at(n / 2) ^= 1;
    if (Now.DelayMillis > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Now.DelayMillis));
    if (Now.BytesPerSecond > 0)
      std::this_thread::sleep_for(
          std::chrono::microseconds(1000000 * n / Now.BytesPerSecond));
    if (!sendAll(To, buf.data(), n))
      break;
  }
  end(Now, *Both);
}

void handle(Faults &Now, int Client) {
  const int Server = socket(AF_INET, SOCK_STREAM, 0);
  if (Now.Refusing || connect(Server, reinterpret_cast<sockaddr *>(&Now.Target),
                              sizeof(Now.Target)) != 0) {
    close(Client);
    close(Server);
    return;
  }
  const int One = 1;
  setsockopt(Client, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  setsockopt(Server, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  const auto Both = std::make_shared<Pair>();
  Both->Number = ++Now.Connections;
  Both->Client = Client;
  Both->Server = Server;
  std::thread([&Now, Both] {
    relay(Now, Both, Both->Client, Both->Server);
  }).detach();
  std::thread([&Now, Both] {
    relay(Now, Both, Both->Server, Both->Client);
  }).detach();
}

void control(Faults &Now, const Json &Value) {
  const std::lock_guard Lock(Now.Guard);
  Now.Options.update(Value);
  const std::string Mode = Now.Options.value("mode", "pass");
  Now.FrozenUp = Mode == "freeze" || Mode == "freeze_up";
  Now.FrozenDown = Mode == "freeze" || Mode == "freeze_down";
  Now.Refusing = Mode == "refuse";
  Now.Closed = Mode == "closed";
  Now.DelayMillis = Now.Options.value("delay_ms", 0);
  Now.BytesPerSecond = Now.Options.value("bytes_per_second", uint64_t{0});
  Now.CorruptEvery = Now.Options.value("corrupt_every", uint64_t{0});
  Now.Resetting = Value.value("reset", false);
  if (Value.value("cut", false) || Now.Resetting)
    Now.CutBefore = Now.Connections + 1;
  if (Value.value("lose", false))
    Now.LoseBefore = Now.Connections + 1;
}

int listenOn(const std::string &Ip, int Port, int &Bound) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  const int One = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
  socklen_t n = sizeof(At);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&At), n) != 0 ||
      listen(Socket, 512) != 0)
    return -1;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &n);
  Bound = ntohs(At.sin_port);
  return Socket;
}

/** Accepts connections; stops listening while that is asked for. */
void acceptAll(Faults &Now, const std::string &Ip, int Port, int Listening) {
  for (;;) {
    if (Now.Closed && Listening >= 0) {
      close(Listening);
      Listening = -1;
    }
    if (!Now.Closed && Listening < 0)
      Listening = listenOn(Ip, Port, Port);
    if (Listening < 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(ClosedPollMillis));
    else if (readable(Listening))
      if (const int Client = accept(Listening, nullptr, nullptr); Client >= 0)
        std::thread([&Now, Client] { handle(Now, Client); }).detach();
  }
}

} // namespace

int runProxy(int Port, const Json &Options) {
  Faults Now;
  Now.Options = Json::object();
  control(Now, Options);
  const std::string Target = Options.value("target", "");
  const size_t Colon = Target.rfind(':');
  if (Colon == std::string::npos)
    return 2;
  Now.Target.sin_family = AF_INET;
  Now.Target.sin_port =
      htons(static_cast<uint16_t>(std::atoi(Target.c_str() + Colon + 1)));
  inet_pton(AF_INET, Target.substr(0, Colon).c_str(), &Now.Target.sin_addr);
  int Bound = 0;
  const std::string Ip = Options.value("ip", "127.0.0.1");
  const int Listening = listenOn(Ip, Options.value("port", 0), Bound);
  if (Listening < 0)
    return 1;
  std::cout << Json({{"proxy", Ip + ":" + std::to_string(Bound)}}).dump()
            << std::endl;
  std::thread([&Now, Ip, Bound, Listening] {
    acceptAll(Now, Ip, Bound, Listening);
  }).detach();
  httplib::Server Server;
  prepare(Server, 4);
  Server.Post("/control", [&](const auto &Asked, auto &) {
    control(Now, Json::parse(Asked.body, nullptr, false));
  });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    reply(Answer, {{"connections", Now.Connections.load()}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
