/** @file world.h Stand-ins for the users' platform, and a small deployment of
 * the project's programs, for the cases of the second review.
 *
 * Header only. The stand-ins are threads of the case's own process and listen
 * on loopback addresses; entries and agents are processes of their own, started
 * with the commands of the deploy file.
 */

#ifndef REVIEW_SHARED_2_WORLD_H
#define REVIEW_SHARED_2_WORLD_H

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/** Exit codes of a case. */
enum CaseEnd : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/** Thrown when a case cannot run. */
class CannotRun : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

/** Seconds since the case began. */
inline double secondsNow() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline int64_t millisOfDay() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Lines of record.txt, with the time of each. */
class Record {
public:
  explicit Record(const std::string &Path) : Out(Path, std::ios::trunc) {}
  void line(const std::string &Text) {
    const std::lock_guard Lock(Guard);
    std::array<char, 32> At{};
    std::snprintf(At.data(), At.size(), "%8.3f  ", secondsNow());
    Out << At.data() << Text << std::endl;
  }
  /** A line that is shown on the terminal too. */
  void tell(const std::string &Text) {
    line(Text);
    std::cout << Text << std::endl;
  }

private:
  std::mutex Guard;
  std::ofstream Out;
};

/** A port that is free at the moment, on an address. */
inline int freePort(const std::string &Ip = "127.0.0.1") {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  ::inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
  socklen_t Size = sizeof At;
  const bool Good =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&At), sizeof At) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size) == 0;
  ::close(Socket);
  if (!Good)
    throw CannotRun("no free port");
  return ntohs(At.sin_port);
}

inline std::string base64(const std::string &Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int n =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<size_t>(n));
  return Text;
}

inline std::string sha256(const std::string &Bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Sum{};
  unsigned Size = 0;
  EVP_Digest(Bytes.data(), Bytes.size(), Sum.data(), &Size, EVP_sha256(),
             nullptr);
  std::string Text;
  for (unsigned n = 0; n < Size; ++n) {
    std::array<char, 3> Two{};
    std::snprintf(Two.data(), Two.size(), "%02x", Sum.at(n));
    Text += Two.data();
  }
  return Text;
}

/** An HTTP listener on a thread of its own. */
class Listener {
public:
  httplib::Server Http;

  Listener() {
    Http.new_task_queue = [] { return new httplib::ThreadPool(64); };
    Http.set_keep_alive_max_count(1000000);
    Http.set_keep_alive_timeout(60);
    Http.set_tcp_nodelay(true);
  }
  ~Listener() { stop(); }
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  void start(const std::string &Ip, int Port) {
    if (!Http.bind_to_port(Ip, Port))
      throw CannotRun("cannot listen on " + Ip + ":" + std::to_string(Port));
    Accepting = std::thread([this] { Http.listen_after_bind(); });
    while (!Http.is_running())
      std::this_thread::sleep_for(1ms);
  }
  void stop() {
    Http.stop();
    if (Accepting.joinable())
      Accepting.join();
  }

private:
  std::thread Accepting;
};

/** The platform's store, as PROTOCOL.md tells it. */
class Store {
public:
  /** history_s of the deployment. */
  static constexpr auto HistoryTime = 20s;
  const int Port = freePort();

  Store() {
    Server.Http.Get("/kv-range", [this](const auto &Asked, auto &Answer) {
      range(Asked, Answer);
    });
    Server.Http.Get("/kv-watch", [this](const auto &Asked, auto &Answer) {
      watch(Asked, Answer);
    });
    Server.start("127.0.0.1", Port);
  }
  ~Store() {
    {
      const std::lock_guard Lock(Guard);
      Ending = true;
    }
    Changed.notify_all();
    Server.stop();
  }
  Store(const Store &) = delete;
  Store &operator=(const Store &) = delete;

  /** Sets whether the machines of the system are turned away with 503. */
  void turnAway(bool Wanted) {
    const std::lock_guard Lock(Guard);
    TurnsAway = Wanted;
    Changed.notify_all();
  }

