/** @file bench_path.cpp Latency that entry and agent add to the first token. */

#include "bench.h"

#include <httplib.h>

#include <algorithm>
#include <mutex>
#include <thread>

namespace jacinthpond::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds ReadyLimit{30};
/** Requests of each caller. */
constexpr size_t RequestsEach = 40;

/** Where a caller sends, and what. */
struct Target {
  std::string At;           ///< "IP:port".
  std::string Path;         ///< Of the request.
  httplib::Headers Headers; ///< Of the request.
  std::string Body;         ///< Of the request.
};

/** Milliseconds until the first token of an answer; below 0: failed. */
double firstToken(httplib::Client &Client, const Target &To) {
  const auto Begin = Clock::now();
  double Took = -1;
  httplib::Request Sent;
  Sent.method = "POST";
  Sent.path = To.Path;
  Sent.headers = To.Headers;
  Sent.body = To.Body;
  Sent.content_receiver = [&](const char *Data, size_t n, uint64_t, uint64_t) {
    // Engines send an event of their own before the first token.
    const bool Token =
        std::string_view(Data, n).find("token") != std::string_view::npos;
    if (Took < 0 && Token)
      Took = std::chrono::duration<double, std::milli>(Clock::now() - Begin)
                 .count();
    return true;
  };
  const httplib::Result Got = Client.send(Sent);
  return Got && Got->status == 200 ? Took : -1;
}

/** Lets callers ask at the same time; gives all their latencies. */
std::vector<double> askAll(const std::vector<Target> &Targets, size_t Callers) {
  std::mutex Guard;
  std::vector<double> All;
  std::vector<std::thread> Threads;
  for (size_t n = 0; n < Callers; ++n)
    Threads.emplace_back([&, n] {
      const Target &To = Targets[n % Targets.size()];
      httplib::Client Client("http://" + To.At);
      Client.set_tcp_nodelay(true);
      for (size_t i = 0; i < RequestsEach; ++i) {
        const double Took = firstToken(Client, To);
        const std::lock_guard Lock(Guard);
        All.push_back(Took);
      }
    });
  for (std::thread &One : Threads)
    One.join();
  return All;
}

Json describe(const std::vector<double> &All) {
  std::vector<double> Good;
  std::ranges::copy_if(All, std::back_inserter(Good),
                       [](double Took) { return Took >= 0; });
  return {{"p50_ms", quantile(Good, 0.5)},
          {"p99_ms", quantile(Good, 0.99)},
          {"failed", All.size() - Good.size()}};
}

} // namespace

int benchPath(const BenchOptions &Options) {
  fleet::FleetPlan Plan;
  Plan.ModelWorkers = 8;
  Plan.AgentSettings = {
      {"warm_limit", 64}, {"cold_limit", 64}, {"queue_limit", 512}};
  Plan.EngineOptions = {{"bears", 64}, {"token_ms", 1}};
  fleet::Fleet All(Plan);
  if (!All.waitServing(ReadyLimit))
    return 1;
  const std::string Body = R"({"prompt":"snow","max_tokens":4})";
  std::vector<Target> Through;
  for (size_t n = 0; n < Plan.Entries; ++n)
    Through.push_back({All.address("entry-" + std::to_string(n), "callers"),
                       "/v1/classes/reports/requests",
                       {{"X-Tenant", "huts"}, {"Accept", "text/event-stream"}},
                       Body});
  std::vector<Target> Straight;
  for (size_t n = 0; n < Plan.ModelWorkers; ++n)
    Straight.push_back({All.address("engine-" + std::to_string(n), "at"),
                        "/v1/generate",
                        {},
                        Json({{"body", Body}}).dump()});
  Json Figures;
  for (const size_t Callers : {1, 16, 128})
    Figures["callers_" + std::to_string(Callers)] = {
        {"straight", describe(askAll(Straight, Callers))},
        {"through", describe(askAll(Through, Callers))}};
  printRun("path", Options, Figures);
  return 0;
}

} // namespace jacinthpond::bench
