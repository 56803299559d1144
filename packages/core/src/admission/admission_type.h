/** @file admission_type.h State of admission control for one back end. */

#ifndef JACINTHPOND_CORE_ADMISSION_TYPE_H
#define JACINTHPOND_CORE_ADMISSION_TYPE_H

#include "admission/fair_queue_type.h"
#include "admission/token_pace_type.h"
#include "base/ids_type.h"
#include "base/time_type.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace jacinthpond {

/** Configured limits of one back end. */
struct AdmissionLimits {
  uint32_t Warm = 16;     ///< Concurrent requests on a warm back end.
  uint32_t Cold = 2;      ///< Concurrent requests on a cold back end.
  uint32_t Queue = 32;    ///< Maximum length of the queue.
  uint32_t WarmAfter = 8; ///< Completed requests before a cold limit grows.
};

/** What an attempt that requests admission may do. */
enum class AdmissionDecision : uint8_t { Run, Wait, Refuse };

/** Request to admit one attempt. */
struct AdmissionRequest {
  Waiter Who;            ///< Attempt, with its workspace and priority.
  Duration Remaining{0}; ///< Time left until its deadline.
  bool Alone = false;    ///< Must run with no other attempt.
};

/** Result of a request for admission. */
struct AdmissionResult {
  AdmissionDecision Decision = AdmissionDecision::Refuse; ///< The decision.
  Millis RetryAfter{0};                    ///< Set for a refusal; 0: unknown.
  std::optional<AttemptId> EvictedAttempt; ///< Removed from the full queue.
};

/** Admission state of one back end: its limit, running and queued attempts. */
struct Admission {
  AdmissionLimits Limits; ///< Configured limits.
  uint32_t Limit = 0;     ///< Current limit of concurrent attempts.
  uint32_t Running = 0;   ///< Attempts started here that have not ended.
  uint32_t Lingering = 0; ///< Requests that the back end may still run although
                          ///< this process did not start or has abandoned them.
  uint32_t RunningAtReport = 0; ///< Running at the last report of the back end.
  uint32_t CompletedAtLimit = 0; ///< Attempts completed since Limit changed.
  bool ReportedCold = false;     ///< The last report said that it is cold.
  TokenPace Pace;                ///< Time between tokens.
  Duration ServiceTime{0};       ///< Moving average of run times; 0: unknown.
  FairQueue Waiting;             ///< Queued attempts that may run with others.
  std::deque<AttemptId> WaitingAlone; ///< Queued attempts that must run alone.
  std::optional<AttemptId> Alone;     ///< The attempt that is running alone.
};

} // namespace jacinthpond

#endif
