/** @file store.cpp The users' platform's key-value store, read side.
 *
 * /control takes: "put" (object of key and text), "remove" (list of keys),
 * "status" (every call answers that instead), "silent_ms" (answers wait that
 * long), "forget" (watches from before now answer 410).
 */

#include "base64.h"
#include "standin.h"

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace jacinthpond::standin {

namespace {

constexpr size_t PageItems = 50;

/** The store's content; guarded by Guard. */
struct Store {
  std::mutex Guard;
  std::condition_variable Changed;
  std::map<std::string, Json> Items;
  std::vector<Json> History; ///< Events in order of their revisions.
  uint64_t Revision = 1;
  uint64_t Forgotten = 0; ///< Events up to it are gone.
  Json Options;
  uint64_t Calls = 0;
};

/** Lets a call fail or wait as /control says; true when it was answered. */
bool misbehave(Store &Host, httplib::Response &Answer) {
  int Silent = 0;
  int Status = 0;
  {
    const std::lock_guard Lock(Host.Guard);
    ++Host.Calls;
    Silent = Host.Options.value("silent_ms", 0);
    Status = Host.Options.value("status", 0);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(Silent));
  if (Status != 0)
    Answer.status = Status;
  return Status != 0;
}

void readRange(Store &Host, const httplib::Request &Asked,
               httplib::Response &Answer) {
  if (misbehave(Host, Answer))
    return;
  const std::string Prefix = Asked.get_param_value("prefix");
  const std::string After = Asked.get_param_value("after");
  const std::lock_guard Lock(Host.Guard);
  Json Page = {{"items", Json::array()}, {"truncated", false}};
  for (const auto &[Key, Item] : Host.Items) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    if (Page["items"].size() == PageItems) {
      Page["truncated"] = true;
      break;
    }
    Page["items"].push_back(Item);
  }
  Page["store_revision"] = Host.Revision;
  reply(Answer, Page);
}

void watch(Store &Host, const httplib::Request &Asked,
           httplib::Response &Answer) {
  if (misbehave(Host, Answer))
    return;
  const uint64_t After =
      std::strtoull(Asked.get_param_value("after").c_str(), nullptr, 10);
  const auto Wait = std::chrono::milliseconds(
      std::atoi(Asked.get_param_value("wait_ms").c_str()));
  std::unique_lock Lock(Host.Guard);
  if (After < Host.Forgotten) {
    Answer.status = 410;
    return;
  }
  Host.Changed.wait_for(Lock, Wait, [&] { return Host.Revision > After; });
  Json Events = Json::array();
  for (const Json &Event : Host.History)
    if (Event["revision"] > After)
      Events.push_back(Event);
  reply(Answer, {{"events", Events}, {"store_revision", Host.Revision}});
}

void control(Store &Host, const httplib::Request &Asked) {
  const Json Value = Json::parse(Asked.body, nullptr, false);
  const std::lock_guard Lock(Host.Guard);
  const Json Put = Value.value("put", Json::object());
  const Json Remove = Value.value("remove", Json::array());
  for (const auto &Row : Put.items()) {
    const uint64_t Revision = ++Host.Revision;
    const Json Item = {{"key", Row.key()},
                       {"value", base64(Row.value().get<std::string>())},
                       {"revision", Revision},
                       {"created", Revision},
                       {"lease", 0}};
    Host.Items[Row.key()] = Item;
    Host.History.push_back(Item);
  }
  for (const Json &Key : Remove) {
    Host.Items.erase(Key.get<std::string>());
    Host.History.push_back(
        {{"key", Key}, {"revision", ++Host.Revision}, {"removed", true}});
  }
  if (Value.value("forget", false)) {
    Host.History.clear();
    Host.Forgotten = ++Host.Revision;
  }
  Host.Options.update(Value);
  Host.Changed.notify_all();
}

} // namespace

int runStore(int Port, const Json &Options) {
  Store Host;
  Host.Options = Options;
  httplib::Server Server;
  prepare(Server);
  Server.Get("/kv-range", [&](const auto &Asked, auto &Answer) {
    readRange(Host, Asked, Answer);
  });
  Server.Get("/kv-watch", [&](const auto &Asked, auto &Answer) {
    watch(Host, Asked, Answer);
  });
  Server.Post("/control",
              [&](const auto &Asked, auto &) { control(Host, Asked); });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    reply(Answer, {{"calls", Host.Calls}, {"revision", Host.Revision}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
