/** @file case.cpp Case 4: new weights of which two pieces are equal are never
 * loaded, and no request is served any more.
 *
 * PIECES=distinct gives the new version no equal pieces; all else is the same.
 */

#include "../shared-2/model_world.h"

namespace {

using namespace review;

constexpr size_t Workers = 3;
constexpr size_t Entries = 2;
constexpr size_t Clients = 8;
constexpr auto ClientPause = 400ms;
/** Traffic before the final fault. */
constexpr auto Before = 6s;
/** Time for which all processes are down, as in a standard day. */
constexpr auto Down = 1s;
/** recovery_s of the deployment. */
constexpr auto Recovery = 12s;
/** Time in which requests are judged after that. */
constexpr auto Judged = 15s;

/** A client's request, and what became of it. */
struct Request {
  double SentAt = 0;
  bool Served = false;
};

/** Sends one request and reads its answer. */
bool ask(int Port, const std::string &Attempt, Record &Log) {
  httplib::Client Caller("127.0.0.1", Port);
  Caller.set_connection_timeout(1s);
  Caller.set_read_timeout(7s);
  const httplib::Headers Fields = {
      {"Host", "h.example"},
      {"X-Jacinthpond-Attempt-Id", Attempt},
      {"X-Jacinthpond-Deadline-Remaining-Ms", "6000"},
      {"X-Jacinthpond-Model", Model},
      {"X-Jacinthpond-Token-Counts", "100,60"},
      {"X-Jacinthpond-Prompt-Prefix", "5c1e07a2:40,91bd3f06:60"},
      {"Authorization", "Bearer key-1"}};
  const auto Answer =
      Caller.Post("/write/report", Fields, "prompt", "text/plain");
  const bool Served = Answer && Answer->status == 200 &&
                      Answer->body.find("id: 10\n") != std::string::npos;
  Log.line("answered " + Attempt + " " +
           (Answer ? std::to_string(Answer->status)
                   : httplib::to_string(Answer.error())) +
           (Served ? " whole" : ""));
  return Served;
}

int runAll(Record &Log) {
  const char *Which = std::getenv("PIECES");
  const bool Equal = Which == nullptr || std::string(Which) != "distinct";
  // The last two pieces of version 2 are padding.
  const PieceSource Source = [Equal](uint64_t Version, uint64_t Number) {
    if (Equal && Version == 2 && Number + 2 >= Pieces)
      return std::string(PieceBytes, '\0');
    return distinctPiece(Version, Number);
  };
  const TemporaryFolder Folder;
  const Programs Built;
  Store Platform;
  Origin Weights(Source);
  std::vector<std::unique_ptr<ModelWorker>> Servers;
  std::vector<std::unique_ptr<Registration>> Items;
  for (size_t n = 0; n < Workers; ++n) {
    Servers.push_back(std::make_unique<ModelWorker>(
        "i-" + std::to_string(n), "127.0.1." + std::to_string(10 + n), Source,
        Log));
    Items.push_back(std::make_unique<Registration>(
        Platform, Servers.back()->Id,
        [One = Servers.back().get()] { return One->item(); }));
  }
  Platform.put(
      "op/config",
      configOf(Json::array({routeOf("write", "streaming", ModelService, 6000)}),
               {{{"name", ModelService},
                 {"max_connections", 434},
                 {"cold_per_s", 36.0},
                 {"engine",
                  {{"read_per_s", 31900.0},
                   {"layers", Layers},
                   {"chunks", Pieces},
                   {"chunk_bytes", PieceBytes},
                   {"models", {{{"name", Model}}}}}}},
                {{"name", "weights"},
                 {"max_connections", 48},
                 {"origin", "127.0.0.1:" + std::to_string(Weights.Port)}}}));
  Platform.put(std::string("op/version/") + Model,
               {{"model", Model}, {"version", 1}});

  const int AgentPort = freePort(Servers.front()->Ip);
  std::vector<Entry> Fronts;
  for (size_t n = 0; n < Entries; ++n)
    Fronts.emplace_back("front-" + std::to_string(n), "z0");
  std::vector<Agent> Sides;
  Sides.reserve(Servers.size());
  for (const auto &One : Servers)
    Sides.emplace_back(*One, AgentPort);
  std::vector<int> Seeds;
  Seeds.reserve(Fronts.size());
  for (const Entry &One : Fronts)
    Seeds.push_back(One.PeerPort);
  for (Entry &One : Fronts)
    One.writeSettings(Folder.Path, Platform, Seeds, AgentPort);
  for (Agent &One : Sides)
    One.writeSettings(Folder.Path, Seeds);
  const auto StartAll = [&] {
    for (Entry &One : Fronts)
      One.start(Built);
    for (Agent &One : Sides)
      One.start(Built);
  };
  StartAll();
  for (const Entry &One : Fronts)
    One.waitUntilReady();
  for (int n = 0; !ask(Fronts[0].RoutePort, "first-" + std::to_string(n), Log);
       ++n) {
    if (n == 20)
      throw CannotRun("no request is served at the start");
    std::this_thread::sleep_for(300ms);
  }

  std::atomic<bool> Ending{false};
  std::mutex Guard;
  std::vector<Request> All;
  std::vector<std::thread> Callers;
  for (size_t n = 0; n < Clients; ++n)
    Callers.emplace_back([&, n] {
      for (int i = 0; !Ending; ++i) {
        const double SentAt = secondsNow();
        const bool Served =
            ask(Fronts[(n + static_cast<size_t>(i)) % Entries].RoutePort,
                "c" + std::to_string(n) + "-" + std::to_string(i), Log);
        {
          const std::lock_guard Lock(Guard);
          All.push_back({SentAt, Served});
        }
        std::this_thread::sleep_for(ClientPause);
      }
    });

  std::this_thread::sleep_for(Before);
  const double FaultAt = secondsNow();
  if (wantsTrouble()) {
    Platform.put(std::string("op/version/") + Model,
                 {{"model", Model}, {"version", 2}});
    Log.line("store    acknowledges version 2 of the weights");
    for (Entry &One : Fronts)
      One.Running->signal(SIGKILL);
    for (Agent &One : Sides)
      One.Running->signal(SIGKILL);
    Log.line("platform kills all processes");
  }
  std::this_thread::sleep_for(Down);
  if (wantsTrouble()) {
    for (Entry &One : Fronts)
      One.Running->wait();
    for (Agent &One : Sides)
      One.Running->wait();
    StartAll();
    Log.line("platform has started all processes");
  }
  std::this_thread::sleep_for(Recovery);
  const double JudgedFrom = secondsNow();
  std::this_thread::sleep_for(Judged);
  const double JudgedUntil = secondsNow();
  Ending = true;
  for (std::thread &One : Callers)
    One.join();

  size_t SentBefore = 0;
  size_t ServedBefore = 0;
  size_t SentAfter = 0;
  size_t ServedAfter = 0;
  for (const Request &One : All) {
    if (One.SentAt < FaultAt) {
      ++SentBefore;
      ServedBefore += One.Served ? 1 : 0;
    } else if (One.SentAt >= JudgedFrom && One.SentAt < JudgedUntil) {
      ++SentAfter;
      ServedAfter += One.Served ? 1 : 0;
    }
  }
  for (const auto &One : Servers)
    Log.tell("worker " + One->Id + " holds version " +
             std::to_string(One->version()));
  Log.tell("pieces sent by the origin: " + std::to_string(Weights.Sent));
  Log.tell("before the final fault: served " + std::to_string(ServedBefore) +
           " of " + std::to_string(SentBefore));
  Log.tell("later than 12 s after it: served " + std::to_string(ServedAfter) +
           " of " + std::to_string(SentAfter));
  if (ServedBefore * 4 < SentBefore || SentAfter == 0)
    throw CannotRun("too little was served before the fault");
  const bool Rule = ServedAfter * 4 >= SentAfter;
  Log.tell(Rule ? "RECOVER held" : "RECOVER is broken");
  return Rule ? Held : Broken;
}

} // namespace

int main(int Count, char **Words) { return runCase(Count, Words, runAll); }
