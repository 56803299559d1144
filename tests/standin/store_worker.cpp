/** @file store_worker.cpp A worker of the users' platform, and their origin.
 *
 * /control takes: "id", "version" (0: holds nothing), "events" (of a stream),
 * "rate_limit" (a text: answers name it as their limit of requests a second;
 * empty: none), "gap_ms" (between events), "break_at" (the connection ends in
 * the middle of that event, once), "fail" (that many requests answer
 * "fail_status", 500 if not given), "success_status" (of other answers; 200),
 * "refuse" (that many answer 503 as not run), "retry_after" (these refusals
 * carry it; a list: the header comes once for each element), "leaving" (a text:
 * all answers carry it as Server-Leaving; empty: none do), "no_signature",
 * "crash_on" (a text: the process ends, after "crash_ms", when it runs a
 * request with that in its body or path; a stream has its head and first event
 * by then), "crash_part" (a list of ids: likewise, when the prompt of a request
 * has such a part before its last one; by the request's path it ends before any
 * byte, after the head and a byte of a body with a length, or after the head
 * and a byte of one that ends with its connection), "crash_link" (control of a
 * proxy before the worker: a crash closes that instead of the process, so that
 * the records are kept), "stage_folder" (at the start: what is staged is kept
 * there, and outlives a crash), "no_ids" (events of a stream have none),
 * "ends_by_close" (one in that many answers has neither a length nor chunks,
 * and ends with its connection), "hang" (no answer at all), "order_wait_ms"
 * (the next order is taken that much later, as the worker and what lies staged
 * are by then), "load_ms" (how long it is busy with an order), "hold_put" (the
 * next write of that chunk is left unread, and read right before the next order
 * that comes), "halfway" (it holds no first layer, and the next one was loaded
 * from other bytes), "slow_reads" (that many staged chunks are read back in
 * "read_ms" each), "rot_after_read" (once all that lies staged is of the next
 * version, chunk 0 turns bad when it has been read back), "tell" (answers and
 * events say whose and what of they are), "restart" (the memory is lost, what
 * is staged and the record of runs are kept), "lose_staged" (nothing is staged
 * any more), "same_chunks" (at the start: see setSameChunks()). GET /control
 * gives "runs": what was run, when (on the machine's steady clock), with which
 * headers, and whether all that the loaded version was made of was of it
 * ("whole"); "from" in the query leaves out the first ones; with
 * "arrivals_from" it gives "arrivals" instead: each request that came, run or
 * not, and its status; with "crashed" only that: a crash has begun; "loads":
 * the version of each order that was taken, and whether all that lay staged was
 * of it; "orders_waiting": orders that came and were not taken yet;
 * "puts_held"; "busy"; "staged_of": the version of all that lies staged, 0: of
 * none; "rot_after_read": that is still to come.
 */

#include "standin.h"

#include "base/hash_func.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace jacinthpond::standin {

