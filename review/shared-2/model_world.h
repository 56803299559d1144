/** @file model_world.h Model workers, the origin of their weights and a small
 * deployment with agents beside them.
 */

#ifndef REVIEW_SHARED_2_MODEL_WORLD_H
#define REVIEW_SHARED_2_MODEL_WORLD_H

#include "world.h"

namespace review {

constexpr const char *Model = "m0";
constexpr const char *ModelService = "llm";
/** Figures of SYSTEM.md. */
constexpr uint64_t Pieces = 48;
constexpr size_t PieceBytes = 49152;
constexpr uint64_t Layers = 16;

/** Bytes of a piece of the weights of a version. */
using PieceSource =
    std::function<std::string(uint64_t Version, uint64_t Number)>;

/** Bytes that differ for each version and number. */
inline std::string distinctPiece(uint64_t Version, uint64_t Number) {
  const std::string Word =
      "v" + std::to_string(Version) + "n" + std::to_string(Number) + " ";
  std::string Bytes;
  while (Bytes.size() < PieceBytes)
    Bytes += Word;
  Bytes.resize(PieceBytes);
  return Bytes;
}

/** The origin of weights. */
class Origin {
public:
  const int Port = freePort();
  std::atomic<uint64_t> Sent{0}; ///< Pieces that were sent.

  explicit Origin(PieceSource Source) : Source(std::move(Source)) {
    Server.Http.Get(
        "/manifest/" + std::string(Model),
        [this](const auto &Asked, auto &Answer) { manifest(Asked, Answer); });
    Server.Http.Get("/piece/" + std::string(Model),
                    [this](const auto &Asked, auto &Answer) {
                      ++Sent;
                      Answer.set_content(this->Source(number(Asked, "version"),
                                                      number(Asked, "number")),
                                         "application/octet-stream");
                    });
    Server.start("127.0.0.1", Port);
  }

  static uint64_t number(const httplib::Request &Asked, const char *Name) {
    return std::strtoull(Asked.get_param_value(Name).c_str(), nullptr, 10);
  }

private:
  void manifest(const httplib::Request &Asked, httplib::Response &Answer) {
    const uint64_t Version = number(Asked, "version");
    Json List = {{"model", Model},
                 {"version", Version},
                 {"chunk_bytes", PieceBytes},
                 {"layers", Layers},
                 {"digests", Json::array()}};
    for (uint64_t n = 0; n < Pieces; ++n)
      List["digests"].push_back(sha256(Source(Version, n)));
    Answer.set_content(List.dump(), "application/json");
  }

  PieceSource Source;
  Listener Server;
};

/** A model worker that holds version 1 at the start, which is staged as well.
 */
class ModelWorker {
public:
  const std::string Id;
  const std::string Ip;
  const int Port;

  ModelWorker(std::string Id, std::string Ip, const PieceSource &Source,
              Record &Log)
      : Id(std::move(Id)), Ip(std::move(Ip)), Port(freePort(this->Ip)),
        Log(Log) {
    for (uint64_t n = 0; n < Pieces; ++n)
      Staged[n] = Source(1, n);
    Server.Http.Get("/report", [this](const auto &, auto &Answer) {
      Answer.set_content(report().dump(), "application/json");
    });
    Server.Http.Put("/stage-put/" + std::string(Model),
                    [this](const auto &Asked, auto &) {
                      const std::lock_guard Lock(Guard);
                      Staged[Origin::number(Asked, "number")] = Asked.body;
                    });
    Server.Http.Get(
        "/stage-get/" + std::string(Model),
        [this](const auto &Asked, auto &Answer) { readStaged(Asked, Answer); });
    Server.Http.Post("/order", [this](const auto &Asked, auto &Answer) {
      order(Asked, Answer);
    });
    Server.Http.Post(
        "/.*", [this](const auto &Asked, auto &Answer) { run(Asked, Answer); });
    Server.start(this->Ip, Port);
  }

