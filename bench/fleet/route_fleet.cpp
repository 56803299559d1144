/** @file route_fleet.cpp Processes on stand-ins of the users' platform. */

#include "fleet/route_fleet.h"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace jacinthpond::fleet {

namespace {

const std::string EntryProgram = JACINTHPOND_ENTRY_PROGRAM;
const std::string AgentProgram = JACINTHPOND_AGENT_PROGRAM;
const std::string StandInProgram = JACINTHPOND_STANDIN_PROGRAM;

/** Above the period of an entry's ticks, 50 ms. */
constexpr std::chrono::milliseconds TickAndMore{150};

std::string domainOf(size_t n) { return n % 2 == 0 ? "z0" : "z1"; }

/** Loopback address of a model worker and its agent. */
std::string workerIp(size_t n) { return "127.0.1." + std::to_string(10 + n); }

/** Loopback address of an agent that is reached through a proxy. */
std::string hiddenIp(size_t n) { return "127.0.2." + std::to_string(10 + n); }

Json route(const std::string &Name, const std::string &Kind,
           const std::string &Service) {
  return {{"name", Name},
          {"host", "h.example"},
          {"prefix", "/" + Name + "/"},
          {"kind", Kind},
          {"timeout_ms", 4000},
          {"target_latency_ms", 400},
          {"gap_target_ms", 300},
          {"priority", 1},
          {"service", Service},
          {"max_attempts", Kind == "non_idempotent" ? 1 : 2},
          {"allow_anonymous", false},
          {"resume_streams", Kind == "streaming"},
          {"allowed_regions", Json::array()}};
}

Json firstConfig(const std::string &Origin) {
  return {{"version", 1},
          {"routes",
           {route("write", "streaming", "llm"),
            route("book", "non_idempotent", "plain"),
            route("read", "idempotent", "plain")}},
          {"services",
           {{{"name", "llm"},
             {"max_connections", 100},
             {"cold_per_s", 50.0},
             {"engine",
              {{"read_per_s", 30000.0}, {"models", {{{"name", "trail"}}}}}}},
            {{"name", "plain"}, {"max_connections", 100}},
            {{"name", "weights"}, {"origin", Origin}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 100000},
            {"header_timeout_ms", 1000},
            {"idle_timeout_ms", 5000}}},
          {"tenants",
           {{{"name", "huts"}, {"api_keys", {"key-1", "key-2"}}},
            {{"name", "clubs"}, {"api_keys", {"key-3"}}}}}};
}

} // namespace

std::vector<std::string> serverNames(const RoutePlan &Plan) {
  std::vector<std::string> Names;
  for (size_t n = 0; n < Plan.ModelWorkers; ++n)
    Names.push_back("model-" + std::to_string(n));
  for (size_t n = 0; n < Plan.PlainServers; ++n)
    Names.push_back("plain-" + std::to_string(n));
  return Names;
}

RouteAsk writeAsk() {
  RouteAsk What;
  What.Method = "POST";
  What.Path = "/write/report";
  What.Body = "prompt";
  return What;
}

RouteFleet::RouteFleet(RoutePlan Wanted) : Plan(std::move(Wanted)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "jp-routes-XXXXXX").string();
  if (mkdtemp(Template.data()) == nullptr)
    throw std::runtime_error("no folder for the fleet");
  Folder = Template;
  startServer("store", Json::object());
  Plan.WorkerOptions["same_chunks"] = Plan.SameChunks;
  Json Origin = {{"chunks", Plan.Chunks},
                 {"chunk_bytes", Plan.ChunkBytes},
                 {"same_chunks", Plan.SameChunks}};
  Origin.update(Plan.OriginOptions);
  startServer("origin", Origin);
  Config = firstConfig(At.at("origin"));
  Config["limits"].update(Plan.Limits);
  for (size_t n = 0; n < Plan.PlainServers; ++n) {
    const std::string Name = "plain-" + std::to_string(n);
    startServer(Name, {{"id", Name}});
    Registered[Name] = {{"service", "plain"},
                        {"address", linkTo(Name, At.at(Name), "127.0.0.1")},
                        {"zone", domainOf(n)},
                        {"slots", 4},
                        {"state", "ready"},
                        {"sequence", 1}};
    registerServer(Name);
  }
  for (size_t n = 0; n < Plan.Entries; ++n)
    for (const char *Which : {"peers", "route", "ready", "directory", "admin"})
      EntryAt[std::to_string(n) + "/" + Which] =
          "127.0.0.1:" + std::to_string(Reserved.emplace_back().port());
  for (size_t n = 0; n < Plan.ModelWorkers; ++n)
    addWorker();
  publish();
  for (size_t n = 0; n < Plan.Entries; ++n)
    startEntry(n);
}