  void put(const std::string &Key, const Json &Value) {
    const std::lock_guard Lock(Guard);
    const uint64_t Now = ++Revision;
    while (!History.empty() && Clock::now() - HistoryAt.front() > HistoryTime) {
      Forgotten = History.front().at("revision").get<uint64_t>();
      History.pop_front();
      HistoryAt.pop_front();
    }
    const auto it = Items.find(Key);
    const Json Created =
        it == Items.end() ? Json(Now) : it->second.at("created");
    Items[Key] = {{"key", Key},
                  {"value", base64(Value.dump())},
                  {"revision", Now},
                  {"created", Created},
                  {"lease", 0}};
    History.push_back(Items[Key]);
    HistoryAt.push_back(Clock::now());
    Changed.notify_all();
  }

private:
  void range(const httplib::Request &Asked, httplib::Response &Answer) {
    const std::string Prefix = Asked.get_param_value("prefix");
    const std::string After = Asked.get_param_value("after");
    const std::lock_guard Lock(Guard);
    if (TurnsAway) {
      Answer.status = 503;
      return;
    }
    Json Page = {{"items", Json::array()},
                 {"truncated", false},
                 {"store_revision", Revision}};
    for (const auto &[Key, Item] : Items)
      if (Key.starts_with(Prefix) && Key > After)
        Page["items"].push_back(Item);
    Answer.set_content(Page.dump(), "application/json");
  }
  void watch(const httplib::Request &Asked, httplib::Response &Answer) {
    const uint64_t After = std::stoull(Asked.get_param_value("after"));
    const std::chrono::milliseconds Wait(
        std::stol(Asked.get_param_value("wait_ms")));
    std::unique_lock Lock(Guard);
    Changed.wait_for(Lock, Wait,
                     [&] { return Ending || TurnsAway || Revision > After; });
    if (TurnsAway) {
      Answer.status = 503;
      return;
    }
    if (After < Forgotten) {
      Answer.status = 410;
      return;
    }
    Json Events = Json::array();
    for (const Json &One : History)
      if (One.at("revision") > After)
        Events.push_back(One);
    Answer.set_content(
        Json({{"events", Events}, {"store_revision", Revision}}).dump(),
        "application/json");
  }

  std::mutex Guard;
  std::condition_variable Changed;
  std::map<std::string, Json> Items;
  std::deque<Json> History;
  std::deque<Clock::time_point> HistoryAt; ///< When each event came.
  uint64_t Forgotten = 0;                  ///< Events up to it are gone.
  bool TurnsAway = false;
  uint64_t Revision = 1;
  bool Ending = false;
  Listener Server;
};

/** A process that the case started; killed at the latest with this. */
class Process {
public:
  Process(const std::vector<std::string> &Words, const std::string &Log) {
    std::vector<char *> Arguments;
    for (const std::string &Word : Words)
      Arguments.push_back(const_cast<char *>(Word.c_str()));
    Arguments.push_back(nullptr);
    Id = ::fork();
    if (Id == 0) {
      const int Out = ::open(Log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(Out, 1);
      ::dup2(Out, 2);
      ::execv(Arguments.front(), Arguments.data());
      ::_exit(127);
    }
    if (Id < 0)
      throw CannotRun("cannot start " + Words.front());
  }
  ~Process() {
    signal(SIGKILL);
    wait();
  }
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Which) const {
    if (!Ended)
      ::kill(Id, Which);
  }
  /** Says whether it still runs. */
  bool isRunning() {
    if (!Ended && ::waitpid(Id, nullptr, WNOHANG) == Id)
      Ended = true;
    return !Ended;
  }
  void wait() {
    if (!Ended)
      ::waitpid(Id, nullptr, 0);
    Ended = true;
  }
  /** A field of its status, in KiB, such as VmRSS. */
  [[nodiscard]] long statusKib(const std::string &Field) const {
    std::ifstream Status("/proc/" + std::to_string(Id) + "/status");
    for (std::string Word; Status >> Word;)
      if (Word == Field + ":") {
        long Kib = 0;
        Status >> Kib;
        return Kib;
      }
    return 0;
  }

private:
  pid_t Id = 0;
  bool Ended = false;
};

/** Program of a role in the deploy file, and its folder of settings. */
struct Programs {
  std::string Entry = "target/packages/entry/jacinthpond";
  std::string Agent = "target/packages/agent/jacinthpond-agent";
};

/** A temporary folder, removed with this. */
class TemporaryFolder {
public:
  std::filesystem::path Path;
  TemporaryFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Template.data()) == nullptr)
      throw CannotRun("no temporary folder");
    Path = Template;
  }
  ~TemporaryFolder() {
    std::error_code ec;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(Path, ec);
  }
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;
};

