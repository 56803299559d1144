/** @file admission_type.h How much work a back end may have. */

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

/** Limits of one back end; from the settings. */
struct AdmissionLimits {
  uint32_t Warm = 16;     ///< Requests that a warm back end runs at a time.
  uint32_t Cold = 2;      ///< Requests that a cold one bears.
  uint32_t Queue = 32;    ///< Requests that wait at most.
  uint32_t WarmAfter = 8; ///< Requests that a cold one completes first.
};

/** What an attempt is told when it asks to run. */
enum class Admitted : uint8_t { Run, Wait, Refuse };

/** An attempt that asks to run. */
struct Admittee {
  Waiter Who;            ///< Attempt, tenant and class.
  Duration Remaining{0}; ///< Time until its answer is useless.
  bool Alone = false;    ///< Nothing else may run beside it.
};

/** Answer to an attempt that asks to run. */
struct AdmissionAnswer {
  Admitted May = Admitted::Refuse;    ///< What it may do.
  Millis RetryAfter{0};               ///< For a refusal; 0: not known.
  std::optional<AttemptId> PushedOut; ///< Lost its place to this attempt.
};

/** Running and waiting work of one back end. */
struct Admission {
  AdmissionLimits Limits;       ///< Bounds.
  uint32_t Limit = 0;           ///< Running work allowed now.
  uint32_t Running = 0;         ///< Attempts whose end was not seen.
  uint32_t Lingering = 0;       ///< Runs of others or cut off, not ended there.
  uint32_t RunningAtReport = 0; ///< Running when it last reported.
  uint32_t CompletedAtLimit = 0;      ///< Completed since Limit last changed.
  bool ReportedCold = false;          ///< What the back end said last.
  TokenPace Pace;                     ///< Gaps between tokens.
  Duration ServiceTime{0};            ///< Usual length of a run; 0: not known.
  FairQueue Waiting;                  ///< Attempts that may run beside others.
  std::deque<AttemptId> WaitingAlone; ///< Attempts that run alone.
  std::optional<AttemptId> Alone;     ///< Runs alone now.
};

} // namespace jacinthpond

#endif