namespace {

/** See setSameChunks(). */
Json SameChunks = Json::object();

constexpr const char *AttemptHeader = "X-Jacinthpond-Attempt-Id";
constexpr std::chrono::milliseconds HangTime{4000};
/** Time after which a proxy that was told to has cut all connections. */
constexpr std::chrono::milliseconds LinkCloseTime{200};
/** Layers of the model. */
constexpr uint64_t ModelLayers = 4;

/** One worker; guarded by Guard. */
struct Worker {
  std::mutex Guard;
  Json Options;
  Json Runs = Json::array();
  Json Arrivals = Json::array();
  std::map<uint64_t, std::string> Staged;  ///< By number.
  std::map<uint64_t, std::string> HeldPut; ///< Came, and is not read yet.
  std::set<uint64_t> GivenUp;              ///< Layers that it does not hold.
  std::set<uint64_t> Torn; ///< Layers that were not loaded from bytes of
                           ///< their version.
  uint64_t Orders = 0;
  uint64_t OrdersWaiting = 0;
  Json Loads = Json::array();
  std::chrono::steady_clock::time_point BusyUntil;
  int64_t Born = 0;
};

int64_t millisOfDay() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Takes one off a counter in the options; true when it was above 0. */
bool takeOne(Worker &Host, const char *Key) {
  const int Left = Host.Options.value(Key, 0);
  if (Left > 0)
    Host.Options[Key] = Left - 1;
  return Left > 0;
}

/** Says why a request is not run, as a status; 0: it is. */
int refusalOf(Worker &Host, const httplib::Request &Asked) {
  const std::string Expected =
      Asked.get_header_value("X-Jacinthpond-Expected-Instance");
  const std::string Version =
      Asked.get_header_value("X-Jacinthpond-Expected-Version");
  const std::string Own = std::to_string(Host.Options.value("version", 0));
  if (!Expected.empty() && Expected != Host.Options.value("id", ""))
    return 421;
  if (!Version.empty() && Version != Own)
    return 421;
  if (Host.Options.contains("model") && (Own == "0" || !Host.GivenUp.empty()))
    return 421; // Nothing is loaded, or not all of it.
  return takeOne(Host, "refuse") ? 503 : 0;
}

/** Milliseconds on the machine's steady clock. */
double steadyMillis() {
  const std::chrono::duration<double, std::milli> Now =
      std::chrono::steady_clock::now().time_since_epoch();
  return Now.count();
}

/** Records a request that arrived, and the status that it is answered with. */
void noteArrival(Worker &Host, const httplib::Request &Asked, int Status) {
  Host.Arrivals.push_back(
      {{"attempt", Asked.get_header_value(AttemptHeader)},
       {"at_ms", steadyMillis()},
       {"id", Host.Options.value("id", "")},
       {"path", Asked.path},
       {"status", Status},
       {"retry_after",
        Status == 503 ? Host.Options.value("retry_after", Json("")) : Json("")},
       {"leaving", Host.Options.value("leaving", "")}});
}

void noteRun(Worker &Host, const httplib::Request &Asked) {
  Json Headers = Json::object();
  for (const auto &[Name, Value] : Asked.headers)
    Headers[Name] = Value;
  Host.Runs.push_back({{"attempt", Asked.get_header_value(AttemptHeader)},
                       {"at_ms", steadyMillis()},
                       {"id", Host.Options.value("id", "")},
                       {"version", Host.Options.value("version", 0)},
                       {"whole", Host.Torn.empty()},
                       {"method", Asked.method},
                       {"path", Asked.path},
                       {"body", Asked.body},
                       {"headers", Headers}});
}

/** Sets the header by which a worker says that it is leaving. */
void setLeavingHeader(const Worker &Host, httplib::Response &Answer) {
  const std::string Leaving = Host.Options.value("leaving", "");
  if (!Leaving.empty())
    Answer.set_header("Server-Leaving", Leaving);
}

/** Sets the headers of an answer that a request was not run. */
void setRefusalHeaders(const Worker &Host, httplib::Response &Answer) {
  setLeavingHeader(Host, Answer);
  if (Answer.status != 503)
    return;
  Answer.set_header("X-Jacinthpond-Not-Executed", "1");
  const Json Pause = Host.Options.value("retry_after", Json(""));
  for (const Json &One : Pause.is_array() ? Pause : Json::array({Pause}))
    if (One != "")
      Answer.set_header("Retry-After", One.get<std::string>());
}

void setHeaders(const Worker &Host, const httplib::Request &Asked,
                httplib::Response &Answer) {
  setLeavingHeader(Host, Answer);
  Answer.set_header(AttemptHeader, Asked.get_header_value(AttemptHeader));
  if (!Host.Options.value("no_signature", false))
    Answer.set_header("X-Jacinthpond-Response-Signature", "sig");
  const std::string Limit = Host.Options.value("rate_limit", "");
  if (!Limit.empty())
    Answer.set_header("Server-Limit", Limit);
  Answer.set_header("X-Jacinthpond-Server-Load", "1,0,8");
  Answer.set_header("X-Jacinthpond-Weight-Versions",
                    std::to_string(Host.Options.value("version", 0)));
}

/** What answers say of the request that they are for, where that is wanted. */
std::string tellOf(const Worker &Host, const httplib::Request &Asked) {
  if (!Host.Options.value("tell", false))
    return "";
  return " of " + Asked.body + " on " +
         std::to_string(Host.Options.value("version", 0));
}

/** Says whether the prompt of a request has a part before its last one that
 * crashes the worker. */
bool hasCrashingPart(const Worker &Host, const httplib::Request &Asked) {
  const std::string Prefix =
      Asked.get_header_value("X-Jacinthpond-Prompt-Prefix");
  const std::string Shared = Prefix.substr(0, Prefix.rfind(',') + 1);
  return std::ranges::any_of(
      Host.Options.value("crash_part", Json::array()), [&](const Json &Id) {
        return ("," + Shared).find("," + Id.get<std::string>() + ":") !=
               std::string::npos;
      });
}

/** Says whether a request crashes the worker that runs it. */
bool crashes(const Worker &Host, const httplib::Request &Asked) {
  const std::string Sign = Host.Options.value("crash_on", "");
  return hasCrashingPart(Host, Asked) ||
         (!Sign.empty() && (Asked.body.find(Sign) != std::string::npos ||
                            Asked.target.find(Sign) != std::string::npos));
}

/** Draws from the path of a request. */
size_t drawFrom(const httplib::Request &Asked, size_t Bound) {
  return std::hash<std::string>{}(Asked.path) % Bound;
}

/** Says whether the answer ends with its connection. */
bool endsByClose(const Worker &Host, const httplib::Request &Asked) {
  const size_t Every = Host.Options.value("ends_by_close", size_t{0});
  return Every > 0 && drawFrom(Asked, Every) == 0;
}

/** Ends the process, or closes the proxy before it, as a crash does. */
void crash(Worker &Host) {
  std::chrono::milliseconds Wait{0};
  std::string Link;
  {
    const std::lock_guard Lock(Host.Guard);
    Wait = std::chrono::milliseconds(Host.Options.value("crash_ms", 50));
    Link = Host.Options.value("crash_link", "");
    Host.Options["crashed"] = true;
  }
  std::this_thread::sleep_for(Wait);
  if (Link.empty())
    std::_Exit(1);
  httplib::Client("http://" + Link)
      .Post("/control", Json({{"mode", "closed"}, {"reset", true}}).dump(),
            "application/json");
  std::this_thread::sleep_for(LinkCloseTime); // No answer gets through.
}

/** Streams events behind the one that the caller has. */
void stream(Worker &Host, const httplib::Request &Asked,
            httplib::Response &Answer) {
  const int First =
      std::atoi(Asked.get_header_value("Last-Event-Id").c_str()) + 1;
  const int Events = Host.Options.value("events", 5);
  const int Break = Host.Options.value("break_at", 0);
  if (Break >= First)
    Host.Options["break_at"] = 0;
  const std::chrono::milliseconds Gap(Host.Options.value("gap_ms", 5));
  const int CrashAt = crashes(Host, Asked) ? First + 1 : 0;
  const bool ByClose = endsByClose(Host, Asked);
  const bool WithIds = !Host.Options.value("no_ids", false);
  const auto Write =
      [n = First, WithIds, Events, Break, Gap, CrashAt, ByClose, &Host,
       Tell = tellOf(Host, Asked)](size_t, httplib::DataSink &Sink) mutable {
        const std::string Event =
            (WithIds ? "id: " + std::to_string(n) + "\n" : "") +
            "data: token " + std::to_string(n) + Tell + "\n\n";
        if (n == CrashAt) {
          crash(Host);
          return false;
        }
        if (n == Break) {
          Sink.write(Event.data(), Event.size() / 2);
          return false;
        }
        if (n > Events) {
          Sink.done();
          return !ByClose; // False closes the connection.
        }
        std::this_thread::sleep_for(Gap);
        ++n;
        return Sink.write(Event.data(), Event.size());
      };
  if (ByClose)
    Answer.set_content_provider("text/event-stream", Write);
  else
    Answer.set_chunked_content_provider("text/event-stream", Write);
}

/** Sends a body that ends with its connection. */
void sendUntilClose(httplib::Response &Answer, const std::string &Body) {
  Answer.set_content_provider("text/plain",
                              [Body](size_t, httplib::DataSink &Sink) {
                                Sink.write(Body.data(), Body.size());
                                return false; // Closes the connection.
                              });
}

/** Crashes on a request, before its answer or in the middle of it. */
void answerAndCrash(Worker &Host, const httplib::Request &Asked,
                    httplib::Response &Answer) {
  enum class Begun : uint8_t { Nothing, WithLength, UntilClose, Count };
  const auto How =
      static_cast<Begun>(drawFrom(Asked, static_cast<size_t>(Begun::Count)));
  const auto WriteAndCrash = [&Host](httplib::DataSink &Sink) {
    Sink.write("a", 1);
    crash(Host);
    return false;
  };
  if (How == Begun::WithLength)
    Answer.set_content_provider(2, "text/plain",
                                [=](size_t, size_t, httplib::DataSink &Sink) {
                                  return WriteAndCrash(Sink);
                                });
  else if (How == Begun::UntilClose)
    Answer.set_content_provider(
        "text/plain",
        [=](size_t, httplib::DataSink &Sink) { return WriteAndCrash(Sink); });
  else
    crash(Host);
}

void run(Worker &Host, const httplib::Request &Asked,
         httplib::Response &Answer) {
  std::unique_lock Lock(Host.Guard);
  const int Status = refusalOf(Host, Asked);
  noteArrival(Host, Asked, Status == 0 ? 200 : Status);
  if (Status != 0) {
    Answer.status = Status;
    setRefusalHeaders(Host, Answer);
    return;
  }
  noteRun(Host, Asked);
  setHeaders(Host, Asked, Answer);
  Answer.status = Host.Options.value("success_status", 200);
  if (takeOne(Host, "fail")) {
    Answer.status = Host.Options.value("fail_status", 500);
    Answer.set_content("failed", "text/plain");
    return;
  }
  if (takeOne(Host, "hang")) {
    Lock.unlock();
    std::this_thread::sleep_for(HangTime);
    Lock.lock();
  }
  if (const int Work = Host.Options.value("work_ms", 0); Work > 0) {
    Lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(Work));
    Lock.lock();
  }
  if (!Host.Options.contains("model") && crashes(Host, Asked)) {
    const bool ByPart = hasCrashingPart(Host, Asked);
    Lock.unlock();
    if (ByPart) {
      answerAndCrash(Host, Asked, Answer);
      return;
    }
    crash(Host);
    Lock.lock();
  }
  if (Host.Options.contains("model"))
    stream(Host, Asked, Answer);
  else if (const size_t Size = Host.Options.value("answer_bytes", size_t{0});
           Size > 0)
    Answer.set_content(std::string(Size, 'x'), "text/plain");
  else if (endsByClose(Host, Asked))
    sendUntilClose(Answer, "answer to " + Asked.path + tellOf(Host, Asked));
  else
    Answer.set_content("answer to " + Asked.path + tellOf(Host, Asked),
                       "text/plain");
}

