/** @file stand_in.cpp Stand-ins of clients, workers and the platform's store.
 */

#include "stand_in.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr const char *Loopback = "127.0.0.1";
constexpr Millis ClientLimit{20000};
constexpr size_t PageItems = 500;
/** Bounds of the deployment, as the sheet of spoorpad gives them. */
constexpr int GraceSeconds = 8;

sockaddr_in loopback(int Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Loopback, &At.sin_addr);
  return At;
}

/** Opens a listener on a port; 0: a free one. Sets Port to it. */
int listenAt(int &Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in At = loopback(Port);
  socklen_t Size = sizeof(At);
  if (bind(Socket, reinterpret_cast<sockaddr *>(&At), Size) != 0 ||
      listen(Socket, 256) != 0) {
    close(Socket);
    return -1;
  }
  getsockname(Socket, reinterpret_cast<sockaddr *>(&At), &Size);
  Port = ntohs(At.sin_port);
  return Socket;
}

/** A port that is free now. It lies below those that the kernel gives to other
 * sockets, so that it stays free until an entry listens there. */
int freePort() {
  constexpr int First = 20000;
  constexpr int Count = 12000;
  static std::mt19937 Random{std::random_device{}()};
  static std::set<int> Given;
  for (;;) {
    int Port = First + static_cast<int>(Random() % Count);
    if (!Given.insert(Port).second)
      continue;
    const int Socket = listenAt(Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
}

/** Opens a connection to "IP:port"; -1 when it fails. */
int connectTo(const std::string &At, int ReadBufferBytes) {
  const int Port = std::atoi(At.substr(At.find(':') + 1).c_str());
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReadBufferBytes > 0)
    setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReadBufferBytes,
               sizeof(ReadBufferBytes));
  sockaddr_in To = loopback(Port);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)) != 0) {
    close(Socket);
    return -1;
  }
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

/** Reads one HTTP message from a socket, with what was read too far before. */
class Reader {
public:
  Reader(int Socket, int BytesPerSecond = 0)
      : Socket(Socket), BytesPerSecond(BytesPerSecond) {}

  /** Reads the next message. An answer without length ends by the close. */
  HttpMessage next(bool IsAnswer) {
    HttpMessage Read;
    size_t End = 0;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more())
        return Read;
    std::istringstream Head(Buffer.substr(0, End));
    Buffer.erase(0, End + 4);
    parseHead(Head, Read);
    const std::string Length = Read.field("content-length");
    if (Read.field("transfer-encoding") == "chunked")
      readChunks(Read);
    else if (!Length.empty())
      readBytes(Read, std::strtoull(Length.c_str(), nullptr, 10));
    else if (IsAnswer)
      readToEnd(Read);
    else
      Read.Whole = true;
    return Read;
  }

