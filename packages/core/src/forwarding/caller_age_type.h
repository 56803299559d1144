/** @file caller_age_type.h How long callers have been trying. */

#ifndef JACINTHPOND_CORE_CALLER_AGE_TYPE_H
#define JACINTHPOND_CORE_CALLER_AGE_TYPE_H

#include "base/time_type.h"

#include <map>
#include <string>

namespace jacinthpond {

/** Deadlines with which callers of each route begin. */
struct CallerHabits {
  std::map<std::string, Duration> FirstDeadline; ///< By name of the route.
};

} // namespace jacinthpond

#endif