/** Starts the worker anew, as far as others can see. */
void restart(Worker &Host) {
  Host.Born = millisOfDay();
  Host.Options["refuse"] = 0;
  Host.Options["leaving"] = "";
  Host.Orders = 0;
  Host.Options["version"] = 0;
  Host.GivenUp.clear();
  Host.Torn.clear();
  Host.Options["restart"] = false;
  Host.Options["crashed"] = false;
}

bool isBusy(const Worker &Host) {
  return std::chrono::steady_clock::now() < Host.BusyUntil;
}

/** The layers that it holds; null: none. */
Json layersOf(const Worker &Host) {
  if (Host.Options.value("version", 0) == 0)
    return nullptr;
  uint64_t From = 0;
  while (Host.GivenUp.contains(From))
    ++From;
  uint64_t Target = ModelLayers;
  while (Target > From && Host.GivenUp.contains(Target - 1))
    --Target;
  return {{"from", From}, {"target", Target}};
}

Json reportOf(const Worker &Host) {
  Json Models = Json::array();
  if (Host.Options.value("version", 0) > 0)
    Models.push_back({{"name", Host.Options.value("model", "")},
                      {"version", Host.Options.value("version", 0)}});
  return {{"layers", layersOf(Host)},
          {"stage", "combined"},
          {"models", Models},
          {"busy", isBusy(Host)},
          {"sequence", Host.Orders},
          {"waiting", 0},
          {"running", 0},
          {"born", Host.Born}};
}