private:
  static void parseHead(std::istringstream &Head, HttpMessage &Into) {
    std::string Line;
    while (std::getline(Head, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const size_t Colon = Line.find(':');
      if (Into.StartLine.empty()) {
        Into.StartLine = Line;
        continue;
      }
      std::string Name = Line.substr(0, Colon);
      std::ranges::transform(Name, Name.begin(), [](unsigned char One) {
        return static_cast<char>(std::tolower(One));
      });
      const size_t Begin = Line.find_first_not_of(" \t", Colon + 1);
      Into.Fields.emplace(Name,
                          Begin == std::string::npos ? "" : Line.substr(Begin));
    }
  }

  void readBytes(HttpMessage &Into, size_t Count) {
    while (Buffer.size() < Count)
      if (!more()) {
        Into.Body = std::move(Buffer);
        return;
      }
    Into.Body = Buffer.substr(0, Count);
    Buffer.erase(0, Count);
    Into.Whole = true;
  }

  void readChunks(HttpMessage &Into) {
    for (;;) {
      size_t End = 0;
      while ((End = Buffer.find("\r\n")) == std::string::npos)
        if (!more())
          return;
      const size_t Count = std::strtoull(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < End + 2 + Count + 2)
        if (!more())
          return;
      Into.Body += Buffer.substr(End + 2, Count);
      Buffer.erase(0, End + 2 + Count + 2);
      if (Count == 0) {
        Into.Whole = true;
        return;
      }
    }
  }

  void readToEnd(HttpMessage &Into) {
    while (more()) {
    }
    Into.Body = std::exchange(Buffer, {});
    Into.Whole = ClosedInOrder;
  }

  bool more() {
    pollfd One{Socket, POLLIN, 0};
    if (poll(&One, 1, static_cast<int>(ClientLimit.count())) <= 0)
      return false;
    std::array<char, 65536> Bytes{};
    const size_t Most =
        BytesPerSecond > 0
            ? std::min<size_t>(Bytes.size(),
                               static_cast<size_t>(BytesPerSecond) / 20)
            : Bytes.size();
    const ssize_t n = recv(Socket, Bytes.data(), Most, 0);
    ClosedInOrder = n == 0;
    if (n <= 0)
      return false;
    Buffer.append(Bytes.data(), static_cast<size_t>(n));
    if (BytesPerSecond > 0)
      std::this_thread::sleep_for(
          std::chrono::microseconds(n * 1000000 / BytesPerSecond));
    return true;
  }

  int Socket;
  int BytesPerSecond;
  std::string Buffer;
  bool ClosedInOrder = false;
};

std::string base64(const std::string &Text) {
  constexpr const char *Signs =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Out;
  for (size_t n = 0; n < Text.size(); n += 3) {
    uint32_t Bits = 0;
    for (size_t k = 0; k < 3; ++k)
      Bits =
          (Bits << 8U) |
          (n + k < Text.size() ? static_cast<unsigned char>(Text[n + k]) : 0U);
    for (size_t k = 0; k < 4; ++k)
      Out += n + k <= Text.size() ? Signs[(Bits >> (18U - 6U * k)) & 63U] : '=';
  }
  return Out;
}

/** Value of a parameter of a request target; empty when it is missing. */
std::string parameter(const std::string &Target, const std::string &Name) {
  const size_t Query = Target.find('?');
  const std::string All =
      Query == std::string::npos ? "" : "&" + Target.substr(Query + 1);
  const size_t At = All.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  const size_t Begin = At + Name.size() + 2;
  return All.substr(Begin, All.find('&', Begin) - Begin);
}

int64_t millisOfDay() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

Record::Record(const std::string &Path) : File(Path, std::ios::trunc) {}

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(Guard);
  const auto Passed =
      std::chrono::duration_cast<Millis>(Clock::now() - Start).count();
  File << Passed << " ms: " << Text << std::endl;
  std::cout << Passed << " ms: " << Text << std::endl;
}

std::string HttpMessage::field(const std::string &Name) const {
  const auto it = Fields.find(Name);
  return it == Fields.end() ? "" : it->second;
}

std::string HttpMessage::status() const {
  const size_t Space = StartLine.find(' ');
  return Space == std::string::npos ? "" : StartLine.substr(Space + 1, 3);
}

std::string HttpMessage::target() const {
  const size_t Begin = StartLine.find(' ');
  const size_t End = StartLine.rfind(' ');
  return Begin == End ? "" : StartLine.substr(Begin + 1, End - Begin - 1);
}

bool sendAll(int Socket, const std::string &Bytes) {
  size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t n =
        send(Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    Sent += static_cast<size_t>(n);
  }
  return true;
}

Server::Server(Handler OnRequest) : OnRequest(std::move(OnRequest)) {
  Listener = listenAt(Port);
  Acceptor = std::thread([this] { accept(); });
}

Server::~Server() { stop(); }

std::string Server::address() const {
  return std::string(Loopback) + ":" + std::to_string(Port);
}

void Server::stop() {
  if (Stopped.exchange(true))
    return;
  shutdown(Listener, SHUT_RDWR);
  close(Listener);
  Acceptor.join();
  {
    const std::lock_guard Lock(Guard);
    for (const int Socket : Open)
      shutdown(Socket, SHUT_RDWR);
  }
  for (std::thread &One : Workers)
    One.join();
}