  [[nodiscard]] std::string address() const {
    return Ip + ":" + std::to_string(Port);
  }
  /** Its item in the store. */
  Json item() {
    const std::lock_guard Lock(Guard);
    return {{"service", ModelService},
            {"address", address()},
            {"zone", "z0"},
            {"version", "v1"},
            {"slots", 16},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"stage", "combined"},
            {"models", models()},
            {"born", Born}};
  }
  uint64_t version() {
    const std::lock_guard Lock(Guard);
    return Loaded;
  }

private:
  [[nodiscard]] Json models() const {
    return {
        {{"name", Model}, {"version", Loaded}, {"adapters", Json::array()}}};
  }
  bool isBusy() { return Clock::now() < BusyUntil; }
  Json report() {
    const std::lock_guard Lock(Guard);
    return {{"stage", "combined"},
            {"models", models()},
            {"layers", {{"from", 0}, {"target", Layers}, {"version", Loaded}}},
            {"busy", isBusy()},
            {"sequence", Orders},
            {"waiting", 0},
            {"running", Running.load()},
            {"kv_used", 0},
            {"kv_total", 685000},
            {"handles", 0},
            {"born", Born}};
  }
  void readStaged(const httplib::Request &Asked, httplib::Response &Answer) {
    const std::lock_guard Lock(Guard);
    if (!Asked.has_param("number")) {
      Json Held = Json::array();
      for (const auto &[n, Bytes] : Staged)
        Held.push_back(n);
      Answer.set_content(Json({{"held", Held}}).dump(), "application/json");
      return;
    }
    const auto it = Staged.find(Origin::number(Asked, "number"));
    if (it == Staged.end())
      Answer.status = 404;
    else
      Answer.set_content(it->second, "application/octet-stream");
  }
  void order(const httplib::Request &Asked, httplib::Response &Answer) {
    const Json Order = Json::parse(Asked.body, nullptr, false);
    if (!Order.is_object() || Order.value("operation", "") != "start") {
      Answer.status = 400;
      return;
    }
    const std::lock_guard Lock(Guard);
    const auto Version = Order.value("version", uint64_t{0});
    if (Order.value("expect", Orders) != Orders || isBusy()) {
      Answer.status = 409;
      return;
    }
    if (Version == Loaded) {
      Answer.status = 200;
      return;
    }
    Loaded = Version;
    ++Orders;
    BusyUntil = Clock::now() + 300ms;
    Log.line("order    " + Id + " takes version " + std::to_string(Version));
    Answer.status = 202;
  }
  void run(const httplib::Request &Asked, httplib::Response &Answer) {
    const std::string Attempt =
        Asked.get_header_value("X-Jacinthpond-Attempt-Id");
    const std::string Expected =
        Asked.get_header_value("X-Jacinthpond-Expected-Instance");
    const std::string Version =
        Asked.get_header_value("X-Jacinthpond-Expected-Version");
    const std::lock_guard Lock(Guard);
    if ((!Expected.empty() && Expected != Id) ||
        (!Version.empty() && Version != std::to_string(Loaded))) {
      Answer.status = 421;
      Answer.set_header("X-Jacinthpond-Instance-Id", Id);
      return;
    }
    if (isBusy()) {
      Answer.status = 503;
      Answer.set_header("X-Jacinthpond-Not-Executed", "1");
      return;
    }
    Log.line("run      " + Attempt + " by " + Id + " on version " +
             std::to_string(Loaded));
    Answer.set_header("X-Jacinthpond-Attempt-Id", Attempt);
    Answer.set_header("X-Jacinthpond-Response-Signature", "sig-" + Attempt);
    Answer.set_header("X-Jacinthpond-Weight-Versions", std::to_string(Loaded));
    const int First =
        std::atoi(Asked.get_header_value("Last-Event-Id").c_str()) + 1;
    ++Running;
    Answer.set_chunked_content_provider(
        "text/event-stream",
        [n = First](size_t, httplib::DataSink &Sink) mutable {
          constexpr int Events = 10;
          std::this_thread::sleep_for(20ms);
          const std::string Event = "id: " + std::to_string(n) +
                                    "\ndata: token " + std::to_string(n) +
                                    "\n\n";
          Sink.write(Event.data(), Event.size());
          if (++n > Events)
            Sink.done();
          return true;
        },
        [this](bool) { --Running; });
  }

  Record &Log;
  const int64_t Born = millisOfDay();
  std::mutex Guard;
  std::map<uint64_t, std::string> Staged;
  uint64_t Loaded = 1;
  uint64_t Orders = 0;
  std::atomic<int> Running{0};
  Clock::time_point BusyUntil;
  Listener Server;
};

/** An agent beside a model worker, with the settings of the template. */
class Agent {
public:
  Agent(const ModelWorker &Beside, int Port) : Beside(Beside), Port(Port) {}

  void writeSettings(const std::filesystem::path &Folder,
                     const std::vector<int> &Seeds) {
    Json SeedPeers = Json::array();
    for (const int Seed : Seeds)
      SeedPeers.push_back("127.0.0.1:" + std::to_string(Seed));
    const Json Settings = {
        {"name", Beside.address()},
        {"domain", "z0"},
        {"platform", "store"},
        {"engine_url", "http://" + Beside.address()},
        {"peer_listen", Beside.Ip + ":" + std::to_string(Port)},
        {"seed_peers", SeedPeers},
        {"admin_listen", Beside.Ip + ":0"},
        {"stop_grace_s", 8},
        {"weights_change_ms", 8000},
        {"link_mbps", 9.4},
        {"heartbeat_ms", 600},
        {"link_silence_ms", 2000},
        {"reconnect_ms", 100},
        {"rollout_patience_ms", 4000},
        {"queue_limit", 8},
        {"chunk_takeover_ms", 400}};
    File = (Folder / ("agent-" + Beside.Id + ".json")).string();
    Log = (Folder / ("agent-" + Beside.Id + ".log")).string();
    std::ofstream(File) << Settings.dump(2);
  }
  void start(const Programs &Built) {
    Running = std::make_unique<Process>(
        std::vector<std::string>{Built.Agent, "--settings", File}, Log);
  }

  std::unique_ptr<Process> Running;

private:
  const ModelWorker &Beside;
  int Port;
  std::string File;
  std::string Log;
};

} // namespace review

#endif
