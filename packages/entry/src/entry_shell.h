/** @file entry_shell.h The entry program: threads around its decisions. */

#ifndef JACINTHPOND_ENTRY_ENTRY_SHELL_H
#define JACINTHPOND_ENTRY_ENTRY_SHELL_H

#include "attempts/entry_func.h"
#include "call_channel.h"
#include "clock/runtime_clock.h"
#include "configuration/reader_rank_type.h"
#include "forward/forwarder.h"
#include "forwarding/fleet_snapshot_func.h"
#include "metrics/traffic_metrics.h"
#include "platform_port.h"
#include "threads/control_loop.h"
#include "websocket/peer_links.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace jacinthpond {

/** State, control thread and links of one entry host. */
class EntryShell {
public:
  /**
   * Sets up; nothing runs yet.
   * @param Config Settings of the process.
   * @param Service The configuration service; outlives the shell.
   * @param Hosts The list of hosts, or null; outlives the shell.
   * @param Routes Requests on routes, or null; outlives the shell.
   */
  EntryShell(const Settings &Config, ConfigPort &Service, HostsPort *Hosts,
             Forwarder *Routes);
  /** Ends all threads. */
  ~EntryShell();
  EntryShell(const EntryShell &) = delete;
  EntryShell &operator=(const EntryShell &) = delete;

  /**
   * Listens for peers and starts the threads.
   * @return The peer address in use; empty when it cannot be had.
   */
  std::string start();

  /**
   * Takes a caller's request.
   * @param Asked The request; its number is set.
   * @return Where the answer comes.
   */
  std::shared_ptr<CallChannel> call(CallRequest &Asked);

  /**
   * Forgets a caller.
   * @param Id Its number.
   * @param Finished False when the caller left before its final answer.
   */
  void done(CallId Id, bool Finished);

  /**
   * Reads the state on the control thread.
   * @param Look Gets the state and the time.
   */
  void inspect(const std::function<void(const EntryState &, TimePoint)> &Look);

  /**
   * Gives the document in force without waiting for the control thread.
   * @return The document; null while there is none.
   */
  DocumentPtr document();

  /**
   * Gives the clock of the process.
   * @return The clock.
   */
  const ClockPort &clock() const { return Clock; }

  /**
   * Gives the histograms of the traffic side.
   * @return The histograms.
   */
  TrafficMetrics &timings() { return Timings; }

  /**
   * Gives the traffic side of routes.
   * @return Null where no routes are served.
   */
  const Forwarder *routes() const { return Routes; }

  /**
   * Ends gracefully: refuses new requests, waits for those in progress.
   * @return False when the time limit cut off requests.
   */
  bool drain();

  /**
   * Says whether a graceful shutdown is under way; from any thread.
   * @return True once drain() has begun.
   */
  bool leaving() const { return Leaving; }

private:
  bool waitAnswered(TimePoint NotBefore, TimePoint Limit);
  void perform(Effects Todo);
  void readConfig();
  void readHosts();
  std::optional<ReadTurn> askForTurn(uint64_t Salt);
  bool waitUnlessEnding(Millis Time);
  void post(std::function<void(TimePoint, Effects &)> Work);
  void showDocument();
  void tellRoutes(TimePoint Now);
  size_t openRequests();

  RuntimeClock Clock;
  ControlLoop Loop;
  EntryState State; ///< Belongs to the control thread.
  ConfigPort &Service;
  HostsPort *Hosts;
  Forwarder *Routes;       ///< Null where no routes are served.
  FleetSnapshot ToldFleet; ///< Last told to Routes.
  ToldNews ToldAgents;     ///< Last told to Routes.
  CallTable Callers;
  TrafficMetrics Timings;
  std::mutex ShownGuard; ///< Guards Shown.
  DocumentPtr Shown;     ///< Document in force, for the traffic side.
  std::atomic<bool> Leaving{false};
  std::atomic<bool> Ending{false};
  std::mutex EndGuard;            ///< Guards a change of Ending.
  std::condition_variable EndNow; ///< Ending was set.
  PeerLinks Links;
  std::thread Control;
  std::thread Reader;
  std::thread HostsReader;
};

} // namespace jacinthpond

#endif
