/** @file origin.cpp The origin of weights behind a link of a given rate.
 *
 * Chunks are put under /control/chunks/DIGEST. /control takes:
 * "bytes_per_second" (0: unlimited), "down", "corrupt_percent" with "seed".
 */

#include "standin.h"

#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace jacinthpond::standin {

namespace {

using Clock = std::chrono::steady_clock;

/** The origin's chunks and its link; guarded by Guard. */
struct Origin {
  std::mutex Guard;
  std::map<std::string, std::string> Chunks;
  std::map<std::string, uint64_t> Served; ///< Times each chunk was drawn.
  Json Options;
  std::mt19937_64 Random;
  Clock::time_point LinkFree; ///< When the link has sent all so far.
  uint64_t Bytes = 0;         ///< Bytes drawn.
};

/** Books the link for some bytes; all readers share it. */
Clock::time_point bookLink(Origin &Host, size_t n) {
  const auto Rate = Host.Options.value("bytes_per_second", uint64_t{0});
  const Clock::time_point Now = Clock::now();
  if (Rate == 0)
    return Now;
  const auto Length = std::chrono::nanoseconds(static_cast<int64_t>(
      1e9 * static_cast<double>(n) / static_cast<double>(Rate)));
  Host.LinkFree = std::max(Host.LinkFree, Now) + Length;
  return Host.LinkFree;
}

void serveChunk(Origin &Host, const httplib::Request &Asked,
                httplib::Response &Answer) {
  std::string Content;
  Clock::time_point SentBy;
  {
    const std::lock_guard Lock(Host.Guard);
    const auto it = Host.Chunks.find(Asked.matches[1]);
    if (Host.Options.value("down", false) || it == Host.Chunks.end()) {
      Answer.status = it == Host.Chunks.end() ? 404 : 500;
      return;
    }
    Content = it->second;
    Host.Bytes += Content.size();
    ++Host.Served[it->first];
    const auto Percent = Host.Options.value("corrupt_percent", uint64_t{0});
    if (Host.Random() % 100 < Percent && !Content.empty())
      Content[Host.Random() % Content.size()] ^= 1;
    SentBy = bookLink(Host, Content.size());
  }
  std::this_thread::sleep_until(SentBy);
  Answer.set_content(Content, "application/octet-stream");
}

} // namespace

int runOrigin(int Port, const Json &Options) {
  Origin Host;
  Host.Options = Options;
  Host.Random.seed(Options.value("seed", uint64_t{1}));
  httplib::Server Server;
  prepare(Server, 64);
  Server.set_payload_max_length(64 << 20);
  Server.Get(R"(/v1/chunks/([0-9a-f]+))", [&](const auto &Asked, auto &Answer) {
    serveChunk(Host, Asked, Answer);
  });
  Server.Put(R"(/control/chunks/([0-9a-f]+))", [&](const auto &Asked, auto &) {
    const std::lock_guard Lock(Host.Guard);
    Host.Chunks[Asked.matches[1]] = Asked.body;
  });
  Server.Post("/control", [&](const auto &Asked, auto &) {
    const std::lock_guard Lock(Host.Guard);
    Host.Options.update(Json::parse(Asked.body, nullptr, false));
  });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    reply(Answer, {{"bytes", Host.Bytes}, {"served", Host.Served}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
