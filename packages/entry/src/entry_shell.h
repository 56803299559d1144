/** @file entry_shell.h Threads and links of an entry process. */

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

/**
 * Runs an entry: owns its state and the control thread that changes it, and
 * carries out the effects that the decision functions of the core return.
 */
class EntryShell {
public:
  /**
   * Sets up; no thread runs yet.
   * @param Config Settings of the process.
   * @param Service The configuration service; must outlive the shell.
   * @param Hosts The platform's list of hosts, or null; must outlive the shell.
   * @param Routes Forwarder of requests on routes, or null; must outlive the
   *               shell.
   */
  EntryShell(const Settings &Config, ConfigPort &Service, HostsPort *Hosts,
             Forwarder *Routes);
  /** Stops and joins all threads. */
  ~EntryShell();
  EntryShell(const EntryShell &) = delete;
  EntryShell &operator=(const EntryShell &) = delete;

  /**
   * Listens for peers and starts the threads.
   * @return The peer address in use; empty when it could not be bound.
   */
  std::string start();

  /**
   * Hands a caller's request to the control thread.
   * @param Request The request; its call id is set.
   * @return The channel that receives the events of the answer.
   */
  std::shared_ptr<CallChannel> submitCall(CallRequest &Request);

  /**
   * Closes the channel of a call; cancels the call if it is unfinished.
   * @param Id The call.
   * @param Finished False when the caller left before its final answer.
   */
  void finishCall(CallId Id, bool Finished);

  /**
   * Runs a function on the control thread with read access to the state, and
   * waits until it has returned.
   * @param Inspector Receives the state and the current time.
   */
  void
  inspect(const std::function<void(const EntryState &, TimePoint)> &Inspector);

  /**
   * Returns the document in force without waiting for the control thread.
   * @return The document; null while there is none.
   */
  DocumentPtr document();

  /**
   * Returns the clock of the process.
   * @return The clock.
   */
  const ClockPort &clock() const { return Clock; }

  /**
   * Returns the latency histograms of calls.
   * @return The histograms.
   */
  TrafficMetrics &timings() { return Timings; }

  /**
   * Returns the forwarder of requests on routes.
   * @return The forwarder; null where no routes are served.
   */
  const Forwarder *routes() const { return Routes; }

  /**
   * Shuts down gracefully: refuses new requests and waits for open ones.
   * @return False when requests were still open at the time limit.
   */
  bool drain();

  /**
   * Says whether a graceful shutdown has begun; may be called from any thread.
   * @return True once drain() has begun.
   */
  bool isLeaving() const { return Leaving; }

private:
  /**
   * Waits until no request is open, but at least until NotBefore and at most
   * until Limit.
   * @return True when no request is open.
   */
  bool waitForOpenRequests(TimePoint NotBefore, TimePoint Limit);
  /** Carries out effects: links, messages, events for callers, log lines. */
  void performEffects(Effects Wanted);
  /** Reads the configuration service until the threads stop. */
  void runConfigReader();
  /** Reads the platform's list of hosts until the threads stop. */
  void runHostsReader();
  /**
   * Asks the control thread when and how to read the configuration service.
   * @param Salt Varies the jitter.
   * @return The plan; nothing when the threads stop.
   */
  std::optional<ReadPlan> planNextRead(uint64_t Salt);
  /** Waits for Time. @return False when the threads stop before that. */
  bool waitUnlessStopped(Millis Time);
  /** Runs Work on the control thread and carries out the effects it adds. */
  void post(std::function<void(TimePoint, Effects &)> Work);
  /** Copies the document in force for other threads and for the forwarder. */
  void updateSharedDocument();
  /**
   * Passes new reports of agents and a changed fleet to the forwarder. Called
   * once per tick, not per report, since each call wakes the traffic thread.
   */
  void updateForwarder(TimePoint Now);
  /** Counts calls and requests on routes without a final answer. */
  size_t countOpenRequests();

  RuntimeClock Clock;
  ControlLoop Loop;
  EntryState State; ///< Used by the control thread only.
  ConfigPort &Service;
  HostsPort *Hosts;
  Forwarder *Routes;                   ///< Null where no routes are served.
  FleetSnapshot LastFleet;             ///< Last snapshot passed to Routes.
  PassedAgentReports LastAgentReports; ///< Last reports passed to Routes.
  CallTable Callers;                   ///< Channels of open calls.
  TrafficMetrics Timings;
  std::mutex SharedDocumentGuard;   ///< Guards SharedDocument.
  DocumentPtr SharedDocument;       ///< Document in force, for other threads.
  std::atomic<bool> Leaving{false}; ///< drain() has begun.
  std::atomic<bool> StopThreads{false};  ///< All threads are to end.
  std::mutex StopGuard;                  ///< Held to set StopThreads.
  std::condition_variable StopRequested; ///< StopThreads was set.
  PeerLinks Links;
  std::thread Control;      ///< Runs Loop.
  std::thread ConfigReader; ///< Runs runConfigReader().
  std::thread HostsReader;  ///< Runs runHostsReader().
};

} // namespace jacinthpond

#endif
