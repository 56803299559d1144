/** @file stand_in.h Stand-ins of clients, workers and the platform's store, and
 * the start of the project's own entries, for the cases of the review.
 *
 * The stand-ins do what the users' pages describe, and nothing else.
 */

#ifndef JACINTHPOND_REVIEW_COMMON_STAND_IN_H
#define JACINTHPOND_REVIEW_COMMON_STAND_IN_H

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Millis = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Exit codes of a case. */
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/** Writes what was sent, answered and run to a file, with times. */
class Record {
public:
  /**
   * Opens the file.
   * @param Path The file; its former content is lost.
   */
  explicit Record(const std::string &Path);

  /**
   * Writes one line; thread-safe.
   * @param Text The line.
   */
  void line(const std::string &Text);

private:
  std::mutex Guard;
  std::ofstream File;
  Clock::time_point Start = Clock::now();
};

/** One HTTP/1.1 message as it was received. */
struct HttpMessage {
  std::string StartLine;                          ///< Without its line end.
  std::multimap<std::string, std::string> Fields; ///< By lower-case name.
  std::string Body;                               ///< Without chunk framing.
  bool Whole = false;                             ///< It arrived completely.

  /**
   * Gives a header.
   * @param Name Its name in lower case.
   * @return Its value; empty when it is missing.
   */
  std::string field(const std::string &Name) const;

  /**
   * Gives the status of an answer.
   * @return The three digits as they were received; empty when there are none.
   */
  std::string status() const;

  /**
   * Gives the target of a request.
   * @return Path and query.
   */
  std::string target() const;
};

/** A loopback listener with a thread for each connection. */
class Server {
public:
  /** Writes the answer to a request; false closes the connection. */
  using Handler = std::function<bool(const HttpMessage &, int Socket)>;

  /**
   * Listens on a free port of 127.0.0.1.
   * @param OnRequest Gets each complete request.
   */
  explicit Server(Handler OnRequest);
  ~Server();
  Server(const Server &) = delete;
  Server &operator=(const Server &) = delete;

  /**
   * Gives the address.
   * @return "IP:port".
   */
  std::string address() const;

  /** Closes the listener and all connections. */
  void stop();

private:
  void accept();
  void serve(int Socket);

  Handler OnRequest;
  int Listener = -1;
  int Port = 0;
  std::atomic<bool> Stopped{false};
  std::mutex Guard;   ///< Protects Open and Workers.
  std::set<int> Open; ///< Sockets of connections.
  std::vector<std::thread> Workers;
  std::thread Acceptor;
};

/** The platform's store, read side for the system, write side for the case. */
class Store {
public:
  Store();

  /**
   * Gives the address.
   * @return "IP:port".
   */
  std::string address() const { return Listener->address(); }

  /**
   * Writes an item. The return is the acknowledgement.
   * @param Key Its key.
   * @param Value Its bytes.
   */
  void put(const std::string &Key, const std::string &Value);

  /**
   * Removes an item.
   * @param Key Its key.
   */
  void remove(const std::string &Key);

private:
  bool handle(const HttpMessage &Asked, int Socket);
  Json range(const HttpMessage &Asked);
  Json watch(const HttpMessage &Asked);

  std::mutex Guard;
  std::condition_variable Changed;
  std::map<std::string, Json> Items;
  std::vector<Json> History; ///< Events in order of their revisions.
  uint64_t Revision = 1;
  std::unique_ptr<Server> Listener;
};

/** One run that a worker began. */
struct Run {
  std::string Worker; ///< Id of the worker.
  std::string Id;     ///< Attempt id of the request.
  std::string Tenant; ///< Tenant that the system set.
};

/** A plain worker. It answers 200 with a signature unless told otherwise. */
class Worker {
public:
  /** Writes the answer of a run to the socket; false closes the connection. */
  using Answer = std::function<bool(const HttpMessage &, int Socket)>;

  /**
   * Starts the worker.
   * @param WorkerId Its id in the store.
   * @param Notes Gets a line for each run.
   * @param OnRun Answers requests; empty: with 200.
   */
  Worker(std::string WorkerId, Record &Notes, Answer OnRun = {});

  /**
   * Gives its entry in the store.
   * @param Service Name of its service.
   * @param Zone Its zone.
   * @param State "ready" or "draining".
   * @return The value.
   */
  std::string entry(const std::string &Service, const std::string &Zone,
                    const std::string &State = "ready") const;

  /**
   * Gives its runs so far.
   * @return The runs, oldest first.
   */
  std::vector<Run> runs();

