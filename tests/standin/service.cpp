/** @file service.cpp A plain service that records every call it ran. */

#include "standin.h"

#include <chrono>
#include <mutex>
#include <random>
#include <thread>

namespace jacinthpond::standin {

int runService(int Port, const Json &Options) {
  std::mutex Guard; // Guards Records and Settings.
  Json Records = Json::array();
  Json Settings = Options;
  const std::string Run = std::to_string(std::random_device{}());
  httplib::Server Server;
  prepare(Server, 64);
  Server.Post(R"(/v1/calls/([^/]+))", [&](const auto &Asked, auto &Answer) {
    int Millis = 0;
    size_t n = 0;
    const std::string Key = Asked.get_header_value("Idempotency-Key");
    {
      const std::lock_guard Lock(Guard);
      n = Records.size();
      Records.push_back({{"class", std::string(Asked.matches[1])},
                         {"key", Key},
                         {"attempt", Asked.get_header_value("X-Attempt")},
                         {"body", Asked.body}});
      Millis = Settings.value("call_ms", 2);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
    reply(Answer, {{"done", n}, {"key", Key}, {"body", Asked.body}});
  });
  Server.Get("/v1/run", [&](const auto &, auto &Answer) {
    Answer.set_content(Run, "text/plain");
  });
  Server.Post("/control", [&](const auto &Asked, auto &) {
    const std::lock_guard Lock(Guard);
    Settings.update(Json::parse(Asked.body, nullptr, false));
  });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Guard);
    reply(Answer, {{"records", Records}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