void Server::accept() {
  while (!Stopped) {
    const int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    const int On = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    const std::lock_guard Lock(Guard);
    Open.insert(Socket);
    Workers.emplace_back([this, Socket] { serve(Socket); });
  }
}

void Server::serve(int Socket) {
  Reader From(Socket);
  while (!Stopped) {
    const HttpMessage Asked = From.next(false);
    if (!Asked.Whole || !OnRequest(Asked, Socket))
      break;
  }
  const std::lock_guard Lock(Guard);
  Open.erase(Socket);
  close(Socket);
}

Store::Store() {
  Listener = std::make_unique<Server>(
      [this](const auto &Asked, int Socket) { return handle(Asked, Socket); });
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Guard);
  ++Revision;
  const auto it = Items.find(Key);
  const Json Created =
      it == Items.end() ? Json(Revision) : it->second["created"];
  Items[Key] = {{"key", Key},
                {"value", base64(Value)},
                {"revision", Revision},
                {"created", Created},
                {"lease", 0}};
  History.push_back(Items[Key]);
  Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  const std::lock_guard Lock(Guard);
  if (Items.erase(Key) == 0)
    return;
  History.push_back(
      {{"key", Key}, {"revision", ++Revision}, {"removed", true}});
  Changed.notify_all();
}

Json Store::range(const HttpMessage &Asked) {
  const std::string Prefix = parameter(Asked.target(), "prefix");
  const std::string After = parameter(Asked.target(), "after");
  const std::lock_guard Lock(Guard);
  Json Page = {{"items", Json::array()}, {"truncated", false}};
  for (const auto &[Key, Item] : Items) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    if (Page["items"].size() == PageItems) {
      Page["truncated"] = true;
      break;
    }
    Page["items"].push_back(Item);
  }
  Page["store_revision"] = Revision;
  return Page;
}

Json Store::watch(const HttpMessage &Asked) {
  const std::string Prefix = parameter(Asked.target(), "prefix");
  const uint64_t After =
      std::strtoull(parameter(Asked.target(), "after").c_str(), nullptr, 10);
  const Millis Wait(std::atoi(parameter(Asked.target(), "wait_ms").c_str()));
  std::unique_lock Lock(Guard);
  const auto EventsAfter = [&] {
    Json Events = Json::array();
    for (const Json &Event : History)
      if (Event["revision"] > After &&
          Event["key"].get<std::string>().starts_with(Prefix))
        Events.push_back(Event);
    return Events;
  };
  Changed.wait_for(Lock, Wait, [&] { return !EventsAfter().empty(); });
  return {{"events", EventsAfter()}, {"store_revision", Revision}};
}

