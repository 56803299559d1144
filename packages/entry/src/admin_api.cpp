/** @file admin_api.cpp Administration API of an entry. */

#include "admin_api.h"

#include "config_view_func.h"
#include "http/http_server.h"
#include "join_func.h"
#include "reader_rank_func.h"
#include "weights_health.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace jacinthpond {

using Json = nlohmann::json;

namespace {

bool takesWork(const PeerLink &Link) {
  return Link.State == LinkState::Ready && Link.Peer.Sender == Role::Agent &&
         (Link.Load.State == WorkerState::Serving ||
          Link.Load.State == WorkerState::Warming);
}

/** What a health check may know without a token. */
Json healthOf(const EntryState &Entry) {
  const auto Ready = std::ranges::count_if(
      Entry.Fleet.Links, [](const auto &Row) { return takesWork(Row.second); });
  const auto Behind =
      std::ranges::count_if(Entry.Fleet.Links, [&](const auto &Row) {
        return Row.second.State == LinkState::Ready &&
               Row.second.Version < versionInForce(Entry.View);
      });
  return {{"fresh", viewIsFresh(Entry.Fleet)},
          {"links", Entry.Fleet.Links.size()},
          {"links_behind", Behind},
          {"reader", isReader(Entry.View, Entry.Fleet)},
          {"version", versionInForce(Entry.View).Value},
          {"ready_workers", Ready},
          {"leaving", Entry.Stopping},
          {"weights", weightsHealth(Entry)},
          {"open_calls", Entry.Calls.size()}};
}

} // namespace

AdminApi::AdminApi(const Settings &Config, EntryShell &Host)
    : At(Config.AdminListen), Host(Host),
      Server(std::make_unique<httplib::Server>()) {
  setupServer(*Server, ListenerLimits{});
  Server->Get("/v1/health", [this](const auto &, auto &Answer) {
    Json Body;
    this->Host.inspect(
        [&](const EntryState &Entry, TimePoint) { Body = healthOf(Entry); });
    Answer.set_content(Body.dump(), "application/json");
  });
}

AdminApi::~AdminApi() {
  Server->stop();
  if (Accepting.joinable())
    Accepting.join();
}

std::string AdminApi::start() { return startServer(*Server, At, Accepting); }

} // namespace jacinthpond