/** An entry: addresses and process. Its settings are those that the templates
 * of the deploy file give on a small deployment. */
class Entry {
public:
  std::string Name;
  int RoutePort = freePort();
  int ReadyPort = freePort();
  int DirectoryPort = freePort();
  int PeerPort = freePort();

  Entry(std::string Name, std::string Zone)
      : Name(std::move(Name)), Zone(std::move(Zone)) {}

  void writeSettings(const std::filesystem::path &Folder, const Store &Platform,
                     const std::vector<int> &Seeds, int AgentPort) {
    Json SeedPeers = Json::array();
    for (const int Port : Seeds)
      SeedPeers.push_back("127.0.0.1:" + std::to_string(Port));
    const auto At = [](int Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    const Json Settings = {{"name", Name},
                           {"domain", Zone},
                           {"platform", "store"},
                           {"config_url", "http://" + At(Platform.Port)},
                           {"peer_listen", At(PeerPort)},
                           {"seed_peers", SeedPeers},
                           {"route_listen", At(RoutePort)},
                           {"ready_listen", At(ReadyPort)},
                           {"directory_listen", At(DirectoryPort)},
                           {"caller_listen", ""},
                           {"admin_listen", "127.0.0.1:0"},
                           {"domain_regions", {"z0=r0", "z1=r1"}},
                           {"agent_port", AgentPort},
                           {"stop_grace_s", 8},
                           {"weights_change_ms", 8000},
                           {"repeat_ratio", 0.2},
                           {"repeat_slack", 106},
                           {"repeat_window_s", 10},
                           {"serve_cut_off", true},
                           {"address_keep_ms", 2000},
                           {"leave_notice_ms", 5500},
                           {"join_wait_ms", 600},
                           {"heartbeat_ms", 600},
                           {"link_silence_ms", 2000},
                           {"reconnect_ms", 100}};
    File = (Folder / (Name + ".json")).string();
    Log = (Folder / (Name + ".log")).string();
    std::ofstream(File) << Settings.dump(2);
  }
  void start(const Programs &Built) {
    Running = std::make_unique<Process>(
        std::vector<std::string>{Built.Entry, "serve", "--settings", File},
        Log);
  }
  [[nodiscard]] bool isReady() const {
    httplib::Client Asking("127.0.0.1", ReadyPort);
    Asking.set_connection_timeout(1s);
    Asking.set_read_timeout(1s);
    const auto Answer = Asking.Get("/ready");
    return Answer && Answer->status == 200;
  }
  void waitUntilReady() const {
    for (int n = 0; n < 200; ++n) {
      if (isReady())
        return;
      std::this_thread::sleep_for(50ms);
    }
    throw CannotRun(Name + " does not become ready");
  }

  std::unique_ptr<Process> Running;

private:
  std::string Zone;
  std::string File;
  std::string Log;
};

/** A route of the configuration. */
inline Json routeOf(const std::string &Name, const std::string &Kind,
                    const std::string &Service, int TimeoutMillis) {
  return {{"name", Name},
          {"host", "h.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", TimeoutMillis},
          {"target_latency_ms", 400},
          {"gap_target_ms", 300},
          {"priority", 1},
          {"service", Service},
          {"max_attempts", Kind == "non_idempotent" ? 1 : 2},
          {"allow_anonymous", false},
          {"resume_streams", Kind == "streaming"},
          {"allowed_regions", Json::array()}};
}

/** A configuration with the limits that `fleetbench wire` shows. */
inline Json configOf(const Json &Routes, const Json &Services) {
  return {{"version", 1},
          {"routes", Routes},
          {"services", Services},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", {{{"name", "huts"}, {"api_keys", {"key-1"}}}}}};
}

/** A server's item in the store, written anew every heartbeat while it runs. */
class Registration {
public:
  Registration(Store &Into, std::string Id, std::function<Json()> Describe)
      : Into(Into), Id(std::move(Id)), Describe(std::move(Describe)),
        Beating([this] { beat(); }) {}
  ~Registration() {
    {
      const std::lock_guard Lock(Guard);
      Ending = true;
    }
    Wake.notify_all();
    Beating.join();
  }
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;

private:
  void beat() {
    for (uint64_t n = 1;; ++n) {
      Json Item = Describe();
      Item["sequence"] = n;
      Into.put("servers/" + Id, Item);
      std::unique_lock Lock(Guard);
      if (Wake.wait_for(Lock, 1200ms, [this] { return Ending; }))
        return;
    }
  }

  Store &Into;
  std::string Id;
  std::function<Json()> Describe;
  std::mutex Guard;
  std::condition_variable Wake;
  bool Ending = false;
  std::thread Beating;
};

/** Bytes that a socket gives, line by line or by number; the other end may
 * close at any time. */
class Connection {
public:
  explicit Connection(int Socket) : Socket(Socket) {}
  ~Connection() { ::close(Socket); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /** Connects; null when that fails. ReceiveBytes: size of the receive buffer;
   * 0: the system's. */
  static std::unique_ptr<Connection> open(const std::string &Ip, int Port,
                                          int ReceiveBytes = 0) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (ReceiveBytes > 0)
      ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                   sizeof ReceiveBytes);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<uint16_t>(Port));
    ::inet_pton(AF_INET, Ip.c_str(), &At.sin_addr);
    if (::connect(Socket, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0) {
      ::close(Socket);
      return nullptr;
    }
    const int On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
    return std::make_unique<Connection>(Socket);
  }

  bool write(const std::string &Bytes) const {
    for (size_t Done = 0; Done < Bytes.size();) {
      const ssize_t n = ::send(Socket, Bytes.data() + Done, Bytes.size() - Done,
                               MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      Done += static_cast<size_t>(n);
    }
    return true;
  }
  /** Next line without its end; nothing: the connection ended. */
  std::optional<std::string> line() {
    std::string Text;
    for (;;) {
      const size_t At = Buffer.find('\n', Begin);
      if (At != std::string::npos) {
        Text = Buffer.substr(Begin, At - Begin);
        Begin = At + 1;
        if (!Text.empty() && Text.back() == '\r')
          Text.pop_back();
        return Text;
      }
      if (!fill(1 << 16))
        return std::nullopt;
    }
  }
  /** Takes bytes that came, at most Most; 0: the connection ended. */
  size_t take(size_t Most) {
    if (Begin == Buffer.size() && !fill(Most))
      return 0;
    const size_t n = std::min(Most, Buffer.size() - Begin);
    Begin += n;
    return n;
  }
  /** Reads and drops a body; false when the connection ended before. */
  bool skip(size_t Bytes) {
    while (Bytes > 0) {
      const size_t n = take(std::min<size_t>(Bytes, 1 << 16));
      if (n == 0)
        return false;
      Bytes -= n;
    }
    return true;
  }

private:
  bool fill(size_t Most) {
    Buffer.erase(0, Begin);
    Begin = 0;
    const size_t Had = Buffer.size();
    Buffer.resize(Had + Most);
    const ssize_t n = ::recv(Socket, Buffer.data() + Had, Most, 0);
    Buffer.resize(Had + static_cast<size_t>(std::max<ssize_t>(n, 0)));
    return n > 0;
  }

  int Socket;
  std::string Buffer;
  size_t Begin = 0;
};

/** Head of a message: its first line and its fields, names in lower case. */
struct Head {
  std::string First;
  std::map<std::string, std::string> Fields;
  [[nodiscard]] std::string field(const std::string &Name) const {
    const auto it = Fields.find(Name);
    return it == Fields.end() ? "" : it->second;
  }
  [[nodiscard]] int status() const {
    return First.size() < 12 ? 0 : std::atoi(First.c_str() + 9);
  }
};

/** Reads a head; nothing: the connection ended before. */
inline std::optional<Head> readHead(Connection &From) {
  Head Read;
  const auto First = From.line();
  if (!First)
    return std::nullopt;
  Read.First = *First;
  for (;;) {
    const auto Line = From.line();
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      return Read;
    const size_t Colon = Line->find(':');
    std::string Name = Line->substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char One) { return std::tolower(One); });
    const size_t Begin = Line->find_first_not_of(' ', Colon + 1);
    Read.Fields[Name] = Begin == std::string::npos ? "" : Line->substr(Begin);
  }
}

