/** @file pause_func.h Detects that this process did not run for a while. */

#ifndef JACINTHPOND_CORE_PAUSE_FUNC_H
#define JACINTHPOND_CORE_PAUSE_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Detects a pause of this process by a gap since the last tick. After a pause,
 * closes every link without reading what waits on it, changes the incarnation
 * and restarts the join.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were closed; what was pending on them is lost.
 */
std::vector<LinkId> dropLinksAfterPause(Membership &Fleet, TimePoint Now,
                                        Effects &Out);

} // namespace jacinthpond

#endif
