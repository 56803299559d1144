/** @file route_fleet.h Processes on stand-ins of the users' platform. */

#ifndef JACINTHPOND_BENCH_FLEET_ROUTE_FLEET_H
#define JACINTHPOND_BENCH_FLEET_ROUTE_FLEET_H

#include "fleet/port_reservation.h"
#include "fleet/process_runner.h"

#include <httplib.h>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

/** What to start. */
struct RoutePlan {
  size_t Entries = 2;             ///< Entries, in two domains by turns.
  size_t ModelWorkers = 2;        ///< Workers with agents, likewise.
  size_t PlainServers = 2;        ///< Plain back ends, likewise.
  size_t Chunks = 6;              ///< Chunks of a version of the model.
  size_t ChunkBytes = 20000;      ///< Size of each.
  int WeightsChangeMillis = 8000; ///< Time for a change of weights.
  int AgentWeightsMillis = 0;     ///< The same for agents; 0: as for entries.
  bool Proxies = false; ///< Links to stores, agents and servers have proxies.
  Json WorkerOptions = Json::object(); ///< For every worker and plain server.
  Json OriginOptions = Json::object(); ///< For the origin, beside its chunks.
  Json SameChunks = Json::object();    ///< "same_chunks" of origin and workers.
  Json EntrySettings = Json::object(); ///< Added to every entry's settings.
  Json AgentSettings = Json::object(); ///< Added to every agent's settings.
  Json Limits = Json::object(); ///< Replaces limits of the configuration.
};

/**
 * Gives the names of the back ends.
 * @param Plan What is started.
 * @return "model-N" of each model worker, then "plain-N" of each plain one.
 */
std::vector<std::string> serverNames(const RoutePlan &Plan);

/** One request of a caller on a route. */
struct RouteAsk {
  std::string Method = "GET";   ///< HTTP method.
  std::string Path = "/read/1"; ///< Path.
  std::string Body = {};        ///< Content.
  std::string Key = "key-1";    ///< API key.
  int DeadlineMillis = 4000;    ///< Time that the caller waits.
  std::map<std::string, std::string> Headers = {}; ///< Further ones.
};

/**
 * Gives the request for a stream that most tests send.
 * @return A POST to /write/report.
 */
RouteAsk writeAsk();

/**
 * Entries and agents with a store, an origin, model workers and plain back ends
 * of the users' platform. Paths: /write/ (stream, resumable), /book/ (at most
 * once), /read/ (idempotent).
 */
class RouteFleet {
public:
  /**
   * Starts everything.
   * @param Wanted What to start.
   */
  explicit RouteFleet(RoutePlan Wanted);
  ~RouteFleet();
  RouteFleet(const RouteFleet &) = delete;
  RouteFleet &operator=(const RouteFleet &) = delete;

  /**
   * Waits until every entry is ready and sees all workers loaded.
   * @param Limit Longest wait.
   * @return Whether that came true.
   */
  bool waitServing(std::chrono::milliseconds Limit);

  /**
   * Sends a request.
   * @param Entry Number of the entry.
   * @param What The request.
   * @return The answer; its status is -1 where none came.
   */
  httplib::Response ask(size_t Entry, const RouteAsk &What) const;

  /** Publishes Config in the store. */
  void publish();

  /** Writes to the store. @param Changes As its /control takes them. */
  void store(const Json &Changes) { control("store", Changes); }

  /**
   * Changes a stand-in.
   * @param Name "store", "origin", "model-N", "plain-N", or where there are
   * proxies "link-model-N", "link-plain-N", "link-agent-N", "link-store-N".
   * @param Changes As its /control takes them.
   */
  void control(const std::string &Name, const Json &Changes) const;

  /**
   * Looks at a stand-in.
   * @param Name Its name.
   * @return What its /control tells.
   */
  Json look(const std::string &Name) const { return lookAt(Name, "/control"); }

