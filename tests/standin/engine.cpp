/** @file engine.cpp A model engine: batches, streams, loads, collapses.
 *
 * A token is a pure function of body, weights and position, so that a test
 * can say what the right answer is. While cold it bears only cold_bears
 * requests; above that, or above bears when warm, it collapses: every token
 * takes collapse_factor times as long.
 */

#include "base/hash_func.h"
#include "http/http_server.h"
#include "standin.h"

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace jacinthpond::standin {

namespace {

using Clock = std::chrono::steady_clock;

/** Everything the engine knows; guarded by Guard. */
struct Engine {
  std::mutex Guard;
  std::string Run;                           ///< Incarnation.
  std::string Weights;                       ///< Digest of the loaded set.
  std::map<std::string, std::string> Staged; ///< Chunk digest to content.
  uint64_t Fence = 0;                        ///< Highest fencing number.
  uint64_t Epoch = 0;                        ///< Rises with each restart.
  int Running = 0;                           ///< Requests in the batch.
  int MaxRunning = 0;                        ///< Highest ever.
  int MaxRunningCold = 0;                    ///< Highest while cold.
  Json ColdOverstarts = Json::array();       ///< For each start above
                                             ///< cold_bears, time from Turned
                                             ///< to it, in milliseconds.
  Clock::time_point Turned = Clock::now();   ///< When it turned cold last.
  int Completed = 0;                         ///< Requests since the start.
  std::deque<std::string> Prefixes;          ///< Cached, oldest use first.
  int PrefixHits = 0;                        ///< Requests that found theirs.
  Json Options;                              ///< See setOption().
  Json Records = Json::array();              ///< One for each request.
  Json Loads = Json::array();                ///< One for each load order.

  int option(const char *Key, int Default) const {
    return Options.value(Key, Default);
  }
  void turnCold() {
    Completed = 0;
    Turned = Clock::now();
  }
  bool cold() const { return Completed < option("warm_after", 0); }
  int bears() const {
    return cold() ? option("cold_bears", 2) : option("bears", 16);
  }
  int tokenMillis() const {
    const int Slow = Running > bears() ? option("collapse_factor", 10) : 1;
    return option("token_ms", 5) * Slow;
  }
};

/** Bytes of a body that count as its prompt prefix. */
constexpr size_t PrefixBytes = 256;

/** Looks a prefix up in the cache, and keeps it; true when it was there. */
bool usePrefix(Engine &Host, const std::string &Body) {
  const std::string Prefix = Body.substr(0, PrefixBytes);
  const bool Hit = std::erase(Host.Prefixes, Prefix) > 0;
  Host.Prefixes.push_back(Prefix);
  const auto Room = static_cast<size_t>(Host.option("cache_prefixes", 4));
  if (Host.Prefixes.size() > Room)
    Host.Prefixes.pop_front();
  Host.PrefixHits += Hit ? 1 : 0;
  return Hit;
}

std::string tokenAt(const std::string &Body, const std::string &Weights,
                    uint64_t n) {
  const std::string Seed = Body + "|" + Weights + "|" + std::to_string(n);
  return sha256(Seed).Value.substr(0, 8) + " ";
}

uint64_t tokensWanted(const std::string &Body) {
  const Json Value = Json::parse(Body, nullptr, false);
  if (!Value.is_object())
    return 8;
  return Value.value("max_tokens", uint64_t{8});
}

std::string sse(const Json &Value) { return "data: " + Value.dump() + "\n\n"; }

/** One request being answered. */
struct Generation {
  Engine &Host;        ///< The engine.
  std::string Body;    ///< Caller's body.
  std::string Weights; ///< Weights at its start.
  uint64_t Next = 0;   ///< Position of the next token.
  uint64_t Stop = 0;   ///< Position after the last one.
  uint64_t Epoch = 0;  ///< Epoch of its start.
  size_t Record = 0;   ///< Index into Records.
  int Prefill = 0;     ///< Milliseconds before the first token.
  bool Begun = false;  ///< The first event was sent.
  bool Left = false;   ///< Not in the batch any more.

  Generation(Engine &At, std::string Asked)
      : Host(At), Body(std::move(Asked)) {}
  ~Generation() {
    const std::lock_guard Lock(Host.Guard);
    if (Epoch != Host.Epoch || Left)
      return;
    if (Next != Stop && Host.option("run_on", 0) != 0) {
      runOn();
      return;
    }
    --Host.Running;
  }
  Generation(const Generation &) = delete;
  Generation &operator=(const Generation &) = delete;

  /** Goes on with the batch though nobody reads the answer any more. */
  void runOn() const {
    const auto Rest = std::chrono::milliseconds(
        Host.tokenMillis() * static_cast<int64_t>(Stop - Next));
    std::thread([&At = Host, Rest] {
      std::this_thread::sleep_for(Rest);
      const std::lock_guard Lock(At.Guard);
      --At.Running;
    }).detach();
  }

  bool write(httplib::DataSink &Sink) {
    std::string Text;
    if (!Begun) {
      Begun = true;
      Text = sse({{"begin", Weights}});
      return Sink.write(Text.data(), Text.size());
    }
    if (Next < Stop) {
      int Millis = 0;
      {
        const std::lock_guard Lock(Host.Guard);
        if (Epoch != Host.Epoch)
          return false; // The restart broke off this stream.
        Millis = Host.tokenMillis() + std::exchange(Prefill, 0);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
      Text = sse({{"token", tokenAt(Body, Weights, Next)}});
      ++Next;
      return Sink.write(Text.data(), Text.size());
    }
    {
      const std::lock_guard Lock(Host.Guard);
      Host.Records[Record]["done"] = true;
      // Out of the batch before anybody can read that it has ended.
      Left = Epoch == Host.Epoch;
      if (Left) {
        --Host.Running;
        ++Host.Completed;
      }
    }
    Text = sse({{"end", Stop}, {"weights", Weights}});
    Sink.write(Text.data(), Text.size());
    Sink.done();
    return true;
  }
};

void generate(Engine &Host, const httplib::Request &Asked,
              httplib::Response &Answer) {
  const Json Value = Json::parse(Asked.body, nullptr, false);
  if (!Value.is_object()) {
    Answer.status = 400;
    return;
  }
  const std::string Body = Value.value("body", "");
  const std::lock_guard Lock(Host.Guard);
  if (Host.Weights.empty()) {
    Answer.status = 503;
    return;
  }
  // The engine's own fault that some requests bring about.
  if (Host.option("poisonable", 0) != 0 &&
      Body.find("poison") != std::string::npos)
    std::_Exit(70);
  auto Run = std::make_shared<Generation>(Host, Body);
  Run->Weights = Host.Weights;
  Run->Epoch = Host.Epoch;
  Run->Prefill = usePrefix(Host, Body) ? 0 : Host.option("prefill_ms", 0);
  Run->Next = Value.value("resume_from", uint64_t{0});
  Run->Stop = std::max(Run->Next, tokensWanted(Body));
  Run->Record = Host.Records.size();
  Host.Records.push_back({{"attempt", Value.value("attempt", "")},
                          {"weights", Host.Weights},
                          {"resume_from", Run->Next},
                          {"priority", Value.value("priority", 1)},
                          {"done", false}});
  ++Host.Running;
  Host.MaxRunning = std::max(Host.MaxRunning, Host.Running);
  if (Host.cold()) {
    Host.MaxRunningCold = std::max(Host.MaxRunningCold, Host.Running);
    if (Host.Running > Host.bears())
      Host.ColdOverstarts.push_back(
          std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                Host.Turned)
              .count());
  }
  Answer.set_chunked_content_provider(
      "text/event-stream",
      [Run](size_t, httplib::DataSink &Sink) { return Run->write(Sink); });
}

/** Digest over what was really staged, so that a mix of versions shows. */
std::string stagedDigest(const Engine &Host, const Json &Chunks) {
  std::string All;
  for (const Json &Chunk : Chunks) {
    const auto it = Host.Staged.find(Chunk.get<std::string>());
    if (it == Host.Staged.end())
      return "";
    All += sha256(it->second).Value;
  }
  return sha256(All).Value;
}

void load(Engine &Host, const httplib::Request &Asked,
          httplib::Response &Answer) {
  const Json Order = Json::parse(Asked.body, nullptr, false);
  if (!Order.is_object()) {
    Answer.status = 400;
    return;
  }
  std::string Digest;
  int LoadMillis = 0;
  {
    const std::lock_guard Lock(Host.Guard);
    const uint64_t Fence = Order.value("fence", uint64_t{0});
    if (Fence < Host.Fence && Host.option("ignore_fence", 0) == 0) {
      Answer.status = 409;
      return;
    }
    Host.Fence = std::max(Host.Fence, Fence);
    Digest = stagedDigest(Host, Order["chunks"]);
    LoadMillis = Host.option("load_ms", 10);
    Host.Weights.clear();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(LoadMillis));
  const std::lock_guard Lock(Host.Guard);
  Host.Weights = Digest;
  Host.Loads.push_back(Digest);
  Host.turnCold();
  Host.Staged.clear();
  Answer.status = Digest.empty() ? 422 : 200;
}

void control(Engine &Host, const httplib::Request &Asked) {
  const Json Value = Json::parse(Asked.body, nullptr, false);
  const std::lock_guard Lock(Host.Guard);
  if (Value.value("cold", false))
    Host.turnCold();
  if (Value.value("reset_max", false))
    Host.MaxRunning = Host.Running;
  if (Value.value("restart", false)) {
    ++Host.Epoch;
    Host.Run = "run-" + std::to_string(std::random_device{}());
    Host.Weights.clear();
    Host.Staged.clear();
    Host.Running = 0;
    Host.turnCold();
  }
  if (Value.contains("weights"))
    Host.Weights = Value["weights"];
  if (Value.contains("run"))
    Host.Run = Value["run"];
  Host.Options.update(Value);
}

Json describe(Engine &Host) {
  const std::lock_guard Lock(Host.Guard);
  return {{"run", Host.Run},
          {"weights", Host.Weights},
          {"running", Host.Running},
          {"cold", Host.cold() && Host.option("hide_cold", 0) == 0},
          {"max_running", Host.MaxRunning},
          {"max_running_cold", Host.MaxRunningCold},
          {"cold_overstarts", Host.ColdOverstarts.size()},
          {"cold_overstart_ms", Host.ColdOverstarts},
          {"completed", Host.Completed},
          {"prefix_hits", Host.PrefixHits},
          {"records", Host.Records},
          {"staged", Host.Staged.size()},
          {"loads", Host.Loads}};
}

/** Sets up one engine on one listener. */
void prepareEngine(Engine &Host, httplib::Server &Server, size_t Threads) {
  Host.Run = std::to_string(std::random_device{}());
  Host.Weights = Host.Options.value("weights", "");
  prepare(Server, Threads);
  Server.set_payload_max_length(64 << 20);
  Server.Post("/v1/generate", [&](const auto &Asked, auto &Answer) {
    generate(Host, Asked, Answer);
  });
  Server.Post("/v1/load", [&](const auto &Asked, auto &Answer) {
    load(Host, Asked, Answer);
  });
  Server.Put(R"(/v1/chunks/([0-9a-f]+))", [&](const auto &Asked, auto &) {
    std::unique_lock Lock(Host.Guard);
    const std::chrono::milliseconds StageTime(Host.option("stage_ms", 0));
    Lock.unlock();
    std::this_thread::sleep_for(StageTime);
    Lock.lock();
    Host.Staged[Asked.matches[1]] = Asked.body;
  });
  Server.Get("/v1/state", [&](const auto &, auto &Answer) {
    Json State = describe(Host);
    State.erase("records");
    reply(Answer, State);
  });
  Server.Post("/control",
              [&](const auto &Asked, auto &) { control(Host, Asked); });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    reply(Answer, describe(Host));
  });
}

/** Threads of each engine that shares its process with others. */
constexpr size_t SharedThreads = 4;

} // namespace

int runEngine(int Port, const Json &Options) {
  Engine Host;
  Host.Options = Options;
  httplib::Server Server;
  prepareEngine(Host, Server, ServerThreads);
  return serve(Server, Port);
}

int runEngines(int, const Json &Options) {
  std::deque<Engine> Hosts(Options.value("count", size_t{1}));
  std::deque<httplib::Server> Servers(Hosts.size());
  std::vector<std::thread> Accepting(Hosts.size());
  Json Addresses = Json::array();
  for (size_t n = 0; n < Hosts.size(); ++n) {
    Hosts[n].Options = Options;
    prepareEngine(Hosts[n], Servers[n], SharedThreads);
    Addresses.push_back(startServer(Servers[n], "127.0.0.1:0", Accepting[n]));
  }
  std::cout << Json({{"ready", true}, {"ats", Addresses}}).dump() << std::endl;
  for (std::thread &One : Accepting)
    One.join();
  return 0;
}

} // namespace jacinthpond::standin
