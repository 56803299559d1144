/** @file route_checks.h What must hold, from what callers and workers saw. */

#ifndef JACINTHPOND_BENCH_CHAOS_ROUTE_CHECKS_H
#define JACINTHPOND_BENCH_CHAOS_ROUTE_CHECKS_H

#include "chaos/route_callers.h"
#include "chaos/route_history.h"
#include "fleet/route_fleet.h"

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jacinthpond::chaos {

/** A run at a worker. */
struct WorkerRun {
  std::string Worker;    ///< Name of the worker.
  std::string Id;        ///< Its id at that time.
  int Version = 0;       ///< Version of its weights at that time.
  Moment At;             ///< When it began.
  std::string Attempt;   ///< Attempt that it is for.
  std::string Method;    ///< What it got.
  std::string Path;      ///< What it got.
  std::string Body;      ///< What it got.
  std::string Workspace; ///< Tenant that it was told.
  bool HasKey = false;   ///< Whether the caller's key came with it.
};

/** A request that arrived at a worker, run or not, and how it was answered. */
struct WorkerArrival {
  Moment At;                          ///< When it arrived.
  Moment Sent;                        ///< When its caller sent it.
  std::string Attempt;                ///< Attempt that it is for.
  std::chrono::milliseconds Pause{0}; ///< Pause that the answer asked for.
  bool Leaving = false; ///< The answer said that the worker leaves.
};

/** Judges runs and answers as they come. Used by the main thread only. */
class RouteChecks {
public:
  /**
   * Sets up.
   * @param All The fleet; outlives this object, as do the others.
   * @param Plan What it consists of.
   * @param Ledger What callers saw.
   * @param Done What was done to it.
   */
  RouteChecks(const fleet::RouteFleet &All, const fleet::RoutePlan &Plan,
              RouteLedger &Ledger, const RouteHistory &Done);

  /** Judges what is new. */
  void look();

  /** Judges what can be told only once everything is over. */
  void finish();

  std::vector<std::string> Broken;   ///< What did not hold.
  std::map<std::string, int> Judged; ///< How often each matter was judged.
  std::map<int, int> Statuses;       ///< Answers by status.

private:
  void lookAt(const std::string &Worker);
  void judgeRun(const WorkerRun &Run);
  void judgeAnswer(const Exchange &Got);
  void judgeContent(const Exchange &Got);
  void judgeStream(const Exchange &Got);
  void judgeRefusal(const Exchange &Got);
  void judgeLost(const Exchange &Got);
  void judgeNotices();
  void judgeSilences();
  void judgeSilence(const Exchange &Got);
  void judgeCrashes();
  void judgeCrashes(const std::string &Sign, size_t KnownCrash,
                    size_t MostLate);
  void judgePauses(const std::string &Worker, size_t Entry,
                   const std::vector<WorkerArrival> &All);
  void judgeLeaving(const std::string &Worker, size_t Entry,
                    const std::vector<WorkerArrival> &All);
  void readArrivals(const std::string &Worker);
  void judgeRate(const RouteHistory::RateLimit &Limit);
  void judgeConfig(const WorkerRun &Run, const Exchange &Asked);
  void judgeWeights(const WorkerRun &Run, const Exchange &Asked);
  void forbidden(const std::string &What, Moment At,
                 std::chrono::milliseconds Bound, const WorkerRun &Run,
                 const Exchange &Asked);
  std::optional<Moment> calmEntry(size_t Entry, Moment At) const;
  bool workerCalm(const std::string &Worker, Moment From, Moment To) const;
  bool hostCalm(const std::string &Worker, const Exchange &Got) const;
  std::optional<Exchange> exchangeOf(const std::string &Attempt) const;
  std::string timeOf(Moment At) const;
  std::string describe(const Exchange &Got) const;
  std::string describe(const WorkerRun &Run) const;
  void broken(const std::string &What);

  const fleet::RouteFleet &Fleet;
  RouteLedger &Seen;
  const RouteHistory &History;
  std::chrono::milliseconds WeightsChange;
  Moment Start;
  std::vector<std::string> Workers;
  std::map<std::string, size_t> Read; ///< Runs of each worker read so far.
  std::map<std::string, std::vector<WorkerRun>> Runs; ///< By attempt.
  std::map<std::string, size_t> ReadArrivals; ///< Of each worker so far.
  /** Arrivals by worker, its id and the entry that sent them, in order. */
  std::map<std::tuple<std::string, std::string, size_t>,
           std::vector<WorkerArrival>>
      Arrivals;
  std::map<std::string, int> Bookings; ///< Runs by content.
  std::vector<Exchange> Unanswered;
};

} // namespace jacinthpond::chaos

#endif
