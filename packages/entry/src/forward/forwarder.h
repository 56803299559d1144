/** @file forwarder.h Listeners and traffic thread for requests on routes. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARDER_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARDER_H

#include "forward/forward_context.h"
#include "settings/settings_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>
#include <string>
#include <thread>

namespace jacinthpond {

/** Serves requests on routes, readiness checks and the directory on a thread of
 * its own, the traffic thread. Takes events from other threads. */
class Forwarder {
public:
  /**
   * Creates a forwarder; start() opens its listeners.
   * @param Config Settings of the process; must outlive this.
   * @param Wire Headers of callers and back ends; must outlive this.
   * @param Timings Latency histograms; must outlive this.
   */
  Forwarder(const Settings &Config, const WirePort &Wire,
            TrafficMetrics &Timings);
  /** Stops the traffic thread. */
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /**
   * Binds the listeners and starts the traffic thread.
   * @return False if an address can't be bound.
   */
  bool start();

  /** Applies changed settings. @param Changed The settings in the file now. */
  void reload(const Settings &Changed);

  /**
   * Applies a document that came into force.
   * @param Doc The document.
   * @param PublishedAfter Time before which it was not published, if known.
   */
  void setDocument(DocumentPtr Doc, std::optional<TimePoint> PublishedAfter);

  /** Applies reports of agents. @param News The reports. */
  void handleAgentReports(std::vector<AgentReport> News);

  /** Applies a change of the fleet. @param Fleet The current state. */
  void setFleet(FleetSnapshot Fleet);

  /**
   * Sets the functions that send messages. Called before start().
   * @param ToAgent Sends over a link; callable from any thread.
   * @param ToEntries Sends to all other entries; callable from any thread.
   * @param Suspect Records a suspect and tells all peers; likewise.
   */
  void setSenders(std::function<void(LinkId, const Message &)> ToAgent,
                  std::function<void(const Message &)> ToEntries,
                  std::function<void(const SuspectNotice &)> Suspect) {
    Shared.ReportSuspect = std::move(Suspect);
    Shared.SendToAgent = std::move(ToAgent);
    Shared.SendToEntries = std::move(ToEntries);
  }

  /**
   * Handles a rate limit notice of another entry.
   * @param Heard The notice.
   */
  void handleRateNotice(const RateLimitNotice &Heard);

  /**
   * Handles the notice that a back end told another process that it is leaving.
   * @param Heard The notice.
   */
  void handleServerLeaving(const ServerLeavingNotice &Heard);

  /**
   * Handles a notice of a request that may have crashed back ends.
   * @param Notice The notice.
   */
  void handleSuspectNotice(const SuspectNotice &Notice);

  /**
   * Handles an agent's answer to a request for a slot.
   * @param Link The link to the agent.
   * @param Answer The answer.
   */
  void handleSlotAnswer(LinkId Link, const SlotAnswer &Answer);

  /** Handles an agent's answer to a ping. @param Link The link to the agent. */
  void handlePong(LinkId Link);

  /** Begins to leave: readiness checks fail from now on, and responses close
   * their connections. */
  void beginLeaving() { Shared.Leaving = true; }

  /** Refuses new requests from now on, as not executed. */
  void refuseNewRequests() { Shared.RefusingNew = true; }

  /** Latency histograms. @return The histograms. */
  const TrafficMetrics &timings() const { return Shared.Timings; }

  /** Number of open requests. @return Requests without a final response. */
  uint32_t countOpenRequests() const { return Shared.OpenRequests; }

  /** Connections of callers. @return The connections; callable from any thread
   * for the values of metrics. */
  const CallerConnections &callers() const { return Shared.Callers; }

  /** Counters of events. @return The counters. */
  const ForwardCounters &counters() const { return Shared.Counters; }

private:
  /** A listening socket and what its sessions do with requests. */
  struct Listener {
    boost::asio::ip::tcp::acceptor Accepting; ///< The socket.
    SessionCallbacks Callbacks;               ///< For its sessions.
    boost::asio::steady_timer Pause;          ///< Delay after a failed accept.
  };

  void applySettings(const Settings &From);
  CallerAnswer refusalAnswer(CallerRefusal Why);
  bool listen(const std::string &At, SessionCallbacks Callbacks);
  void accept(Listener &On);
  void acceptWaiting(Listener &On);
  static void startSession(Listener &On, boost::asio::ip::tcp::socket Socket);
  void pauseAccepting(Listener &On, const boost::system::error_code &ec);
  void sweep();
  void watchForStalls();
  void resumeWaitingRequests();
  SessionCallbacks makeCallbacks(
      std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
          OnRequest);
  HeadDecision decideByHead(const CallerRequest::header_type &Head) const;
  void answerReadinessCheck(CallerSession &To) const;
  void answerDirectoryRequest(CallerSession &To,
                              const CallerRequest &Request) const;

  const Settings &Config;
  ForwardContext Shared;
  std::list<Listener> Listeners;
  boost::asio::steady_timer SweepTimer;
  boost::asio::steady_timer StallTimer;
  std::thread Traffic;
};

} // namespace jacinthpond

#endif
