/** @file table/timing_table.h One row for each histogram, in enum order. */

#ifndef JACINTHPOND_ADAPTERS_METRICS_TABLE_TIMING_TABLE_H
#define JACINTHPOND_ADAPTERS_METRICS_TABLE_TIMING_TABLE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace jacinthpond {

/** Durations that are measured. */
enum class Timing : uint8_t {
  FirstToken,    ///< Request to first piece of its answer, at the entry.
  BetweenTokens, ///< Between two pieces of an answer, at the entry.
  Whole,         ///< Request to the end of its answer, at the entry.
  Queued,        ///< Wait of an attempt at the agent for its back end.
  Count          ///< Number of enumerators.
};

/** Buckets of each histogram, without the one for infinity. */
constexpr size_t TimingBuckets = 10;

/** Describes one histogram. */
struct TimingSpec {
  Timing What;      ///< Duration that it observes.
  const char *Name; ///< Metric name.
  const char *Help; ///< Help text on the metrics page.
  std::array<double, TimingBuckets>
      Bounds; ///< Upper bounds of the buckets, in seconds.
};

/** Histograms in the order of Timing. The latency targets of 1.4 s and 41 ms
 * are bucket bounds, so that a query can give the exact share of answers within
 * them. */
constexpr std::array<TimingSpec, static_cast<size_t>(Timing::Count)>
    TimingTable = {{
        {Timing::FirstToken,
         "jacinthpond_first_token_seconds",
         "Time from a request to the first piece of its answer.",
         {0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 3.0, 10.0}},
        {Timing::BetweenTokens,
         "jacinthpond_between_tokens_seconds",
         "Time between two pieces of an answer.",
         {0.002, 0.005, 0.01, 0.02, 0.041, 0.08, 0.2, 0.5, 1.0, 5.0}},
        {Timing::Whole,
         "jacinthpond_whole_answer_seconds",
         "Time from a request to the end of its answer.",
         {0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0, 30.0, 120.0}},
        {Timing::Queued,
         "jacinthpond_agent_queued_seconds",
         "Time that an attempt waited at the agent for its back end.",
         {0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0, 10.0}},
    }};

} // namespace jacinthpond

#endif
