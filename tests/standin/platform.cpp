/** @file platform.cpp The configuration service and the list of hosts.
 *
 * /control takes: "document" (text to publish), "hosts" (the list), "down"
 * (answers 500), "slow_ms", "stale" (readers go on getting what was published
 * before), "reads_left" (goes down once that many documents were given).
 */

#include "standin.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace jacinthpond::standin {

namespace {

/** What is published; guarded by Guard. */
struct Platform {
  std::mutex Guard;
  std::condition_variable Changed;
  std::string Document; ///< Published last.
  std::string Shown;    ///< What readers get.
  Json Hosts = Json::object();
  Json Options;
  uint64_t Calls = 0; ///< Calls of the configuration service.
};

uint64_t versionOf(const std::string &Text) {
  const Json Value = Json::parse(Text, nullptr, false, true);
  if (!Value.is_object() || !Value.contains("version") ||
      !Value["version"].is_number_unsigned())
    return 0;
  return Value["version"];
}

void readConfig(Platform &Host, const httplib::Request &Asked,
                httplib::Response &Answer) {
  const uint64_t After =
      std::strtoull(Asked.get_param_value("after").c_str(), nullptr, 10);
  const auto Wait = std::chrono::milliseconds(
      std::atoi(Asked.get_param_value("wait_ms").c_str()));
  std::unique_lock Lock(Host.Guard);
  ++Host.Calls;
  const int Slow = Host.Options.value("slow_ms", 0);
  if (Slow > 0) {
    Lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(Slow));
    Lock.lock();
  }
  const auto Done = [&] {
    return Host.Options.value("down", false) ||
           (!Host.Shown.empty() && versionOf(Host.Shown) != After);
  };
  Host.Changed.wait_for(Lock, Wait, Done);
  if (Host.Options.value("down", false)) {
    Answer.status = 500;
    return;
  }
  if (!Done()) {
    Answer.status = 204;
    return;
  }
  Answer.set_content(Host.Shown, "application/json");
  const int Left = Host.Options.value("reads_left", 0);
  if (Left > 0)
    Host.Options["reads_left"] = Left - 1;
  if (Left == 1)
    Host.Options["down"] = true;
}

void control(Platform &Host, const httplib::Request &Asked) {
  const Json Value = Json::parse(Asked.body, nullptr, false);
  const std::lock_guard Lock(Host.Guard);
  if (Value.contains("document"))
    Host.Document = Value["document"];
  if (Value.contains("hosts"))
    Host.Hosts = Value["hosts"];
  Host.Options.update(Value);
  if (!Host.Options.value("stale", false))
    Host.Shown = Host.Document;
  Host.Changed.notify_all();
}

} // namespace

int runPlatform(int Port, const Json &Options) {
  Platform Host;
  Host.Options = Options;
  httplib::Server Server;
  prepare(Server); // A few readers of each domain watch, nobody else.
  Server.set_payload_max_length(8 << 20);
  Server.Get("/v1/config", [&](const auto &Asked, auto &Answer) {
    readConfig(Host, Asked, Answer);
  });
  Server.Get("/v1/hosts", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    if (Host.Options.value("hosts_down", false))
      Answer.status = 500;
    else
      reply(Answer, Host.Hosts);
  });
  Server.Post("/control",
              [&](const auto &Asked, auto &) { control(Host, Asked); });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    reply(Answer, {{"calls", Host.Calls}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
