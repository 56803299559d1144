/** @file crowd.h Clients that send what they like and do not read. */

#ifndef JACINTHPOND_TESTS_INTEGRATION_CROWD_H
#define JACINTHPOND_TESTS_INTEGRATION_CROWD_H

#include "fleet/route_fleet.h"
#include "process_memory.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

using namespace std::chrono_literals;

/** What one client sends. */
struct Script {
  std::string Name;  ///< For messages.
  std::string Begin; ///< Sent first.
  std::string Block; ///< Sent next, several times.
  size_t Blocks = 0; ///< How often.
  std::string End;   ///< Sent last.

  size_t size() const {
    return Begin.size() + Block.size() * Blocks + End.size();
  }
  /** Gives the bytes that follow the first n ones. */
  std::string_view from(size_t n) const {
    if (n < Begin.size())
      return std::string_view(Begin).substr(n);
    n -= Begin.size();
    if (n < Block.size() * Blocks)
      return std::string_view(Block).substr(n % Block.size());
    return std::string_view(End).substr(n - Block.size() * Blocks);
  }
};

/** Many clients with one script, driven by one thread. */
class Crowd {
public:
  /** Connects to "IP:port"; clients that are turned away are left out. */
  Crowd(const std::string &At, size_t Clients, Script What)
      : What(std::move(What)), To(parse(At)) {
    for (size_t n = 0; n < Clients; ++n)
      connectOne();
  }
  ~Crowd() {
    for (const Client &One : All)
      close(One.Socket);
  }
  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /** Sends until each client has sent all, was cut off or gets no further. */
  void play() {
    const auto Limit = std::chrono::steady_clock::now() + 40s;
    auto LastProgress = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < Limit &&
           std::chrono::steady_clock::now() < LastProgress + 2s) {
      std::vector<pollfd> Waiting;
      for (const Client &One : All)
        if (!One.Gone && One.Sent < What.size())
          Waiting.push_back({One.Socket, POLLOUT, 0});
      if (Waiting.empty())
        return;
      poll(Waiting.data(), Waiting.size(), 100);
      for (Client &One : All)
        if (sendSome(One))
          LastProgress = std::chrono::steady_clock::now();
    }
  }

  /** Clients that were not cut off so far. */
  size_t connected() const {
    return static_cast<size_t>(std::ranges::count_if(
        All, [](const Client &One) { return !One.Gone; }));
  }

private:
  /** One connection. */
  struct Client {
    int Socket;
    size_t Sent = 0;
    bool Gone = false;
  };

  static sockaddr_in parse(const std::string &At) {
    const size_t Colon = At.find(':');
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port =
        htons(static_cast<uint16_t>(std::stoi(At.substr(Colon + 1))));
    inet_pton(AF_INET, At.substr(0, Colon).c_str(), &Address.sin_addr);
    return Address;
  }

  void connectOne() {
    const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Small, so that bytes wait at the process and not in the kernel.
    const int Small = 32 << 10;
    setsockopt(Socket, SOL_SOCKET, SO_SNDBUF, &Small, sizeof(Small));
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &Small, sizeof(Small));
    if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) !=
        0) {
      close(Socket);
      return;
    }
    fcntl(Socket, F_SETFL, O_NONBLOCK);
    All.push_back({Socket});
  }

  /** Sends once; true unless nothing could be sent. */
  bool sendSome(Client &One) const {
    if (One.Gone || One.Sent >= What.size())
      return false;
    const std::string_view Rest = What.from(One.Sent);
    const ssize_t n =
        ::send(One.Socket, Rest.data(), std::min<size_t>(Rest.size(), 64 << 10),
               MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
      return false;
    One.Gone = n < 0;
    One.Sent += n > 0 ? static_cast<size_t>(n) : 0;
    return true;
  }

  const Script What;
  const sockaddr_in To;
  std::vector<Client> All;
};

/** Descriptors that a process has open. */
inline size_t openDescriptors(int Pid) {
  std::error_code ec;
  const std::filesystem::directory_iterator First(
      "/proc/" + std::to_string(Pid) + "/fd", ec);
  return static_cast<size_t>(std::distance(begin(First), end(First)));
}

/** Largest body that the configuration of the tests allows. */
constexpr size_t MaxBody = 4 << 20;
/** Memory of the machine that the tests give to each process, in MB. */
constexpr size_t MachineMemory = 64;
/** Descriptors that the tests give to each process. */
constexpr size_t MachineDescriptors = 256;

