/** @file fair_queue_type.h Work that waits, ordered by class and tenant. */

#ifndef JACINTHPOND_CORE_FAIR_QUEUE_TYPE_H
#define JACINTHPOND_CORE_FAIR_QUEUE_TYPE_H

#include "base/ids_type.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace jacinthpond {

/** One attempt that may have to wait. */
struct Waiter {
  AttemptId Attempt;     ///< Which.
  TenantName Tenant;     ///< Whose.
  uint32_t Weight = 1;   ///< Share of the tenant.
  uint32_t Priority = 1; ///< Of its class; higher goes first.
};

/** Waiting attempts of one tenant. */
struct TenantQueue {
  TenantName Tenant;             ///< Whose.
  uint32_t Weight = 1;           ///< Attempts taken in one turn.
  uint32_t Credit = 0;           ///< Attempts left of the turn under way.
  std::deque<AttemptId> Waiting; ///< In order of arrival; never empty.
};

/** Waiting attempts of one priority. */
struct PriorityLevel {
  std::deque<TenantQueue> Turns; ///< The first one has the turn.
  uint32_t PassedOver = 0;       ///< Takes of higher levels since its last own.
};

/** All waiting attempts: deficit round robin within each priority. */
struct FairQueue {
  std::map<uint32_t, PriorityLevel, std::greater<>> Levels; ///< Highest first.
  size_t Size = 0; ///< Attempts in all levels.
};

} // namespace jacinthpond

#endif
