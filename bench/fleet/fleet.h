/** @file fleet.h A small fleet of real processes with its stand-ins. */

#ifndef JACINTHPOND_BENCH_FLEET_FLEET_H
#define JACINTHPOND_BENCH_FLEET_FLEET_H

#include "fleet/process_runner.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond::fleet {

/** Token of the operators' team in the first document. */
constexpr const char *OperatorToken = "operators-token";
/** Token of a team that sees class "bookings" and tenant "huts" only. */
constexpr const char *HutsToken = "huts-token";

/** What to start. */
struct FleetPlan {
  size_t Entries = 3;        ///< Entry hosts, spread over the domains.
  size_t ModelWorkers = 6;   ///< Engines with agents, spread likewise.
  size_t ServiceWorkers = 3; ///< Plain services with agents.
  std::vector<std::string> Domains = {"drakensberg", "cederberg", "hogsback"};
  size_t Chunks = 8;                    ///< Chunks of a model version.
  size_t ChunkBytes = 16384;            ///< Size of each.
  Json EngineOptions = Json::object();  ///< For every engine.
  Json ServiceOptions = Json::object(); ///< For every plain service.
  Json OriginOptions = Json::object();  ///< For the origin.
  Json EntrySettings = Json::object();  ///< Added to every entry's settings.
  Json AgentSettings = Json::object();  ///< Added to every agent's settings.
  size_t Platforms = 1;       ///< Entry n reads from platform n % Platforms.
  bool SharedService = false; ///< One plain service stands behind all agents.
  bool SharedEngines = false; ///< One process plays all engines.
  bool ProxyAgents = false;   ///< Entries reach agents through a proxy each.
};

/** An answer to a caller. */
struct Answer {
  int Status = 0;         ///< HTTP status; 0: no answer.
  bool Sent = true;       ///< False: no connection came about.
  std::string Body;       ///< Content.
  std::string Token = {}; ///< Fresh home token, when one came.

  /**
   * Reads the content.
   * @return JSON; an empty object where it is none.
   */
  Json json() const;
};

/** A request of a caller. */
struct Ask {
  std::string Class = "reports";                       ///< Class of work.
  std::string Workspace = "huts";                      ///< Whose.
  Json Body = {{"prompt", "snow"}, {"max_tokens", 4}}; ///< What.
  std::string Key;                                     ///< Idempotency key.
  bool Tokenless = false; ///< Send the key without its home token.
  int DeadlineMillis = 0; ///< 0: the class's.
  bool Stream = false;    ///< As server-sent events.
};

/**
 * Sends a request to an address; a key goes with its home token, which is asked
 * for before the first try. Callers' threads use this one while the main
 * thread restarts processes, which keep their addresses.
 * @param At "IP:port" of an entry.
 * @param What The request.
 * @return Its answer.
 */
Answer askAt(const std::string &At, const Ask &What);

/** Running processes; all end with this object. */
class Fleet {
public:
  /**
   * Starts everything and publishes the first document.
   * @param Wanted What to start.
   */
  explicit Fleet(FleetPlan Wanted);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /**
   * Waits until every worker would admit a request on the published weights.
   * @param Limit Longest wait.
   * @return Whether that came true.
   */
  bool waitServing(std::chrono::milliseconds Limit);

  /**
   * Asks an entry how it is.
   * @param Entry Number of the entry.
   * @return Its health JSON; empty when it does not answer.
   */
  Json health(size_t Entry) const;

  /**
   * Reads a counter of all entries from their metrics pages.
   * @param Counter Its name.
   * @return The sum.
   */
  double entryCounter(const std::string &Counter) const;

  /** Publishes Document under the next version. */
  void publish();

  /**
   * Puts chunks of a new version at the origin and into Document.
   * @param Version Name of the version; seeds its content.
   * @param Count Number of chunks; 0: as planned.
   * @return Digest of the set.
   */
  std::string newModel(const std::string &Version, size_t Count = 0);

