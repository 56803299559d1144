/** @file forward_counters.h Event counters for requests on routes. */

#ifndef JACINTHPOND_ENTRY_FORWARD_FORWARD_COUNTERS_H
#define JACINTHPOND_ENTRY_FORWARD_FORWARD_COUNTERS_H

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace jacinthpond {

/** Counters of the traffic thread. */
enum class ForwardCount : uint8_t {
  Requests,          ///< Requests received.
  Answered,          ///< Complete responses of back ends sent to callers.
  Refused,           ///< Requests refused without being executed.
  Failed,            ///< Requests that failed and may have been executed.
  CallersGone,       ///< Callers that left before the end of the response.
  Repeats,           ///< Retries: attempts after the first of a request.
  Resumes,           ///< Retries that resume a stream at another back end.
  Unreached,         ///< Failed connections to back ends.
  Broken,            ///< Responses that broke off or were malformed.
  NotExecuted,       ///< Attempts that a back end refused.
  Mismatched,        ///< Back ends with another run or version than expected.
  HostUnresponsive,  ///< Attempts given up because of an unresponsive host.
  RateChanges,       ///< Changes of back ends' rate limits.
  RateRefused,       ///< Slots that an agent refused because of a rate limit.
  ServersLeaving,    ///< Back ends that said that they are shutting down.
  Pauses,            ///< Pauses that back ends asked for.
  Withheld,          ///< Requests held back, or refused, because of pauses.
  BackEndCrashes,    ///< Crashes of back ends with requests of this entry.
  CloseChecks,       ///< Checks of back ends whose response ended by a close.
  Quarantined,       ///< Requests that became known as causes of crashes.
  QuarantineRefused, ///< Requests refused as causes of crashes.
  Stalls,            ///< Long delays of the traffic thread.
  Count              ///< Number of counters; not a counter.
};

/** Metric of one counter. */
struct ForwardCounterSpec {
  const char *Name; ///< Metric name.
  const char *Help; ///< Help text on the metrics page.
};

/** Metric of each ForwardCount, in enum order. */
constexpr std::array<ForwardCounterSpec,
                     static_cast<size_t>(ForwardCount::Count)>
    ForwardCounterTable = {{
        {"jacinthpond_route_requests_total", "Requests on routes."},
        {"jacinthpond_route_answered_total", "Answers of back ends passed on."},
        {"jacinthpond_route_refused_total", "Requests refused as not run."},
        {"jacinthpond_route_failed_total",
         "Requests that ended without a whole answer and may have run."},
        {"jacinthpond_route_callers_gone_total",
         "Callers that left before their answer."},
        {"jacinthpond_route_repeats_total",
         "Attempts after the first one of a request."},
        {"jacinthpond_route_resumes_total",
         "Streams that went on at another back end."},
        {"jacinthpond_back_end_unreached_total",
         "Attempts for which no connection came about."},
        {"jacinthpond_back_end_broken_total",
         "Attempts whose answer broke off or could not be read."},
        {"jacinthpond_back_end_not_executed_total",
         "Attempts that a back end refused."},
        {"jacinthpond_back_end_misjudged_total",
         "Attempts at a back end that was another run or version."},
        {"jacinthpond_back_end_stood_still_total",
         "Attempts given up since their host gave no sign of life."},
        {"jacinthpond_back_end_rate_changes_total",
         "Rate limits that back ends set or lifted, as heard here."},
        {"jacinthpond_back_end_rate_refused_total",
         "Places refused for a rate that the back end bears."},
        {"jacinthpond_back_end_leaving_total",
         "Back ends that said in an answer here that they are leaving."},
        {"jacinthpond_back_end_pauses_total",
         "Pauses that back ends asked for with Retry-After."},
        {"jacinthpond_back_end_withheld_total",
         "Requests not sent to back ends, or refused, because of pauses."},
        {"jacinthpond_back_end_crashes_total",
         "Crashes of back ends, seen here, that cut off answers."},
        {"jacinthpond_back_end_close_checks_total",
         "Connections opened to tell an answer that ended with its connection "
         "from a crash."},
        {"jacinthpond_route_suspects_convicted_total",
         "Requests that became known as causes of crashes."},
        {"jacinthpond_route_quarantine_refused_total",
         "Requests refused since copies of them crashed back ends."},
        {"jacinthpond_traffic_stalls_total",
         "Times at which the traffic thread ran late by 0.2 s or more."},
    }};

/** Values of all counters; may be used from any thread. */
class ForwardCounters {
public:
  /** Increments a counter. @param What Which counter. */
  void add(ForwardCount What) { ++Values.at(static_cast<size_t>(What)); }
  /** Reads a counter. @param What Which counter. @return Its value. */
  uint64_t get(ForwardCount What) const {
    return Values.at(static_cast<size_t>(What)).load();
  }

private:
  std::array<std::atomic<uint64_t>, static_cast<size_t>(ForwardCount::Count)>
      Values{};
};

} // namespace jacinthpond

#endif