/** Says whether all that lies staged is of a version. */
bool isOfVersion(const Worker &Host, uint64_t Version) {
  return std::ranges::all_of(Host.Staged, [&](const auto &Row) {
    return Row.second == chunkOfWeights(Version, Row.first, Row.second.size());
  });
}

/** Says of which version all that lies staged is; 0: of none. */
uint64_t stagedVersion(const Worker &Host) {
  const uint64_t Loaded = Host.Options.value("version", uint64_t{0});
  for (const uint64_t Version : {Loaded, Loaded + 1})
    if (isOfVersion(Host, Version))
      return Version;
  return 0;
}

/** Lets the next order lie unread for a while, as a worker that stands still
 * does. */
void delayOrder(Worker &Host) {
  std::chrono::milliseconds Wait{0};
  {
    const std::lock_guard Lock(Host.Guard);
    Wait = std::chrono::milliseconds(Host.Options.value("order_wait_ms", 0));
    Host.Options["order_wait_ms"] = 0;
    ++Host.OrdersWaiting;
  }
  std::this_thread::sleep_for(Wait);
  const std::lock_guard Lock(Host.Guard);
  --Host.OrdersWaiting;
}

/** Keeps a write back until the next order; says whether it did. */
bool holdPut(Worker &Host, uint64_t Number, const std::string &Bytes) {
  if (Host.Options.value("hold_put", -1) != static_cast<int64_t>(Number))
    return false;
  Host.Options["hold_put"] = -1;
  Host.HeldPut[Number] = Bytes;
  return true;
}

