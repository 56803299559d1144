/** @file fleet.cpp A small fleet of real processes with its stand-ins. */

#include "fleet/fleet.h"

#include "base/hash_func.h"
#include "configuration/document_func.h"

#include <httplib.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <stdexcept>
#include <thread>
#include <tuple>

namespace jacinthpond::fleet {

namespace {

const std::string EntryProgram = JACINTHPOND_ENTRY_PROGRAM;
const std::string AgentProgram = JACINTHPOND_AGENT_PROGRAM;
const std::string StandInProgram = JACINTHPOND_STANDIN_PROGRAM;

/** Longest wait of a caller for an answer. */
constexpr std::chrono::seconds CallerTimeout{60};
/** Longest wait until a restarted process has its port again. */
constexpr std::chrono::seconds RestartLimit{15};

std::string makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "jacinthpond-XXXXXX").string();
  if (mkdtemp(Name.data()) == nullptr)
    throw std::runtime_error("no folder for settings and logs");
  return Name;
}

std::string chunkContent(const std::string &Version, size_t n, size_t Bytes) {
  std::mt19937_64 Random(std::hash<std::string>{}(Version) + n);
  std::string Content(Bytes, '\0');
  for (char &c : Content)
    c = static_cast<char>(Random());
  return Content;
}

/** Home tokens that callers keep with their keys. */
class TokenWallet {
public:
  static TokenWallet &shared() {
    static TokenWallet All;
    return All;
  }
  void clear() {
    const std::lock_guard Lock(Guard);
    Tokens.clear();
  }
  std::string get(const Ask &What) {
    const std::lock_guard Lock(Guard);
    const auto it = Tokens.find({What.Class, What.Workspace, What.Key});
    return it == Tokens.end() ? "" : it->second;
  }
  void put(const Ask &What, const std::string &Token) {
    const std::lock_guard Lock(Guard);
    Tokens[{What.Class, What.Workspace, What.Key}] = Token;
  }
  /** Keeps the first of two tokens that two threads asked for. */
  std::string putFirst(const Ask &What, const std::string &Token) {
    const std::lock_guard Lock(Guard);
    return Tokens.try_emplace({What.Class, What.Workspace, What.Key}, Token)
        .first->second;
  }

private:
  std::mutex Guard; ///< Guards Tokens.
  std::map<std::tuple<std::string, std::string, std::string>, std::string>
      Tokens;
};

/** Gives the token of a key, asked for before its first try; else the error. */
Answer tokenFor(httplib::Client &Client, const Ask &What) {
  TokenWallet &Wallet = TokenWallet::shared();
  if (std::string Kept = Wallet.get(What); !Kept.empty())
    return {200, true, "", Kept};
  const httplib::Result Got =
      Client.Get("/v1/classes/" + What.Class + "/token");
  if (!Got) // The request itself was not sent.
    return {0, false, "", ""};
  Answer Told{Got->status, true, Got->body, ""};
  const std::string Fresh = Told.json().value("token", "");
  if (!Fresh.empty())
    Told.Token = Wallet.putFirst(What, Fresh);
  return Told;
}

} // namespace

Json Answer::json() const {
  Json Value = Json::parse(Body, nullptr, false);
  return Value.is_discarded() ? Json::object() : Value;
}

