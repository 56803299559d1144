/** @file route_history.h What was done to a fleet, and when. */

#ifndef JACINTHPOND_BENCH_CHAOS_ROUTE_HISTORY_H
#define JACINTHPOND_BENCH_CHAOS_ROUTE_HISTORY_H

#include <chrono>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthpond::chaos {

using Moment = std::chrono::steady_clock::time_point;

/** When each process, link and server was disturbed. */
class Disturbances {
public:
  /** Notes the begin of a disturbance. @param Target Of what. */
  void begin(const std::string &Target);

  /** Notes that the last disturbance is over. @param Target Of what. */
  void end(const std::string &Target);

  /**
   * Tells since when nothing was disturbed.
   * @param Targets What has to be calm.
   * @param At The moment that is asked for; not after now.
   * @return Since when; nothing when one was disturbed at that moment.
   */
  std::optional<Moment> calmSince(const std::vector<std::string> &Targets,
                                  Moment At) const;

private:
  /** One disturbance. */
  struct Span {
    Moment From; ///< Begin.
    Moment To;   ///< End; the last moment of all while it goes on.
  };

  std::map<std::string, std::vector<Span>> Spans;
};

/** What published configurations allow: keys, routes, servers and zones. */
class Permissions {
public:
  /**
   * Notes a change.
   * @param What Name of what is allowed or no longer allowed.
   * @param Allowed Whether it is from now on.
   * @param Sent When the change was sent to the store.
   * @param Done When the store had it.
   */
  void change(const std::string &What, bool Allowed, Moment Sent, Moment Done);

  /**
   * Tells since when something was one way.
   * @param What Its name; what was never changed is allowed.
   * @param Allowed The way: allowed, or not.
   * @param At The moment that is asked for.
   * @return Since when; nothing when it was the other way, or on the change.
   */
  std::optional<Moment> since(const std::string &What, bool Allowed,
                              Moment At) const;

private:
  /** One change. */
  struct Change {
    bool Allowed; ///< From then on.
    Moment Sent;  ///< Not in force before.
    Moment Done;  ///< Known to the store from then on.
  };

  std::map<std::string, std::vector<Change>> Changes;
};

/** All that checks have to know of what was done. */
struct RouteHistory {
  /** A version of the weights. */
  struct Version {
    int Number;       ///< Which.
    Moment Published; ///< When the store had it.
  };

  /** A time in which a back end limited its rate. */
  struct RateLimit {
    std::string Worker; ///< Which back end.
    double PerSecond;   ///< Requests a second that it named.
    Moment Begin;       ///< Since when.
    Moment End;         ///< Until when; the far future while it lasts.
  };

  Disturbances Harm;
  Disturbances Silence; ///< Of sound servers that stand still; no harm.
  Permissions Config;
  std::vector<Version> Versions; ///< Those after the first, in order.
  std::vector<RateLimit> Limits; ///< In order of their begin.
};

} // namespace jacinthpond::chaos

#endif