/** Waits until a write that is held back was read, or its sender has left. */
void waitWhileHeld(Worker &Host) {
  const auto Until = std::chrono::steady_clock::now() + HangTime;
  bool Held = true;
  while (Held && std::chrono::steady_clock::now() < Until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    const std::lock_guard Lock(Host.Guard);
    Held = !Host.HeldPut.empty();
  }
}

void readHeldPut(Worker &Host) {
  for (auto &[n, Bytes] : Host.HeldPut)
    Host.Staged[n] = std::move(Bytes);
  Host.HeldPut.clear();
}

/** Says whether a layer would be loaded from bytes of a version. */
bool layerIsOf(const Worker &Host, uint64_t Version, uint64_t Layer) {
  const uint64_t Chunks =
      Host.Staged.empty() ? 0 : Host.Staged.rbegin()->first + 1;
  const uint64_t First = Layer * Chunks / ModelLayers;
  const uint64_t End = ((Layer + 1) * Chunks + ModelLayers - 1) / ModelLayers;
  return std::ranges::all_of(Host.Staged, [&](const auto &Row) {
    return Row.first < First || Row.first >= End ||
           Row.second == chunkOfWeights(Version, Row.first, Row.second.size());
  });
}

/** Gives up layers and loads what is missing; says whether there was any. */
bool loadLayers(Worker &Host, uint64_t Version, bool Same,
                const std::set<uint64_t> &GivenUp) {
  bool Any = false;
  for (uint64_t n = 0; n < ModelLayers; ++n) {
    const bool Loads =
        !GivenUp.contains(n) && (!Same || Host.GivenUp.contains(n));
    Any = Any || Loads;
    if (Loads || GivenUp.contains(n))
      Host.Torn.erase(n);
    if (Loads && !layerIsOf(Host, Version, n))
      Host.Torn.insert(n);
  }
  Host.GivenUp = GivenUp;
  return Any;
}