RouteFleet::~RouteFleet() {
  Processes.clear();
  std::error_code ec;
  if (!Kept && std::getenv("JACINTHPOND_KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(Folder, ec);
}

void RouteFleet::startServer(const std::string &Name, Json Options, int Port) {
  std::string Kind = "store-worker";
  if (Name == "store" || Name == "origin")
    Kind = Name == "origin" ? "store-origin" : "store";
  else if (Name.starts_with("link-"))
    Kind = "proxy";
  else
    Options.update(Plan.WorkerOptions);
  Processes[Name] = std::make_unique<ChildProcess>(
      StandInProgram,
      std::vector<std::string>{Kind, std::to_string(Port), Options.dump()},
      Folder + "/" + Name + ".log");
  At[Name] = Processes.at(Name)->ready().at("at").get<std::string>();
  ServerOptions[Name] = Options;
}

void RouteFleet::restartServer(const std::string &Name, const std::string &Id) {
  Processes.at(Name)->kill();
  Json Options = ServerOptions.at(Name);
  Options["id"] = Id;
  const std::string Where = At.at(Name);
  startServer(Name, Options, std::stoi(Where.substr(Where.find(':') + 1)));
  const auto Former = ServerIds.try_emplace(Name, Name).first;
  store({{"remove", {"servers/" + Former->second}}});
  Former->second = Id;
  enterServer(Name, Id, "ready");
}

std::string RouteFleet::linkTo(const std::string &Name,
                               const std::string &Target, const std::string &Ip,
                               int Port) {
  if (!Plan.Proxies)
    return Target;
  const std::string Link = "link-" + Name;
  startServer(Link, {{"target", Target}, {"ip", Ip}, {"port", Port}});
  return Processes.at(Link)->ready().at("proxy").get<std::string>();
}

void RouteFleet::startProgram(const std::string &Name) {
  const bool Entry = Name.starts_with("entry-");
  std::vector<std::string> Arguments{"--settings",
                                     Folder + "/" + Name + ".json"};
  if (Entry)
    Arguments.emplace_back("serve");
  Processes[Name] =
      std::make_unique<ChildProcess>(Entry ? EntryProgram : AgentProgram,
                                     Arguments, Folder + "/" + Name + ".log");
}

void RouteFleet::restart(const std::string &Name) {
  Processes.at(Name)->kill();
  startProgram(Name);
}

void RouteFleet::addWorker() {
  const size_t n = Models++;
  const std::string Name = "model-" + std::to_string(n);
  startServer(Name, {{"id", Name},
                     {"model", "trail"},
                     {"ip", workerIp(n)},
                     {"stage_folder", Folder + "/" + Name + "-staged"}});
  Registered[Name] = {{"service", "llm"},
                      {"address", linkTo(Name, At.at(Name), workerIp(n))},
                      {"zone", domainOf(n)},
                      {"slots", 4},
                      {"state", "ready"},
                      {"sequence", 1}};
  registerServer(Name);
  startAgent(n);
}

std::string RouteFleet::agentAddress(size_t n) const {
  return workerIp(n) + ":" + std::to_string(AgentPort.port());
}

void RouteFleet::startAgent(size_t n) {
  const std::string Worker = "model-" + std::to_string(n);
  const std::string Name = "agent-" + std::to_string(n);
  const std::string Listen = (Plan.Proxies ? hiddenIp(n) : workerIp(n)) + ":" +
                             std::to_string(AgentPort.port());
  linkTo(Name, Listen, workerIp(n), AgentPort.port());
  Json Settings = {{"name", Registered.at(Worker).at("address")},
                   {"domain", domainOf(n)},
                   {"platform", "store"},
                   {"engine_url", "http://" + At.at(Worker)},
                   {"peer_listen", Listen},
                   {"log_to", "stderr"},
                   {"chunk_takeover_ms", 300},
                   {"weights_change_ms", Plan.AgentWeightsMillis > 0
                                             ? Plan.AgentWeightsMillis
                                             : Plan.WeightsChangeMillis},
                   {"heartbeat_ms", 200}};
  Settings.update(Plan.AgentSettings);
  std::ofstream(Folder + "/" + Name + ".json") << Settings.dump(2);
  startProgram(Name);
}

void RouteFleet::startEntry(size_t n) {
  const std::string Store =
      linkTo("store-" + std::to_string(n), At.at("store"), "127.0.0.1");
  Json Settings = {{"name", "entry-" + std::to_string(n)},
                   {"domain", domainOf(n)},
                   {"platform", "store"},
                   {"config_url", "http://" + Store},
                   {"peer_listen", addressOf(n, "peers")},
                   {"seed_peers", {addressOf(0, "peers")}},
                   {"route_listen", addressOf(n, "route")},
                   {"ready_listen", addressOf(n, "ready")},
                   {"directory_listen", addressOf(n, "directory")},
                   {"admin_listen", addressOf(n, "admin")},
                   {"caller_listen", ""},
                   {"domain_regions", {"z0=r0", "z1=r1"}},
                   {"agent_port", AgentPort.port()},
                   {"serve_cut_off", true},
                   {"weights_change_ms", Plan.WeightsChangeMillis},
                   {"leave_notice_ms", 600},
                   {"join_wait_ms", 300},
                   {"log_to", "stderr"},
                   {"heartbeat_ms", 200}};
  Settings.update(Plan.EntrySettings);
  const std::string Name = "entry-" + std::to_string(n);
  std::ofstream(Folder + "/" + Name + ".json") << Settings.dump(2);
  startProgram(Name);
}

bool RouteFleet::seesAllWorkers(size_t Entry) const {
  httplib::Client Client("http://" + addressOf(Entry, "admin"));
  const httplib::Result Answer = Client.Get("/v1/health");
  const Json Health =
      Answer ? Json::parse(Answer->body, nullptr, false) : Json::object();
  return Health.is_object() &&
         Health.value("ready_workers", size_t{0}) >= Models;
}

bool RouteFleet::waitServing(std::chrono::milliseconds Limit) {
  const bool Serving = waitFor(Limit, [&] {
    for (size_t n = 0; n < Models; ++n)
      if (look("model-" + std::to_string(n)).value("version", 0) == 0)
        return false;
    for (size_t n = 0; n < Plan.Entries; ++n) {
      RouteAsk Write;
      Write.Method = "POST";
      Write.Path = "/write/1";
      if (!seesAllWorkers(n) || ask(n, Write).status != 200 ||
          ask(n, {}).status != 200)
        return false;
    }
    return true;
  });
  // An entry's traffic thread hears of workers at the next tick.
  std::this_thread::sleep_for(TickAndMore);
  return Serving;
}

httplib::Response RouteFleet::ask(size_t Entry, const RouteAsk &What) const {
  static std::atomic<uint64_t> Next{1};
  httplib::Client Client("http://" + addressOf(Entry, "route"));
  Client.set_read_timeout(std::chrono::seconds(10));
  httplib::Request Sent;
  Sent.method = What.Method;
  Sent.path = What.Path;
  Sent.body = What.Body;
  Sent.set_header("Host", "h.example");
  Sent.set_header("Authorization", "Bearer " + What.Key);
  Sent.set_header("X-Jacinthpond-Attempt-Id",
                  "attempt-" + std::to_string(Next++));
  Sent.set_header("X-Jacinthpond-Deadline-Remaining-Ms",
                  std::to_string(What.DeadlineMillis));
  for (const auto &[Name, Value] : What.Headers)
    Sent.set_header(Name, Value);
  const httplib::Result Answer = Client.send(Sent);
  return Answer ? *Answer : httplib::Response{};
}

void RouteFleet::publish() {
  store({{"put", {{"op/config", Config.dump()}}}});
  Config["version"] = Config["version"].get<int>() + 3;
}

void RouteFleet::registerServer(const std::string &Name) {
  enterServer(Name, Name, "ready");
}

void RouteFleet::enterServer(const std::string &Name, const std::string &Id,
                             const std::string &State, int64_t Born) {
  Json Item = Registered.at(Name);
  Item["state"] = State;
  if (Born > 0)
    Item["born"] = Born;
  store({{"put", {{"servers/" + Id, Item.dump()}}}});
}

void RouteFleet::control(const std::string &Name, const Json &Changes) const {
  httplib::Client Client("http://" + At.at(Name));
  Client.Post("/control", Changes.dump(), "application/json");
}

Json RouteFleet::lookAt(const std::string &Name,
                        const std::string &Path) const {
  httplib::Client Client("http://" + At.at(Name));
  const httplib::Result Answer = Client.Get(Path);
  const Json Value =
      Answer ? Json::parse(Answer->body, nullptr, false) : Json::object();
  return Value.is_object() ? Value : Json::object();
}

std::string RouteFleet::addressOf(size_t Entry,
                                  const std::string &Which) const {
  return EntryAt.at(std::to_string(Entry) + "/" + Which);
}

} // namespace jacinthpond::fleet