Fleet::Fleet(FleetPlan Wanted) : Plan(std::move(Wanted)), Folder(makeFolder()) {
  TokenWallet::shared().clear();
  for (size_t n = 0; n < Plan.Platforms; ++n)
    startStandIn(platformOf(n), "platform", Json::object());
  startStandIn("origin", "origin", Plan.OriginOptions);
  Document = {{"version", 0},
              {"classes",
               {{{"name", "reports"}, {"model", "trail"}, {"priority", 2}},
                {{"name", "bookings"},
                 {"service", "slots"},
                 {"repeatable", false},
                 {"deadline_ms", 5000}},
                {{"name", "status"}, {"service", "slots"}}}},
              {"tenants", {{{"name", "huts"}}, {{"name", "clubs"}}}},
              {"teams",
               {{{"name", "operators"},
                 {"operator", true},
                 {"token_sha256", sha256(OperatorToken).Value}},
                {{"name", "huts"},
                 {"classes", {"bookings"}},
                 {"tenants", {"huts"}},
                 {"token_sha256", sha256(HutsToken).Value}}}},
              {"models", Json::array()},
              {"workers", Json::array()},
              {"entries", Json::array()},
              {"domains_out", Json::array()}};
  newModel("v1");
  if (Plan.SharedEngines) {
    Json Options = Plan.EngineOptions;
    Options["count"] = Plan.ModelWorkers;
    startStandIn("engines", "engines", Options);
  }
  for (size_t n = 0; n < Plan.ModelWorkers; ++n)
    startWorker("m" + std::to_string(n), "engine-" + std::to_string(n), n,
                true);
  for (size_t n = 0; n < Plan.ServiceWorkers; ++n)
    startWorker("s" + std::to_string(n),
                "service-" + std::to_string(Plan.SharedService ? 0 : n), n,
                false);
  for (size_t n = 0; n < Plan.Entries; ++n)
    startEntry(n);
  publish();
}

