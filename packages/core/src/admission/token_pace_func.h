/** @file token_pace_func.h Time between tokens, as a sign of a cold engine. */

#ifndef JACINTHPOND_CORE_TOKEN_PACE_FUNC_H
#define JACINTHPOND_CORE_TOKEN_PACE_FUNC_H

#include "admission/token_pace_type.h"

namespace jacinthpond {

/**
 * Takes one gap between two tokens of an answer.
 * @param Pace State to change.
 * @param Gap Its length.
 * @param AtWarmLimit The back end runs at its warm limit: its usual gap is
 *   learnt.
 */
void gapSeen(TokenPace &Pace, Duration Gap, bool AtWarmLimit);

/**
 * Forgets the recent gaps, but not the warm figure.
 * @param Pace State to change.
 */
void forgetGaps(TokenPace &Pace);

/**
 * Says whether one gap is far over the warm figure.
 * @param Pace The state.
 * @param Gap A gap, which may be still open.
 * @return True when a warm back end does not show such a gap.
 */
bool farOverWarm(const TokenPace &Pace, Duration Gap);

/**
 * Says whether the back end looks cold, by the median of recent gaps.
 * @param Pace The state.
 * @return True when most of the recent gaps are far over the warm figure.
 */
bool looksCold(const TokenPace &Pace);

} // namespace jacinthpond

#endif
