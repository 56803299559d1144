/** @file table/timing_table.h One row for each histogram, in enum order. */

#ifndef JACINTHPOND_ADAPTERS_METRICS_TABLE_TIMING_TABLE_H
#define JACINTHPOND_ADAPTERS_METRICS_TABLE_TIMING_TABLE_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace jacinthpond {

/** What is timed. */
enum class Timing : uint8_t {
  FirstToken,    ///< Request until first piece, at the entry.
  BetweenTokens, ///< Between two pieces, at the entry.
  Whole,         ///< Request until the end of its answer, at the entry.
  Queued,        ///< Waiting at the agent until the back end got it.
  Count          ///< Number of timings; not a timing.
};

/** Bounds of a histogram. */
constexpr size_t TimingBounds = 10;

/** Describes one histogram. */
struct TimingSpec {
  Timing What;                             ///< Which timing.
  const char *Name;                        ///< Metric name.
  const char *Help;                        ///< Text for the page.
  std::array<double, TimingBounds> Bounds; ///< Upper bounds in seconds.
};

/** The targets of 1.4 s and 41 ms are bounds, so that a query reads off the
 * share of answers within them. */
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
