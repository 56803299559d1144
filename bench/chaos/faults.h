/** @file faults.h Random failures of a running fleet, chosen by a seed. */

#ifndef JACINTHPOND_BENCH_CHAOS_FAULTS_H
#define JACINTHPOND_BENCH_CHAOS_FAULTS_H

#include "chaos/heals.h"
#include "fleet/fleet.h"

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jacinthpond::chaos {

/** Brings about failures and heals them. Used by the main thread only. */
class Faults {
public:
  /**
   * Sets up; nothing fails yet.
   * @param All The fleet; outlives this object.
   * @param Seed Of all choices.
   */
  Faults(fleet::Fleet &All, uint64_t Seed);

  /** Brings about one failure, or heals those that are due. */
  void step();

  /** Heals everything and puts every domain back in. */
  void healAll();

  std::map<std::string, int> Injected; ///< How often each failure came.
  std::set<std::string> Published;     ///< Digests of all weights published.
  std::vector<std::string> Violations; ///< Promises seen broken on the way.

private:
  /** A domain that is out, with the work its workers had then. */
  struct DomainOut {
    std::string Name;                      ///< Which.
    Clock::time_point Since;               ///< When it was published.
    std::map<std::string, size_t> Records; ///< Work a few seconds later.
  };

  void killProcess(const std::string &Name);
  void pauseProcess(const std::string &Name);
  void stopProcess(const std::string &Name);
  void faultLink(const std::string &Name);
  void faultPlatform();
  void faultEngine(const std::string &Name);
  void publishModel();
  void takeDomainOut();
  void returnDomain();
  void watchDomain();
  void healLater(const std::string &Target, std::function<void()> Action);
  bool isFaulty(const std::string &Target) const {
    return Failing.isFaulty(Target);
  }
  std::map<std::string, size_t> recordsOf(const std::string &Domain) const;
  const std::string &pick(const std::vector<std::string> &From);

  fleet::Fleet &Fleet;
  std::mt19937_64 Random;
  Heals Failing;
  std::vector<std::string> Entries;
  std::vector<std::string> Agents;
  std::vector<std::string> Proxies;
  std::vector<std::string> Engines;
  std::vector<DomainOut> Out;
  int Models = 1;
};

} // namespace jacinthpond::chaos

#endif