/** A plain worker. It reads a request whole, runs it and answers; where its id
 * isn't the expected one it says so. */
class PlainWorker {
public:
  const std::string Id;
  const int Port = freePort();

  /** Work: what the body of an answer to a path is, after the work. */
  PlainWorker(std::string Id, Record &Log,
              std::function<std::string(const std::string &Path)> Work)
      : Id(std::move(Id)), Log(Log), Work(std::move(Work)) {
    Listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int On = 1;
    ::setsockopt(Listening, SOL_SOCKET, SO_REUSEADDR, &On, sizeof On);
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_port = htons(static_cast<uint16_t>(Port));
    ::inet_pton(AF_INET, "127.0.0.1", &At.sin_addr);
    if (::bind(Listening, reinterpret_cast<sockaddr *>(&At), sizeof At) != 0 ||
        ::listen(Listening, 512) != 0)
      throw CannotRun("a worker cannot listen");
    Accepting = std::thread([this] { accept(); });
  }
  ~PlainWorker() {
    Ending = true;
    ::shutdown(Listening, SHUT_RDWR);
    ::close(Listening);
    Accepting.join();
    while (Open > 0)
      std::this_thread::sleep_for(5ms);
  }
  PlainWorker(const PlainWorker &) = delete;
  PlainWorker &operator=(const PlainWorker &) = delete;

