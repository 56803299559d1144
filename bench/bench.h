/** @file bench.h Measurements on fleets of real processes.
 *
 * Each measurement prints one JSON line with what was run and what came out.
 */

#ifndef JACINTHPOND_BENCH_BENCH_H
#define JACINTHPOND_BENCH_BENCH_H

#include "fleet/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jacinthpond::bench {

using fleet::Json;

/** What the command line asks for; each measurement reads what it needs. */
struct BenchOptions {
  size_t Hosts = 16;          ///< Backend server hosts.
  size_t Seconds = 10;        ///< Length of a steady phase.
  uint64_t Seed = 1;          ///< Of all random choices of the bench.
  bool Baseline = false;      ///< Measure the naive way instead.
  bool Faults = false;        ///< With the faults of the measurement.
  size_t PerSecond = 25;      ///< Requests a second.
  size_t SilentMillis = 1200; ///< How long a server is silent; 0: never.
  size_t EveryMillis = 500;   ///< Time between two silences.
  double PlainShare = 0;      ///< Share of the silences at plain back ends.
  std::string Changes;        ///< Kind of changes; empty: none.
};

/**
 * Prints the line of a run.
 * @param Name Name of the measurement.
 * @param Options What was asked for.
 * @param Figures What came out.
 */
void printRun(const std::string &Name, const BenchOptions &Options,
              const Json &Figures);

/**
 * Gives a quantile of samples.
 * @param Samples Any samples; a copy is sorted.
 * @param Share 0 to 1.
 * @return The sample at that share; 0 without samples.
 */
double quantile(std::vector<double> Samples, double Share);

/**
 * Measures the processor time of the choice of a back end.
 * @param Options Hosts: back ends to choose from; Faults: half of them have
 *        asked for a pause.
 * @return Exit code.
 */
int benchChoice(const BenchOptions &Options);

/**
 * Measures the processor time of recognizing requests that crash back ends,
 * with as many suspects as are kept at most.
 * @param Options Seconds: length of each of the three measurements.
 * @return Exit code.
 */
int benchSuspects(const BenchOptions &Options);

/**
 * Offers three times the capacity: goodput, shares, refusals, retries.
 * @param Options What to run.
 * @return Exit code.
 */
int benchOverload(const BenchOptions &Options);

/**
 * Restarts engines one after the other under load from many callers.
 * @param Options What to run.
 * @return Exit code.
 */
int benchColdstart(const BenchOptions &Options);

/**
 * Runs a steady load with shared prompt prefixes.
 * @param Options What to run.
 * @return Exit code.
 */
int benchRouting(const BenchOptions &Options);

/**
 * Measures the latency that entry and agent add to the first token.
 * @param Options What to run.
 * @return Exit code.
 */
int benchPath(const BenchOptions &Options);

/**
 * Measures how fast a new version reaches all replicas.
 * @param Options What to run.
 * @return Exit code.
 */
int benchWeights(const BenchOptions &Options);

/**
 * Measures how fast and at what price a configuration spreads.
 * @param Options Hosts: processes of the system, one in five an entry;
 *        Seconds: length of the quiet phase.
 * @return Exit code.
 */
int benchSpread(const BenchOptions &Options);

/**
 * Counts what becomes of requests while sound servers fall silent for a moment
 * and go on.
 * @param Options Seconds, PerSecond, SilentMillis, EveryMillis, PlainShare;
 *        Changes: idle, route, key, timeout, many, weights, evacuate or reload.
 * @return Exit code.
 */
int benchSilence(const BenchOptions &Options);

/**
 * Measures service while a failure domain is taken out and returned; with
 * faults, while its entries and agents are killed and started again.
 * @param Options Seconds: length of each of the three phases.
 * @return Exit code.
 */
int benchDomain(const BenchOptions &Options);

} // namespace jacinthpond::bench

#endif