  /** Ends it: listener and connections are closed. */
  void stop() { Listener->stop(); }

  const std::string Id; ///< Its id in the store.

private:
  bool handle(const HttpMessage &Asked, int Socket);

  Record &Notes;
  Answer OnRun;
  int64_t Born = 0;
  std::mutex Guard;
  std::vector<Run> Runs;
  std::unique_ptr<Server> Listener;
};

/** What a client sends. */
struct Ask {
  std::string Method = "GET";
  std::string Path = "/check/1";
  std::string Key = "key-1";
  std::string Body = {};
  int DeadlineMillis = 1500;
  int ReadBufferBytes = 0; ///< Receive buffer of the socket; 0: default.
  int BytesPerSecond = 0;  ///< Rate at which the client reads; 0: at once.
};

/**
 * Sends one request on a new connection and reads the answer. Each one has an
 * attempt id of its own.
 * @param At Address of an entry.
 * @param What The request.
 * @param Id Set to the attempt id.
 * @return The answer; its StartLine is empty when none came.
 */
HttpMessage ask(const std::string &At, const Ask &What, std::string &Id);

/**
 * Writes all bytes to a socket.
 * @param Socket The socket.
 * @param Bytes The bytes.
 * @return Whether all were taken.
 */
bool sendAll(int Socket, const std::string &Bytes);

/**
 * Gives an answer of a worker that ran a request.
 * @param Asked The request.
 * @param Status Status code and reason, such as "200 OK".
 * @param Body The body.
 * @return The bytes, with attempt id and signature.
 */
std::string signedAnswer(const HttpMessage &Asked, const std::string &Status,
                         const std::string &Body);

/** The entries of a small deployment, started with the deploy file's command.
 */
class Fleet {
public:
  /**
   * Prepares the settings; start() starts an entry.
   * @param Root Folder of the repository.
   * @param StoreAddress Address of the store.
   * @param Count Number of entries, one in each zone by turns.
   */
  Fleet(std::string Root, const std::string &StoreAddress, size_t Count);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /**
   * Starts an entry.
   * @param n Its number.
   * @return Whether a process was started.
   */
  bool start(size_t n);

  /**
   * Sends a signal to an entry, and waits for its end if it ends it.
   * @param n Its number.
   * @param Signal The signal.
   */
  void signal(size_t n, int Signal);

  /**
   * Waits until all entries answer GET /ready with 200.
   * @param Limit Longest wait.
   * @return Whether they did.
   */
  bool waitReady(Millis Limit) const;

  /**
   * Asks an entry whether it is ready.
   * @param n Its number.
   * @return Status of GET /ready; empty: no answer.
   */
  std::string readiness(size_t n) const;

  /**
   * Gives the address for clients.
   * @param n Number of the entry.
   * @return "IP:port".
   */
  const std::string &front(size_t n) const { return Entries[n].Front; }

  /**
   * Waits for the end of an entry.
   * @param n Its number.
   * @param Limit Longest wait.
   * @return Whether it has ended.
   */
  bool waitEnd(size_t n, Millis Limit);

  /**
   * Gives the lines of an entry's log with a text in them.
   * @param n Its number.
   * @param Text The text.
   * @return The lines.
   */
  std::vector<std::string> logLines(size_t n, const std::string &Text) const;

  size_t count() const { return Entries.size(); }

private:
  /** One entry process. */
  struct Entry {
    int Pid = 0;
    std::string Front;
    std::string Ready;
    std::string Settings; ///< Path of its settings file.
    std::string Log;      ///< Path of its log.
  };

  std::string Root;
  std::string Folder; ///< Temporary folder with settings and logs.
  std::vector<Entry> Entries;
};

/**
 * Says whether the disruption of the case is to be made.
 * @return False with TROUBLE=0 in the environment.
 */
bool isTroubleWanted();

/**
 * Gives a route of the configuration.
 * @param Name Its name; its prefix is "/NAME/".
 * @param Kind Kind of the route.
 * @param Service Its service.
 * @param TimeoutMillis Its timeout.
 * @return The route.
 */
Json route(const std::string &Name, const std::string &Kind,
           const std::string &Service, int TimeoutMillis = 1500);

/**
 * Gives a configuration.
 * @param Version Its version.
 * @param Routes The routes.
 * @param Services Names of the plain services.
 * @param Tenants Keys of each tenant.
 * @return The value of op/config.
 */
std::string
config(int Version, const Json &Routes,
       const std::vector<std::string> &Services,
       const std::map<std::string, std::vector<std::string>> &Tenants);

} // namespace review

#endif