/** Gives the head of a POST request, without its last empty line. */
inline std::string postHead(const std::string &Path,
                            const std::string &Key = "key-1") {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + Key +
         "\r\nX-Jacinthpond-Deadline-Remaining-Ms: 20000\r\n";
}

/** Gives a request with a length, of which the last byte is missing. */
inline Script lengthScript(const std::string &Head, size_t Body) {
  constexpr size_t BlockBytes = 64 << 10;
  return {"length",
          Head + "Content-Length: " + std::to_string(Body) + "\r\n\r\n",
          std::string(BlockBytes, 'x'), Body / BlockBytes - 1,
          std::string(BlockBytes - 1, 'x')};
}

/** Gives a request in large chunks, of which the last byte is missing. */
inline Script largeChunksScript(const std::string &Head, size_t Body) {
  constexpr size_t BlockBytes = 64 << 10;
  return {"large chunks", Head + "Transfer-Encoding: chunked\r\n\r\n",
          "10000\r\n" + std::string(BlockBytes, 'x') + "\r\n",
          Body / BlockBytes - 1,
          "10000\r\n" + std::string(BlockBytes - 1, 'x')};
}

/** Gives a request of one chunk, of which the last byte is missing. */
inline Script oneChunkScript(const std::string &Head, size_t Body) {
  constexpr size_t BlockBytes = 64 << 10;
  return {"one chunk", Head + "Transfer-Encoding: chunked\r\n\r\n400000\r\n",
          std::string(BlockBytes, 'x'), Body / BlockBytes - 1,
          std::string(BlockBytes - 1, 'x')};
}

/** One entry on a small machine, before a model worker and a plain server. */
struct CrowdedEntry {
  explicit CrowdedEntry(const Json &WorkerOptions = Json::object()) {
    RoutePlan Plan;
    Plan.Entries = 1;
    Plan.ModelWorkers = 1;
    Plan.PlainServers = 1;
    Plan.WorkerOptions = WorkerOptions;
    Plan.EntrySettings = {{"memory_mb", MachineMemory},
                          {"file_descriptors", MachineDescriptors},
                          {"answer_memory_mb", 16}};
    Plan.AgentSettings = {{"memory_mb", MachineMemory},
                          {"file_descriptors", MachineDescriptors}};
    // No client is cut off by a time before the crowd is complete.
    Plan.Limits = {{"max_body_bytes", MaxBody},
                   {"header_timeout_ms", 60000},
                   {"idle_timeout_ms", 60000}};
    All = std::make_unique<RouteFleet>(Plan);
    BOOST_REQUIRE(All->waitServing(30s));
  }

  std::string address(const std::string &Which) const {
    return All->addressOf(0, Which);
  }
  ChildProcess &process(const std::string &Name = "entry-0") const {
    return All->process(Name);
  }

  /** Bounds the descriptors of the entry, as its machine does. */
  void limitDescriptors() const {
    const rlimit Limit{MachineDescriptors, MachineDescriptors};
    BOOST_REQUIRE(prlimit(process().pid(), RLIMIT_NOFILE, &Limit, nullptr) ==
                  0);
  }

  /** Checks that a process lives on with the memory of its machine. */
  void checkMemory(const std::string &What,
                   const std::string &Name = "entry-0") const {
    BOOST_TEST(!process(Name).waitExit(0ms).has_value(), What);
    const size_t Peak = peakMegabytes(process(Name).pid());
    BOOST_TEST_MESSAGE(What << ": peak " << Peak << " MB");
    BOOST_TEST(Peak > 0U, What);
    BOOST_TEST(Peak < MachineMemory, What << ": " << Peak << " MB");
  }

  /** Checks that an ordinary request is answered in the end. */
  void checkServed(const std::string &What) const {
    RouteAsk Ask;
    Ask.Key = "key-3";
    BOOST_TEST(waitFor(20s, [&] { return All->ask(0, Ask).status == 200; }),
               What);
  }

  /** Checks both while a crowd's connections are open, and again without. */
  void checkBeside(std::unique_ptr<Crowd> Many, const std::string &What) const {
    Many->play();
    checkMemory(What);
    checkServed(What);
    Many.reset();
    checkServed(What + ", afterwards");
  }

  std::unique_ptr<RouteFleet> All;
};

} // namespace jacinthpond::fleet

#endif
