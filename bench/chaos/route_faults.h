/** @file route_faults.h Random failures of a fleet that serves routes. */

#ifndef JACINTHPOND_BENCH_CHAOS_ROUTE_FAULTS_H
#define JACINTHPOND_BENCH_CHAOS_ROUTE_FAULTS_H

#include "chaos/heals.h"
#include "chaos/route_callers.h"
#include "chaos/route_history.h"
#include "fleet/route_fleet.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace jacinthpond::chaos {

/**
 * Brings about failures and changes, and heals them. A seed chooses some kinds
 * of them and their pace, so that runs differ in more than the order: what a
 * rare fault does shows only where the common ones are left out. Used by the
 * main thread only.
 */
class RouteFaults {
public:
  /**
   * Sets up; nothing fails yet.
   * @param All The fleet; outlives this object.
   * @param Plan What it consists of.
   * @param Seed Of all choices.
   * @param Only Names of the kinds of failures, with commas between them;
   * empty: the seed chooses.
   * @param Into Where it notes what it does; outlives this object.
   */
  RouteFaults(fleet::RouteFleet &All, const fleet::RoutePlan &Plan,
              uint64_t Seed, const std::string &Only, RouteHistory &Into);

  /** Heals what is due; when it is time, brings about one failure more. */
  void step();

  /** Heals everything and allows everything again. */
  void healAll();

  /** Says what callers are to send that crashes back ends. @return What. */
  CrashAsk crashingRequests() const { return Crashing; }

  /** Notes processes that ended by themselves. */
  void lookForExits();

  std::map<std::string, int> Injected; ///< How often each kind came.
  std::vector<std::string> Log;        ///< Each failure, with its time.
  std::vector<std::string> Broken;     ///< Processes that did not behave.

private:
  using Kind = void (RouteFaults::*)();

  /** A back end in the store's list. */
  struct Server {
    std::string Id;      ///< Its id there.
    int Incarnation = 0; ///< Times that it came back.
  };

  void chooseKinds(uint64_t Seed, const std::string &Only);
  void killProcess();
  void pauseProcess();
  void pause(const std::string &Name);
  void stopProcess();
  void reloadProcess();
  void pauseServer();
  void sayLeaving(const std::string &Name);
  void faultLink();
  void fault(const std::string &Link, const fleet::Json &What);
  void faultStore();
  void faultOrigin();
  void faultServer();
  void newVersion();
  void drainServer();
  void loseServer();
  void takeZoneOut();
  void takeKeyAway();
  void takeRouteAway();
  void changeUnseen();
  void limitRates();
  void shedLoad();
  void silenceServer();
  void loseCrashed();

  void publishVersion();
  void awaitStop(const std::string &Name, Clock::time_point Limit);
  void restart(const std::string &Name);
  void removeServer(const std::string &Name);
  void returnServer(const std::string &Name);
  void publishKeys(bool All);
  void publishRoute(bool There);
  void note(const std::string &What);
  std::chrono::milliseconds between(int Least, int Most);
  const std::string &pick(const std::vector<std::string> &From);
  const std::string &pickProcess();

  fleet::RouteFleet &Fleet;
  RouteHistory &History;
  std::mt19937_64 Random;
  Heals Failing;
  std::vector<std::string> Entries; ///< Those that may be disturbed.
  std::vector<std::string> Agents;
  std::vector<std::string> Links;
  std::vector<std::string> ServerNames;
  std::map<std::string, Server> Servers;
  std::set<std::string> Ending; ///< Processes that were told to end.
  std::vector<Kind> Enabled;
  std::chrono::milliseconds Pace{0};
  Clock::time_point Start;
  Clock::time_point Next;
  int Version = 1;
  bool Limiting = false;      ///< Back ends limit their rates as well.
  std::mt19937_64 RateRandom; ///< Leaves the draws of all others as they are.
  Clock::time_point NextLimit;
  CrashAsk Crashing = CrashAsk::Nothing; ///< What back ends crash on.
  std::set<std::string> Paused;          ///< Servers that stand still.
  std::map<std::string, bool> Crashed; ///< Those that did; true: they are being
                                       ///< started anew.
  bool Shedding = false;        ///< Back ends ask for pauses and say that they
                                ///< are leaving.
  std::mt19937_64 NoticeRandom; ///< For these; apart for the same reason.
  Clock::time_point NextShed;
  bool Silencing = false;        ///< Sound servers stand still for a moment.
  std::mt19937_64 SilenceRandom; ///< For these; apart for the same reason.
  Clock::time_point NextSilence;
  std::map<std::string, std::jthread> Silences; ///< Let them go on in time.
};

} // namespace jacinthpond::chaos

#endif
