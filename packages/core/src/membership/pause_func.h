/** @file pause_func.h Noticing that this process did not run for a while. */

#ifndef JACINTHPOND_CORE_PAUSE_FUNC_H
#define JACINTHPOND_CORE_PAUSE_FUNC_H

#include "base/effect_type.h"
#include "membership/membership_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Looks for a gap in the own clock. After one, every link is dropped unread,
 * the incarnation changes and the view is not fresh any more.
 * @param Fleet State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return Links that were dropped; what was open on them is lost.
 */
std::vector<LinkId> dropLinksAfterPause(Membership &Fleet, TimePoint Now,
                                        Effects &Out);

} // namespace jacinthpond

#endif
