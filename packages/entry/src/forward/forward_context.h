/** @file forward_context.h State shared by all requests on routes. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARD_CONTEXT_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARD_CONTEXT_H

#include "admission/quarantine_func.h"
#include "base/memory_budget.h"
#include "clock/runtime_clock.h"
#include "forward/back_end_connections.h"
#include "forward/caller_connections.h"
#include "forward/caller_session.h"
#include "forward/forward_counters.h"
#include "forwarding/caller_age_type.h"
#include "forwarding/crash_watch_func.h"
#include "forwarding/fleet_snapshot_type.h"
#include "forwarding/rate_share_func.h"
#include "forwarding/repeat_budget_func.h"
#include "forwarding/route_match_func.h"
#include "forwarding/server_pool_func.h"
#include "metrics/traffic_metrics.h"
#include "wire_port.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jacinthpond {

/** A request that waits for an agent to grant a slot. */
class SlotWaiter {
public:
  virtual ~SlotWaiter() = default;
  /**
   * Handles the agent's answer.
   * @param Answer The answer.
   */
  virtual void handleSlotAnswer(const SlotAnswer &Answer) = 0;
  /** Ends the request if it has become known as a cause of crashes. */
  virtual void handleQuarantineChange() = 0;
};

/** A request that waits until this entry may forward requests. */
class ReadinessWaiter {
public:
  virtual ~ReadinessWaiter() = default;
  /** Handles the event that the entry is ready. */
  virtual void handleEntryReady() = 0;
};

/** State of the traffic thread. While that runs, other threads may only use the
 * atomic members and the counters. */
struct ForwardContext {
  boost::asio::io_context Io{1};     ///< Event loop of the traffic thread.
  RuntimeClock Clock;                ///< Current time.
  const WirePort &Wire;              ///< Headers of callers and back ends.
  CallerConnections Callers;         ///< Connections of callers.
  BackEndConnectionPool Connections; ///< Idle connections to back ends.
  ServerPool Pool;                   ///< Known back ends.
  RepeatBudget Repeats;              ///< Budget for retries.
  MemoryBudget AnswerMemory;         ///< For answers that are not sent yet.
  InitialDeadlines CallerDeadlines;  ///< Usual initial deadlines.
  DocumentPtr Doc;                   ///< Document in force.
  TimePoint DocSince;                ///< When Doc came into force here.
  RouteIndex Index;                  ///< Look-up tables of Doc.
  FleetSnapshot Fleet;              ///< Entries, and whether this one is ready.
  std::atomic<bool> Leaving{false}; ///< The process is shutting down.
  std::atomic<bool> RefusingNew{false};  ///< New requests are refused.
  std::atomic<uint32_t> OpenRequests{0}; ///< Requests without a final response.
  ForwardCounters Counters;              ///< Counters of events.
  std::function<void(LinkId, const Message &)>
      SendToAgent; ///< Callable from any thread.
  std::function<void(const Message &)>
      SendToEntries; ///< To all others; callable from any thread.
  std::function<void(const SuspectNotice &)>
      ReportSuspect;   ///< To all peers; callable from any thread.
  Quarantine Suspects; ///< Requests that may have crashed back ends.
  CrashWatch Crashes;  ///< Back ends that may have crashed.
  std::map<Digest, TimePoint> Trials; ///< Last trial here of each suspect.
  std::map<std::string, std::vector<std::function<void(AddressCheck)>>>
      RunChecks;               ///< Waiting for a check, by name of the run.
  std::string SlotIdPrefix;    ///< Makes slot ids globally unique.
  uint64_t NextSlotNumber = 1; ///< Suffix of the next slot id.
  std::map<AttemptId, std::weak_ptr<SlotWaiter>> SlotWaiters; ///< By slot id.
  std::vector<std::weak_ptr<ReadinessWaiter>>
      ReadinessWaiters;    ///< Arrived too early.
  TrafficMetrics &Timings; ///< Latency histograms.

  /**
   * Creates the state without a document.
   * @param Protocol Headers of callers and back ends; must outlive this.
   * @param Metrics Latency histograms; must outlive this.
   */
  ForwardContext(const WirePort &Protocol, TrafficMetrics &Metrics)
      : Wire(Protocol), Timings(Metrics) {}
};

} // namespace jacinthpond

#endif