/** Loads what lies staged, whatever it is: nothing is checked here. */
void order(Worker &Host, const httplib::Request &Asked,
           httplib::Response &Answer) {
  delayOrder(Host);
  const Json Order = Json::parse(Asked.body, nullptr, false);
  const std::lock_guard Lock(Host.Guard);
  if (Order.value("expect", Host.Orders) != Host.Orders) {
    Answer.status = 409;
    return;
  }
  const auto Version = Order.value("version", uint64_t{0});
  readHeldPut(Host);
  std::set<uint64_t> GivenUp;
  for (uint64_t n = 0; n < ModelLayers; ++n)
    if (n < Order.value("from", uint64_t{0}) ||
        n >= Order.value("target", ModelLayers))
      GivenUp.insert(n);
  const bool Same = Version == Host.Options.value("version", uint64_t{0});
  if (Same && GivenUp == Host.GivenUp) {
    Answer.status = 200;
    return;
  }
  if (loadLayers(Host, Version, Same, GivenUp))
    Host.Loads.push_back(
        {{"version", Version}, {"whole", isOfVersion(Host, Version)}});
  Host.Options["version"] = Version;
  Host.Options["loaded_chunks"] = Json::array();
  for (const auto &[n, Bytes] : Host.Staged)
    Host.Options["loaded_chunks"].push_back(sha256(Bytes).Value);
  ++Host.Orders;
  Host.BusyUntil = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(Host.Options.value("load_ms", 0));
  Answer.status = 202;
}

/** Folder in which staged chunks outlive the process; empty: they do not. */
std::filesystem::path stageFolder(const Worker &Host) {
  return Host.Options.value("stage_folder", "");
}

/** Keeps a staged chunk for the next run of the worker. */
void saveStaged(const Worker &Host, uint64_t Number, const std::string &Bytes) {
  if (stageFolder(Host).empty())
    return;
  std::filesystem::create_directories(stageFolder(Host));
  std::ofstream(stageFolder(Host) / std::to_string(Number),
                std::ios::binary | std::ios::trunc)
      << Bytes;
}

/** Reads what the former run of the worker had staged. */
void readStaged(Worker &Host) {
  std::error_code ec; // There is no folder before the first chunk.
  for (const auto &File :
       std::filesystem::directory_iterator(stageFolder(Host), ec)) {
    std::ifstream From(File.path(), std::ios::binary);
    Host.Staged[std::stoull(File.path().filename().string())] =
        std::string(std::istreambuf_iterator<char>(From), {});
  }
}

void rotAfterRead(Worker &Host, uint64_t Number) {
  const uint64_t Next = Host.Options.value("version", uint64_t{0}) + 1;
  if (Number != 0 || !Host.Options.value("rot_after_read", false) ||
      stagedVersion(Host) != Next)
    return;
  Host.Options["rot_after_read"] = false;
  Host.Staged[Number] = "spoilt";
}