  /**
   * Gives runs that a worker noted.
   * @param Name "model-N" or "plain-N".
   * @param From Number of the first one wanted.
   * @return The runs; null when it did not answer.
   */
  Json runsFrom(const std::string &Name, size_t From) const {
    return lookAt(Name, "/control?from=" + std::to_string(From))["runs"];
  }

  /**
   * Gives the requests that arrived at a worker, run or not.
   * @param Name "model-N" or "plain-N".
   * @param From Number of the first one wanted.
   * @return The requests; null when it did not answer.
   */
  Json arrivalsFrom(const std::string &Name, size_t From) const {
    return lookAt(Name,
                  "/control?arrivals_from=" + std::to_string(From))["arrivals"];
  }

  /**
   * Says whether a worker has begun to crash; see its "crash_link".
   * @param Name "model-N" or "plain-N".
   * @return True from then until it is started anew.
   */
  bool hasCrashed(const std::string &Name) const {
    return lookAt(Name, "/control?crashed=1").value("crashed", false);
  }

  /**
   * Gives where a stand-in is controlled.
   * @param Name Its name.
   * @return "IP:port".
   */
  const std::string &controlAddress(const std::string &Name) const {
    return At.at(Name);
  }

  /** Enters a server in the store. @param Name "model-N" or "plain-N". */
  void registerServer(const std::string &Name);

  /**
   * Enters a server under an id.
   * @param Name "model-N" or "plain-N".
   * @param Id Its id; a server that was started anew has another one.
   * @param State "ready" or "draining".
   * @param Born When it started, in Unix milliseconds; 0: the entry lacks it.
   */
  void enterServer(const std::string &Name, const std::string &Id,
                   const std::string &State, int64_t Born = 0);

  /** Starts a process that has ended again, as it was. @param Name Its name. */
  void restart(const std::string &Name);

  /**
   * Starts a worker that has ended again, at its address, under another id.
   * @param Name "model-N" or "plain-N".
   * @param Id Its new id.
   */
  void restartServer(const std::string &Name, const std::string &Id);

  /** Keeps settings and logs beyond the end. @return Their folder. */
  const std::string &keepFolder() {
    Kept = true;
    return Folder;
  }

  /** Starts one more model worker with its agent. */
  void addWorker();

  /**
   * Gives a process to signal or kill.
   * @param Name Name of a stand-in, "entry-N" or "agent-N".
   * @return The process.
   */
  ChildProcess &process(const std::string &Name) { return *Processes.at(Name); }

  /**
   * Gives an address of an entry.
   * @param Entry Number of the entry.
   * @param Which "route", "ready", "directory" or "admin".
   * @return "IP:port".
   */
  std::string addressOf(size_t Entry, const std::string &Which) const;

  /**
   * Gives where an agent listens for other processes, without proxies.
   * @param n Number of the model worker.
   * @return "IP:port".
   */
  std::string agentAddress(size_t n) const;

  Json Config;       ///< The platform's configuration; see publish().
  size_t Models = 0; ///< Model workers started.

private:
  void startServer(const std::string &Name, Json Options, int Port = 0);
  bool seesAllWorkers(size_t Entry) const;
  void startEntry(size_t n);
  void startAgent(size_t n);
  void startProgram(const std::string &Name);
  std::string linkTo(const std::string &Name, const std::string &Target,
                     const std::string &Ip, int Port = 0);
  Json lookAt(const std::string &Name, const std::string &Path) const;

  RoutePlan Plan;
  bool Kept = false;
  std::string Folder;
  PortReservation AgentPort;
  std::list<PortReservation> Reserved; ///< Ports of the entries.
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
  std::map<std::string, std::string> At;     ///< Address of each stand-in.
  std::map<std::string, Json> ServerOptions; ///< Start values of each worker.
  std::map<std::string, std::string> ServerIds; ///< Id of each worker.
  std::map<std::string, Json> Registered;       ///< Entry of each server.
  std::map<std::string, std::string> EntryAt;   ///< "N/which": "IP:port".
};

} // namespace jacinthpond::fleet

#endif