Fleet::~Fleet() {
  Processes.clear();
  std::error_code ec;
  if (std::getenv("JACINTHPOND_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder, ec);
}

void Fleet::startStandIn(const std::string &Name, const std::string &Kind,
                         const Json &Options, const std::string &Port) {
  Processes[Name] = std::make_unique<ChildProcess>(
      StandInProgram, std::vector<std::string>{Kind, Port, Options.dump()},
      Folder + "/" + Name + ".log");
  StandIns[Name] = {Kind, Options};
}

void Fleet::startProgram(const std::string &Name, const std::string &Program,
                         Json Settings) {
  const std::string Path = Folder + "/" + Name + ".json";
  // Standard output is read up to the ready line only.
  Settings["log_to"] = "stderr";
  std::ofstream(Path) << Settings.dump(2);
  std::vector<std::string> Arguments{"--settings", Path};
  if (Program == EntryProgram)
    Arguments.emplace_back("serve");
  Processes[Name] = std::make_unique<ChildProcess>(
      Program, Arguments, Folder + "/" + Name + ".log");
  const Json &Ready = Processes[Name]->ready();
  for (const auto &[Key, Setting] : {std::pair{"peers", "peer_listen"},
                                     {"callers", "caller_listen"},
                                     {"admin", "admin_listen"}})
    if (Ready.contains(Key))
      Settings[Setting] = Ready[Key];
  Programs[Name] = {Program, Settings};
}

Finished Fleet::runCommand(const std::vector<std::string> &Arguments) {
  return runProgram(EntryProgram, Arguments);
}

std::string Fleet::writeFile(const std::string &Name,
                             const std::string &Content) const {
  const std::string Path = Folder + "/" + Name;
  std::ofstream(Path) << Content;
  return Path;
}

std::string Fleet::logOf(const std::string &Name) const {
  std::ifstream File(Folder + "/" + Name + ".log");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

void Fleet::restart(const std::string &Name) {
  // While the process was down, the kernel may have lent its port to a short
  // connection of another one on this machine; that ends soon.
  std::string Why;
  const bool Started = waitFor(RestartLimit, [&] {
    try {
      startAgain(Name);
      return true;
    } catch (const std::runtime_error &Error) {
      Why = Error.what();
      return false;
    }
  });
  if (!Started)
    throw std::runtime_error(Name + ": " + Why);
}

void Fleet::startAgain(const std::string &Name) {
  if (const auto it = StandIns.find(Name); it != StandIns.end()) {
    const auto [Kind, Options] = it->second;
    const std::string At = address(Name, "at");
    Processes.at(Name)->kill();
    startStandIn(Name, Kind, Options, At.substr(At.rfind(':') + 1));
    return;
  }
  const auto [Program, Settings] = Programs.at(Name);
  Processes.at(Name)->kill();
  startProgram(Name, Program, Settings);
}

std::string Fleet::replaceAgent(const std::string &Worker) {
  const std::string Name = "agent-" + Worker + "-new";
  auto [Program, Settings] = Programs.at("agent-" + Worker);
  Settings.erase("peer_listen");
  Settings.erase("admin_listen");
  startProgram(Name, Program, Settings);
  for (Json &Row : Document["workers"])
    if (Row["name"] == Worker)
      Row["agent"] = address(Name, "peers");
  return Name;
}

void Fleet::startWorker(const std::string &Name, const std::string &BackEnd,
                        size_t n, bool Model) {
  const bool Shared = Model && Plan.SharedEngines;
  if (!Shared && !Processes.contains(BackEnd))
    startStandIn(BackEnd, Model ? "engine" : "service",
                 Model ? Plan.EngineOptions : Plan.ServiceOptions);
  Json Settings = {{"name", Name}, {"domain", domainOf(n)}};
  Settings[Model ? "engine_url" : "service_url"] =
      "http://" + (Model ? engineAddress(n) : address(BackEnd, "at"));
  if (Model)
    Settings["origin_url"] = "http://" + address("origin", "at");
  Settings.update(Plan.AgentSettings);
  startProgram("agent-" + Name, AgentProgram, Settings);
  std::string At = address("agent-" + Name, "peers");
  if (Plan.ProxyAgents) {
    startStandIn("proxy-" + Name, "proxy", {{"target", At}});
    At = address("proxy-" + Name, "proxy");
  }
  Document["workers"].push_back(
      {{"name", Name},
       {"domain", domainOf(n)},
       {"agent", At},
       {Model ? "model" : "service", Model ? "trail" : "slots"}});
}

std::string Fleet::platformOf(size_t n) const {
  const size_t Which = n % Plan.Platforms;
  return Which == 0 ? "platform" : "platform-" + std::to_string(Which);
}

void Fleet::startEntry(size_t n) {
  const std::string Name = "entry-" + std::to_string(n);
  Json Settings = {{"name", Name},
                   {"domain", domainOf(n)},
                   {"config_url", "http://" + address(platformOf(n), "at")},
                   {"hosts_url", "http://" + address(platformOf(n), "at")}};
  Settings.update(Plan.EntrySettings);
  startProgram(Name, EntryProgram, Settings);
  Document["entries"].push_back({{"name", Name},
                                 {"domain", domainOf(n)},
                                 {"callers", address(Name, "callers")},
                                 {"peers", address(Name, "peers")}});
}

std::string Fleet::engineAddress(size_t n) const {
  if (Plan.SharedEngines)
    return Processes.at("engines")->ready().at("ats").at(n);
  return address("engine-" + std::to_string(n), "at");
}

std::string Fleet::newModel(const std::string &Version, size_t Count) {
  const size_t Total = Count == 0 ? Plan.Chunks : Count;
  httplib::Client Origin("http://" + address("origin", "at"));
  Json Chunks = Json::array();
  std::vector<Digest> Digests;
  for (size_t n = 0; n < Total; ++n) {
    const std::string Content = chunkContent(Version, n, Plan.ChunkBytes);
    Digests.push_back(sha256(Content));
    Chunks.push_back(Digests.back().Value);
    Origin.Put("/control/chunks/" + Digests.back().Value, Content,
               "application/octet-stream");
  }
  Document["models"] = {{{"name", "trail"},
                         {"version", Version},
                         {"chunk_bytes", Plan.ChunkBytes},
                         {"total_bytes", Plan.ChunkBytes * Total},
                         {"chunks", Chunks}}};
  return weightsSetDigest(Digests).Value;
}

void Fleet::publish() {
  Document["version"] = Document["version"].get<uint64_t>() + 1;
  for (size_t n = 0; n < Plan.Platforms; ++n)
    control(platformOf(n), {{"document", Document.dump()}});
}

std::string Fleet::address(const std::string &Name,
                           const std::string &Which) const {
  return Processes.at(Name)->ready().at(Which).get<std::string>();
}

Json Fleet::look(const std::string &Name) const {
  httplib::Client Client("http://" + address(Name, "at"));
  const httplib::Result Got = Client.Get("/control");
  if (!Got)
    return Json::object();
  return Json::parse(Got->body, nullptr, false);
}

void Fleet::control(const std::string &Name, const Json &Change) const {
  httplib::Client Client("http://" + address(Name, "at"));
  const httplib::Result Got =
      Client.Post("/control", Change.dump(), "application/json");
  if (!Got || Got->status != 200)
    throw std::runtime_error("control of " + Name + " failed");
}

Json Fleet::health(size_t Entry) const {
  httplib::Client Client("http://" +
                         address("entry-" + std::to_string(Entry), "admin"));
  const httplib::Result Got = Client.Get("/v1/health");
  if (!Got)
    return Json::object();
  return Json::parse(Got->body, nullptr, false);
}

double Fleet::entryCounter(const std::string &Counter) const {
  double Sum = 0;
  for (size_t n = 0; n < Plan.Entries; ++n) {
    httplib::Client Client("http://" +
                           address("entry-" + std::to_string(n), "admin"));
    const httplib::Result Got = Client.Get("/metrics");
    const std::string Line = "\n" + Counter + " ";
    const size_t At = Got ? Got->body.find(Line) : std::string::npos;
    if (At != std::string::npos)
      Sum += std::strtod(Got->body.c_str() + At + Line.size(), nullptr);
  }
  return Sum;
}

Answer Fleet::ask(size_t Entry, const Ask &What) const {
  return askAt(address("entry-" + std::to_string(Entry), "callers"), What);
}

Answer askAt(const std::string &At, const Ask &What) {
  httplib::Client Client("http://" + At);
  Client.set_read_timeout(CallerTimeout);
  Client.set_tcp_nodelay(true);
  httplib::Headers Headers = {{"X-Tenant", What.Workspace}};
  if (!What.Key.empty())
    Headers.emplace("Idempotency-Key", What.Key);
  if (!What.Key.empty() && !What.Tokenless) {
    const Answer Token = tokenFor(Client, What);
    if (Token.Token.empty())
      return Token;
    Headers.emplace("X-Home-Token", Token.Token);
  }
  if (What.DeadlineMillis > 0)
    Headers.emplace("X-Deadline-Ms", std::to_string(What.DeadlineMillis));
  if (What.Stream)
    Headers.emplace("Accept", "text/event-stream");
  const httplib::Result Got =
      Client.Post("/v1/classes/" + What.Class + "/requests", Headers,
                  What.Body.dump(), "application/json");
  if (!Got)
    return {0, Got.error() != httplib::Error::Connection, ""};
  const std::string Fresh = Got->get_header_value("X-Home-Token");
  if (!Fresh.empty())
    TokenWallet::shared().put(What, Fresh);
  return {Got->status, true, Got->body, Fresh};
}

std::vector<Answer>
Fleet::askTogether(size_t Callers,
                   const std::function<Answer(size_t)> &One) const {
  std::vector<Answer> Answers(Callers);
  std::vector<std::thread> Threads;
  for (size_t n = 0; n < Callers; ++n)
    Threads.emplace_back([&, n] { Answers[n] = One(n); });
  for (std::thread &Each : Threads)
    Each.join();
  return Answers;
}

bool Fleet::waitServing(std::chrono::milliseconds Limit) {
  std::vector<Digest> Digests;
  for (const Json &Chunk : Document["models"][0]["chunks"])
    Digests.push_back(Digest{Chunk.get<std::string>()});
  const std::string Set = weightsSetDigest(Digests).Value;
  const auto Loaded = [&](size_t n) {
    return look("engine-" + std::to_string(n)).value("weights", "") == Set;
  };
  const auto AllLoaded = [&] {
    for (size_t n = 0; n < Plan.ModelWorkers; ++n)
      if (!Loaded(n))
        return false;
    return true;
  };
  const size_t Workers = Plan.ModelWorkers + Plan.ServiceWorkers;
  const auto AllKnow = [&] {
    for (size_t n = 0; n < Plan.Entries; ++n) {
      const Json State = health(n);
      if (State.value("version", 0) != Document["version"] ||
          State.value("ready_workers", size_t{0}) != Workers)
        return false;
    }
    return true;
  };
  return waitFor(Limit, AllLoaded) && waitFor(Limit, AllKnow);
}

} // namespace jacinthpond::fleet