bool Store::handle(const HttpMessage &Asked, int Socket) {
  const std::string Path = Asked.target().substr(0, Asked.target().find('?'));
  Json Answer;
  if (Path == "/kv-range")
    Answer = range(Asked);
  else if (Path == "/kv-watch")
    Answer = watch(Asked);
  else
    return sendAll(Socket,
                   "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  const std::string Body = Answer.dump();
  return sendAll(Socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                         "\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

Worker::Worker(std::string WorkerId, Record &Notes, Answer OnRun)
    : Id(std::move(WorkerId)), Notes(Notes), OnRun(std::move(OnRun)),
      Born(millisOfDay()) {
  Listener = std::make_unique<Server>(
      [this](const auto &Asked, int Socket) { return handle(Asked, Socket); });
}

std::string Worker::entry(const std::string &Service, const std::string &Zone,
                          const std::string &State) const {
  return Json{{"service", Service}, {"address", Listener->address()},
              {"zone", Zone},       {"version", "v1"},
              {"slots", 6},         {"state", State},
              {"born", Born},       {"cold_remaining_ms", 0},
              {"sequence", 1}}
      .dump();
}

std::vector<Run> Worker::runs() {
  const std::lock_guard Lock(Guard);
  return Runs;
}

bool Worker::handle(const HttpMessage &Asked, int Socket) {
  const std::string Expected = Asked.field("x-jacinthpond-expected-instance");
  if (!Expected.empty() && Expected != Id)
    return sendAll(Socket, "HTTP/1.1 421 Misdirected Request\r\n"
                           "X-Jacinthpond-Instance-Id: " +
                               Id + "\r\nContent-Length: 0\r\n\r\n");
  const Run One{Id, Asked.field("x-jacinthpond-attempt-id"),
                Asked.field("x-jacinthpond-tenant")};
  Notes.line("run: worker " + Id + " runs " + One.Id + " (" +
             Asked.StartLine.substr(0, Asked.StartLine.rfind(' ')) +
             ") of tenant " + One.Tenant);
  {
    const std::lock_guard Lock(Guard);
    Runs.push_back(One);
  }
  if (OnRun)
    return OnRun(Asked, Socket);
  return sendAll(Socket, signedAnswer(Asked, "200 OK", "done by " + Id));
}

std::string signedAnswer(const HttpMessage &Asked, const std::string &Status,
                         const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\nX-Jacinthpond-Attempt-Id: " +
         Asked.field("x-jacinthpond-attempt-id") +
         "\r\nX-Jacinthpond-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
         "\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

HttpMessage ask(const std::string &At, const Ask &What, std::string &Id) {
  static std::atomic<uint64_t> Next{1};
  std::ostringstream Text;
  Text << std::hex << std::setw(16) << std::setfill('0')
       << (0x9c41000000000000U + Next++);
  Id = Text.str();
  const int Socket = connectTo(At, What.ReadBufferBytes);
  if (Socket < 0)
    return {};
  std::string Bytes = What.Method + " " + What.Path +
                      " HTTP/1.1\r\nHost: hulo84.example"
                      "\r\nX-Jacinthpond-Attempt-Id: " +
                      Id + "\r\nX-Jacinthpond-Deadline-Remaining-Ms: " +
                      std::to_string(What.DeadlineMillis) +
                      "\r\nAuthorization: Bearer " + What.Key + "\r\n";
  if (What.Method == "POST")
    Bytes += "Content-Length: " + std::to_string(What.Body.size()) + "\r\n";
  Bytes += "\r\n" + What.Body;
  HttpMessage Answer;
  if (sendAll(Socket, Bytes))
    Answer = Reader(Socket, What.BytesPerSecond).next(true);
  close(Socket);
  return Answer;
}

Fleet::Fleet(std::string Root, const std::string &StoreAddress, size_t Count)
    : Root(std::move(Root)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "jp-review-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    return;
  Folder = Template;
  const std::array<const char *, 2> Zones = {"drak-sani", "ceder-clan"};
  Json Seeds = Json::array();
  for (size_t n = 0; n < Count; ++n)
    Seeds.push_back(std::string(Loopback) + ":" + std::to_string(freePort()));
  for (size_t n = 0; n < Count; ++n) {
    const auto Free = [] {
      return std::string(Loopback) + ":" + std::to_string(freePort());
    };
    Entry One;
    One.Front = Free();
    One.Ready = Free();
    const std::string Zone = Zones.at(n % Zones.size());
    One.Settings = Folder + "/entry-" + std::to_string(n) + ".json";
    One.Log = Folder + "/entry-" + std::to_string(n) + ".log";
    // The values of deploy/entry.json.in, filled in as for the site spoorpad.
    const Json Settings = {
        {"name", "front-" + Zone + "-1"},
        {"domain", Zone},
        {"platform", "store"},
        {"config_url", "http://" + StoreAddress},
        {"peer_listen", Seeds[n]},
        {"seed_peers", Seeds},
        {"route_listen", One.Front},
        {"ready_listen", One.Ready},
        {"directory_listen", Free()},
        {"caller_listen", ""},
        {"admin_listen", Free()},
        {"domain_regions", {"drak-sani=drakensberg", "ceder-clan=cederberg"}},
        {"agent_port", 7700},
        {"stop_grace_s", GraceSeconds},
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
    std::ofstream(One.Settings) << Settings.dump(2) << "\n";
    Entries.push_back(One);
  }
}

Fleet::~Fleet() {
  for (size_t n = 0; n < Entries.size(); ++n)
    signal(n, SIGKILL);
  std::error_code ec;
  if (!Folder.empty() && std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder, ec);
}

bool Fleet::start(size_t n) {
  Entry &One = Entries[n];
  const std::string Program = Root + "/target/packages/entry/jacinthpond";
  if (access(Program.c_str(), X_OK) != 0)
    return false;
  One.Pid = fork();
  if (One.Pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log =
        open(One.Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    execl(Program.c_str(), Program.c_str(), "serve", "--settings",
          One.Settings.c_str(), nullptr);
    _exit(127);
  }
  return One.Pid > 0;
}

void Fleet::signal(size_t n, int Signal) {
  Entry &One = Entries[n];
  if (One.Pid <= 0)
    return;
  kill(One.Pid, Signal);
  if (Signal == SIGKILL) {
    waitpid(One.Pid, nullptr, 0);
    One.Pid = 0;
  }
}

bool Fleet::waitEnd(size_t n, Millis Limit) {
  Entry &One = Entries[n];
  const auto End = Clock::now() + Limit;
  while (One.Pid > 0 && Clock::now() < End) {
    if (waitpid(One.Pid, nullptr, WNOHANG) == One.Pid)
      One.Pid = 0;
    std::this_thread::sleep_for(Millis(5));
  }
  return One.Pid == 0;
}

std::string Fleet::readiness(size_t n) const {
  const int Socket = connectTo(Entries[n].Ready, 0);
  if (Socket < 0)
    return "";
  HttpMessage Answer;
  if (sendAll(Socket, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
    Answer = Reader(Socket).next(true);
  close(Socket);
  return Answer.status();
}

bool Fleet::waitReady(Millis Limit) const {
  const auto End = Clock::now() + Limit;
  while (Clock::now() < End) {
    size_t Ready = 0;
    for (size_t n = 0; n < Entries.size(); ++n)
      Ready += readiness(n) == "200" ? 1 : 0;
    if (Ready == Entries.size())
      return true;
    std::this_thread::sleep_for(Millis(100));
  }
  return false;
}

std::vector<std::string> Fleet::logLines(size_t n,
                                         const std::string &Text) const {
  std::vector<std::string> Found;
  std::ifstream Log(Entries[n].Log);
  std::string Line;
  while (std::getline(Log, Line))
    if (Line.find(Text) != std::string::npos)
      Found.push_back(Line);
  return Found;
}

bool isTroubleWanted() {
  const char *Wanted = std::getenv("TROUBLE");
  return Wanted == nullptr || std::string(Wanted) != "0";
}

Json route(const std::string &Name, const std::string &Kind,
           const std::string &Service, int TimeoutMillis) {
  return {{"name", "r-" + Name},
          {"host", "hulo84.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", TimeoutMillis},
          {"target_latency_ms", 100},
          {"priority", 2},
          {"service", Service},
          {"max_attempts", Kind == "idempotent" ? 2 : 1},
          {"allow_anonymous", false},
          {"allowed_regions", Json::array()}};
}

std::string
config(int Version, const Json &Routes,
       const std::vector<std::string> &Services,
       const std::map<std::string, std::vector<std::string>> &Tenants) {
  Json Value = {{"version", Version},
                {"routes", Routes},
                {"services", Json::array()},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
                {"tenants", Json::array()}};
  for (const std::string &Name : Services)
    Value["services"].push_back({{"name", Name},
                                 {"health_check_path", "/health"},
                                 {"max_connections", 110},
                                 {"protocol", "h1"},
                                 {"tls", false},
                                 {"cold_start_s", 0.0},
                                 {"cold_per_s", 0.0}});
  for (const auto &[Name, Keys] : Tenants)
    Value["tenants"].push_back({{"name", Name},
                                {"api_keys", Keys},
                                {"priority", 1},
                                {"allowed_regions", Json::array()}});
  return Value.dump();
}

} // namespace review