void addStage(httplib::Server &Server, Worker &Host) {
  Server.Put("/stage-put/[^/]+", [&](const auto &Asked, auto &) {
    const auto Number =
        std::strtoull(Asked.get_param_value("number").c_str(), nullptr, 10);
    std::unique_lock Lock(Host.Guard);
    if (!holdPut(Host, Number, Asked.body)) {
      Host.Staged[Number] = Asked.body;
      saveStaged(Host, Number, Asked.body);
      return;
    }
    Lock.unlock();
    waitWhileHeld(Host);
  });
  Server.Get("/stage-get/[^/]+", [&](const auto &Asked, auto &Answer) {
    std::unique_lock Lock(Host.Guard);
    const auto Number =
        std::strtoull(Asked.get_param_value("number").c_str(), nullptr, 10);
    const auto it = Host.Staged.find(Number);
    if (it == Host.Staged.end()) {
      Answer.status = 404;
      return;
    }
    Answer.set_content(it->second, "application/octet-stream");
    rotAfterRead(Host, Number);
    const std::chrono::milliseconds Time(
        takeOne(Host, "slow_reads") ? Host.Options.value("read_ms", 0) : 0);
    Lock.unlock();
    std::this_thread::sleep_for(Time);
  });
}

} // namespace

std::string chunkOfWeights(uint64_t Version, uint64_t Number, size_t Size) {
  const auto Same = SameChunks.find(std::to_string(Version));
  if (Same != SameChunks.end() && Number < Same->size()) {
    const Json &As = (*Same)[Number];
    Version = As[0].get<uint64_t>();
    Number = As[1].get<uint64_t>();
  }
  const std::string Word =
      "v" + std::to_string(Version) + "n" + std::to_string(Number) + " ";
  std::string Bytes;
  while (Bytes.size() < Size)
    Bytes += Word;
  Bytes.resize(Size);
  return Bytes;
}

void setSameChunks(const Json &Versions) { SameChunks = Versions; }

int runStoreWorker(int Port, const Json &Options) {
  setSameChunks(Options.value("same_chunks", Json::object()));
  Worker Host;
  Host.Options = Options;
  Host.Born = millisOfDay();
  readStaged(Host);
  httplib::Server Server;
  prepare(Server);
  Server.Get("/report", [&](const auto &, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    setLeavingHeader(Host, Answer);
    reply(Answer, reportOf(Host));
  });
  addStage(Server, Host);
  Server.Post("/order", [&](const auto &Asked, auto &Answer) {
    order(Host, Asked, Answer);
  });
  Server.Post("/control", [&](const auto &Asked, auto &) {
    const std::lock_guard Lock(Host.Guard);
    Host.Options.update(Json::parse(Asked.body, nullptr, false));
    if (Host.Options.value("spoil", -1) >= 0)
      Host.Staged[Host.Options["spoil"].template get<uint64_t>()] = "spoilt";
    Host.Options["spoil"] = -1;
    if (Host.Options.value("lose_staged", false))
      Host.Staged.clear();
    Host.Options["lose_staged"] = false;
    if (Host.Options.value("halfway", false)) {
      Host.GivenUp = {0};
      Host.Torn = {1};
    }
    Host.Options["halfway"] = false;
    if (Host.Options.value("restart", false))
      restart(Host);
  });
  Server.Get("/control", [&](const auto &Asked, auto &Answer) {
    const std::lock_guard Lock(Host.Guard);
    const auto Since = [&](const char *Parameter, const Json &All) {
      const size_t From =
          std::strtoull(Asked.get_param_value(Parameter).c_str(), nullptr, 10);
      const auto First =
          static_cast<std::ptrdiff_t>(std::min(From, All.size()));
      return Json(std::vector<Json>(All.begin() + First, All.end()));
    };
    if (Asked.has_param("crashed")) {
      reply(Answer, {{"crashed", Host.Options.value("crashed", false)}});
      return;
    }
    if (Asked.has_param("arrivals_from")) {
      reply(Answer, {{"arrivals", Since("arrivals_from", Host.Arrivals)}});
      return;
    }
    reply(Answer,
          {{"runs", Since("from", Host.Runs)},
           {"orders", Host.Orders},
           {"orders_waiting", Host.OrdersWaiting},
           {"crashed", Host.Options.value("crashed", false)},
           {"puts_held", Host.HeldPut.size()},
           {"loads", Host.Loads},
           {"busy", isBusy(Host)},
           {"rot_after_read", Host.Options.value("rot_after_read", false)},
           {"staged_of", stagedVersion(Host)},
           {"staged", Host.Staged.size()},
           {"version", Host.Options.value("version", 0)},
           {"loaded_chunks",
            Host.Options.value("loaded_chunks", Json::array())}});
  });
  const auto Run = [&](const auto &Asked, auto &Answer) {
    run(Host, Asked, Answer);
  };
  Server.Get("/.*", Run);
  Server.Post("/.*", Run);
  return serve(Server, Port, Options.value("ip", "127.0.0.1"));
}

