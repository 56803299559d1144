/** @file forward_context.h What all requests on routes share. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARD_CONTEXT_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARD_CONTEXT_H

#include "clock/runtime_clock.h"
#include "forward/back_end_call.h"
#include "forward/caller_session.h"
#include "forward/forward_counters.h"
#include "forwarding/caller_age_type.h"
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

/** A request that waits for an agent's answer. */
class PlaceWaiter {
public:
  virtual ~PlaceWaiter() = default;
  /**
   * The agent answered.
   * @param Answer What it said.
   */
  virtual void placeAnswered(const PlaceAnswer &Answer) = 0;
};

/** A request that waits until this entry may pass requests on. */
class ViewWaiter {
public:
  virtual ~ViewWaiter() = default;
  /** The entry is ready. */
  virtual void viewCame() = 0;
};

/** State of the traffic thread; nothing else touches it while it runs. */
struct ForwardContext {
  boost::asio::io_context Io{1};    ///< Runs on the traffic thread.
  RuntimeClock Clock;               ///< The runtime's clock.
  const WirePort &Wire;             ///< How callers and back ends speak.
  BackEndConnections Connections;   ///< Kept connections to back ends.
  ServerPool Pool;                  ///< Back ends.
  RepeatBudget Repeats;             ///< Requests sent once more.
  CallerHabits Callers;             ///< Deadlines that they begin with.
  DocumentPtr Doc;                  ///< Document in force.
  TimePoint DocSince;               ///< When it came into force here.
  RouteIndex Index;                 ///< Look-ups into it.
  FleetSnapshot Fleet;              ///< Entries, and whether this one is ready.
  std::atomic<bool> Leaving{false}; ///< The process is to end.
  std::atomic<bool> Refusing{false}; ///< No new request is taken any more.
  std::atomic<uint32_t> Open{0};     ///< Requests without a final answer.
  ForwardCounters Counters;          ///< What happened so far.
  std::function<void(LinkId, const Message &)>
      SendToAgent; ///< From any thread.
  std::function<void(const Message &)>
      SendToEntries;       ///< To all others, from any thread.
  std::string PlacePrefix; ///< Makes places unique for ever.
  uint64_t NextPlace = 1;  ///< Rest of the next place's name.
  std::map<AttemptId, std::weak_ptr<PlaceWaiter>> Waiting; ///< By place.
  std::vector<std::weak_ptr<ViewWaiter>> Held; ///< Came before the view.
  TrafficMetrics &Timings;                     ///< Histograms.

  ForwardContext(const WirePort &Spoken, TrafficMetrics &Into)
      : Wire(Spoken), Timings(Into) {}
};

} // namespace jacinthpond

#endif
