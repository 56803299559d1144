/** @file caller_age_type.h Estimating how long a caller has been retrying. */

#ifndef JACINTHPOND_CORE_CALLER_AGE_TYPE_H
#define JACINTHPOND_CORE_CALLER_AGE_TYPE_H

#include "base/time_type.h"

#include <map>
#include <string>

namespace jacinthpond {

/** Deadlines with which callers of each route start. */
struct InitialDeadlines {
  std::map<std::string, Duration> LongestDeadline; ///< By name of the route.
};

} // namespace jacinthpond

#endif