  [[nodiscard]] Json item(int Slots) const {
    return {{"service", "plain"},
            {"address", "127.0.0.1:" + std::to_string(Port)},
            {"zone", "z0"},
            {"version", "v1"},
            {"slots", Slots},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"born", Born}};
  }
  /** Says whether it has run a request. */
  bool hasRun(const std::string &Attempt) {
    const std::lock_guard Lock(Guard);
    return Runs.contains(Attempt);
  }

private:
  void accept() {
    while (!Ending) {
      const int Socket = ::accept4(Listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        continue;
      const int On = 1;
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof On);
      const timeval Idle{20, 0};
      ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Idle, sizeof Idle);
      ++Open;
      std::thread([this, Socket] {
        {
          Connection One(Socket);
          serve(One);
        }
        --Open;
      }).detach();
    }
  }
  void serve(Connection &One) {
    while (!Ending) {
      const auto Asked = readHead(One);
      if (!Asked || !One.skip(std::strtoul(
                        Asked->field("content-length").c_str(), nullptr, 10)))
        return;
      const std::string Attempt = Asked->field("x-jacinthpond-attempt-id");
      const std::string Expected =
          Asked->field("x-jacinthpond-expected-instance");
      if (!Expected.empty() && Expected != Id) {
        One.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: "
                  "0\r\nX-Jacinthpond-Instance-Id: " +
                  Id + "\r\n\r\n");
        continue;
      }
      const size_t Begin = Asked->First.find(' ') + 1;
      const std::string Path =
          Asked->First.substr(Begin, Asked->First.find(' ', Begin) - Begin);
      {
        const std::lock_guard Lock(Guard);
        Runs.insert(Attempt);
      }
      Log.line("run      " + Attempt + " by " + Id);
      const std::string Body = Work(Path);
      if (!One.write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                     "X-Jacinthpond-Response-Signature: sig-" +
                     Attempt + "\r\nX-Jacinthpond-Attempt-Id: " + Attempt +
                     "\r\nContent-Length: " + std::to_string(Body.size()) +
                     "\r\n\r\n") ||
          !One.write(Body))
        return;
    }
  }

  Record &Log;
  std::function<std::string(const std::string &)> Work;
  const int64_t Born = millisOfDay();
  int Listening = -1;
  std::atomic<bool> Ending{false};
  std::atomic<int> Open{0};
  std::mutex Guard;
  std::set<std::string> Runs;
  std::thread Accepting;
};

/** Says whether the disruption is wanted. */
inline bool wantsTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return Text == nullptr || std::string(Text) != "0";
}

/** Runs a case; its folder is the first word of the command line. */
inline int runCase(int Count, char **Words,
                   const std::function<int(Record &)> &Case) {
  if (Count < 2)
    return CouldNotRun;
  std::signal(SIGPIPE, SIG_IGN);
  Record Log(std::string(Words[1]) + "/record.txt");
  try {
    return Case(Log);
  } catch (const std::exception &Why) {
    Log.tell(std::string("could not run: ") + Why.what());
    return CouldNotRun;
  }
}

} // namespace review

#endif
