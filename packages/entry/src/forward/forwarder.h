/** @file forwarder.h Listeners and thread of requests on routes. */

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

/** Answers callers on routes, readiness checks and the directory. */
class Forwarder {
public:
  /**
   * Sets up; nothing runs yet.
   * @param Config Settings of the process.
   * @param Wire How callers and back ends speak; outlives this.
   * @param Timings Histograms; outlive this.
   */
  Forwarder(const Settings &Config, const WirePort &Wire,
            TrafficMetrics &Timings);
  /** Ends the thread. */
  ~Forwarder();
  Forwarder(const Forwarder &) = delete;
  Forwarder &operator=(const Forwarder &) = delete;

  /**
   * Binds the listeners and starts the thread.
   * @return False when an address cannot be had.
   */
  bool start();

  /** The settings changed. @param Changed What is in the file now. */
  void reload(const Settings &Changed);

  /**
   * A document came into force.
   * @param Doc The document.
   * @param PublishedAfter Time before which it was not published, if known.
   */
  void follow(DocumentPtr Doc, std::optional<TimePoint> PublishedAfter);

  /** Agents told of their back ends. @param News What they told. */
  void told(std::vector<AgentNews> News);

  /** The fleet changed. @param Fleet What is known of it. */
  void fleet(FleetSnapshot Fleet);

  /**
   * Names how messages reach agents and other entries.
   * @param ToAgent Sends over a link; may be called from any thread.
   * @param ToEntries Sends to all other entries; likewise.
   */
  void sendThrough(std::function<void(LinkId, const Message &)> ToAgent,
                   std::function<void(const Message &)> ToEntries) {
    Shared.SendToAgent = std::move(ToAgent);
    Shared.SendToEntries = std::move(ToEntries);
  }

  /**
   * Another entry heard of a back end's rate limit.
   * @param Heard What it heard.
   */
  void rateTold(const RateHeard &Heard);

  /**
   * An agent answered a request for a place.
   * @param Link The link to it.
   * @param Answer What it said.
   */
  void placeAnswered(LinkId Link, const PlaceAnswer &Answer);

  /** An agent said that its host runs. @param Link The link to it. */
  void hostAnswered(LinkId Link);

  /** Answers ask to close, and readiness is denied, from now on. */
  void leave() { Shared.Leaving = true; }

  /** Requests that come from now on are refused as not run. */
  void refuseNew() { Shared.Refusing = true; }

  /** Gives the histograms. @return The histograms. */
  const TrafficMetrics &timings() const { return Shared.Timings; }

  /** Counts requests under way. @return Requests without a final answer. */
  uint32_t open() const { return Shared.Open; }

  /** Gives the counters. @return The counters. */
  const ForwardCounters &counters() const { return Shared.Counters; }

private:
  /** One listening address with its rules. */
  struct Listener {
    boost::asio::ip::tcp::acceptor Accepting; ///< The socket.
    SessionRules Rules;                       ///< What its sessions do.
    boost::asio::steady_timer Pause;          ///< Before accepting again.
  };

  void takeOptions(const Settings &From);
  bool listen(const std::string &At, SessionRules Rules);
  void accept(Listener &On);
  void sweep();
  void watchStalls();
  void letHeldGoOn();
  SessionRules rulesFor(
      std::function<void(const std::shared_ptr<CallerSession> &, CallerRequest)>
          OnRequest);
  void answerReady(CallerSession &To) const;
  void answerDirectory(CallerSession &To, const CallerRequest &Asked) const;

  const Settings &Config;
  ForwardContext Shared;
  std::list<Listener> Listeners;
  boost::asio::steady_timer SweepTimer;
  boost::asio::steady_timer StallTimer;
  std::thread Traffic;
};

} // namespace jacinthpond

#endif