int runStoreOrigin(int Port, const Json &Options) {
  setSameChunks(Options.value("same_chunks", Json::object()));
  const bool Upper = Options.value("upper_digests", false);
  const uint64_t Chunks = Options.value("chunks", 6);
  const size_t Size = Options.value("chunk_bytes", 20000);
  std::atomic<uint64_t> Pieces{0};
  std::atomic<uint64_t> Spoilt{0};
  std::atomic<int64_t> Spoils{-1};
  std::atomic<int> Status{0};
  httplib::Server Server;
  prepare(Server);
  // /control takes "status": every call but this one answers that instead, and
  // "spoils": the chunk with that number is sent with other bytes, -2: all are.
  Server.Post("/control", [&](const auto &Asked, auto &) {
    const Json Change = Json::parse(Asked.body, nullptr, false);
    Status = Change.value("status", 0);
    Spoils = Change.value("spoils", int64_t{-1});
  });
  Server.set_pre_routing_handler([&](const auto &Asked, auto &Answer) {
    if (Status == 0 || Asked.path == "/control")
      return httplib::Server::HandlerResponse::Unhandled;
    Answer.status = Status;
    return httplib::Server::HandlerResponse::Handled;
  });
  const auto VersionOf = [](const httplib::Request &Asked) {
    return std::strtoull(Asked.get_param_value("version").c_str(), nullptr, 10);
  };
  Server.Get("/manifest/([^/]+)", [&](const auto &Asked, auto &Answer) {
    Json List = {{"model", std::string(Asked.matches[1])},
                 {"version", VersionOf(Asked)},
                 {"chunk_bytes", Size},
                 {"digests", Json::array()}};
    for (uint64_t n = 0; n < Chunks; ++n) {
      std::string Text =
          sha256(chunkOfWeights(VersionOf(Asked), n, Size)).Value;
      if (Upper)
        std::ranges::transform(Text, Text.begin(), [](unsigned char One) {
          return static_cast<char>(std::toupper(One));
        });
      List["digests"].push_back(Text);
    }
    reply(Answer, List);
  });
  Server.Get("/piece/[^/]+", [&](const auto &Asked, auto &Answer) {
    ++Pieces;
    const uint64_t n =
        std::strtoull(Asked.get_param_value("number").c_str(), nullptr, 10);
    const bool Spoil = Spoils == -2 || Spoils == static_cast<int64_t>(n);
    Spoilt += Spoil ? 1 : 0;
    Answer.set_content(Spoil ? std::string(Size, '?')
                             : chunkOfWeights(VersionOf(Asked), n, Size),
                       "application/octet-stream");
  });
  Server.Get("/control", [&](const auto &, auto &Answer) {
    reply(Answer, {{"pieces", Pieces.load()}, {"spoilt", Spoilt.load()}});
  });
  return serve(Server, Port);
}

} // namespace jacinthpond::standin