  /**
   * Sends a request.
   * @param Entry Number of the entry.
   * @param What The request.
   * @return Its answer.
   */
  Answer ask(size_t Entry, const Ask &What) const;

  /**
   * Gives a stand-in's control state.
   * @param Name "platform", "platform-1", "origin", "engine-0", "service-0",
   * "proxy-m0".
   * @return Its JSON.
   */
  Json look(const std::string &Name) const;

  /**
   * Brings about a failure of a stand-in.
   * @param Name As for look().
   * @param Change JSON for its /control.
   */
  void control(const std::string &Name, const Json &Change) const;

  /**
   * Gives a process.
   * @param Name "entry-0", "agent-m0", "agent-s0", or a stand-in.
   * @return The process.
   */
  ChildProcess &process(const std::string &Name) { return *Processes.at(Name); }

  /**
   * Gives the id of a process.
   * @param Name Its name.
   * @return The id; 0 once it has ended.
   */
  int pidOf(const std::string &Name) const { return Processes.at(Name)->pid(); }

  /**
   * Runs the operators' command line to its end.
   * @param Arguments Its arguments.
   * @return How it ended.
   */
  static Finished runCommand(const std::vector<std::string> &Arguments);

  /**
   * Gives a file in the folder of this fleet.
   * @param Name Name of the file.
   * @param Content What to write into it.
   * @return Its path.
   */
  std::string writeFile(const std::string &Name,
                        const std::string &Content) const;

  /**
   * Gives what a process has logged.
   * @param Name The process.
   * @return Its standard error so far.
   */
  std::string logOf(const std::string &Name) const;

  /**
   * Starts an ended process again, on its old addresses; a stand-in has its
   * start options and has forgotten everything else.
   * @param Name Its name.
   */
  void restart(const std::string &Name);

  /**
   * Starts a second agent beside the back end of a worker, on other addresses,
   * and names it in Document; the first one is left as it is.
   * @param Worker Name of the worker, such as "m0".
   * @return Name of the new process.
   */
  std::string replaceAgent(const std::string &Worker);

  /**
   * Lets callers ask at the same time and waits for all answers.
   * @param Callers How many.
   * @param One Asks as the n-th caller.
   * @return Their answers, by number.
   */
  std::vector<Answer>
  askTogether(size_t Callers, const std::function<Answer(size_t)> &One) const;

  /**
   * Gives an address that a process told.
   * @param Name The process.
   * @param Which "at", "peers", "callers", "admin", "proxy".
   * @return "IP:port".
   */
  std::string address(const std::string &Name, const std::string &Which) const;

  /**
   * Gives the domain of the n-th host of a kind.
   * @param n Number of the host.
   * @return Its domain.
   */
  const std::string &domainOf(size_t n) const {
    return Plan.Domains[n % Plan.Domains.size()];
  }

  /**
   * Gives the engine of a worker its address.
   * @param n Number of the worker.
   * @return "IP:port".
   */
  std::string engineAddress(size_t n) const;

  Json Document = Json::object(); ///< What publish() publishes.
  const FleetPlan Plan;           ///< What was started.

private:
  void startStandIn(const std::string &Name, const std::string &Kind,
                    const Json &Options, const std::string &Port = "0");
  void startProgram(const std::string &Name, const std::string &Program,
                    Json Settings);
  void startWorker(const std::string &Name, const std::string &BackEnd,
                   size_t n, bool Model);
  void startEntry(size_t n);
  void startAgain(const std::string &Name);
  std::string platformOf(size_t n) const;

  std::string Folder; ///< Settings and logs; removed at the end.
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
  std::map<std::string, std::pair<std::string, Json>> Programs; ///< Restarts.
  std::map<std::string, std::pair<std::string, Json>> StandIns; ///< Restarts.
};

} // namespace jacinthpond::fleet

#endif
