/** @file token_pace_func.h Time between tokens, used to detect a cold engine.
 */

#ifndef JACINTHPOND_CORE_TOKEN_PACE_FUNC_H
#define JACINTHPOND_CORE_TOKEN_PACE_FUNC_H

#include "admission/token_pace_type.h"

namespace jacinthpond {

/**
 * Records a gap between two tokens of an answer.
 * @param Pace State to change.
 * @param Gap Its length.
 * @param AtWarmLimit Whether the back end has its warm limit; only then is the
 *   typical warm gap updated.
 */
void recordGap(TokenPace &Pace, Duration Gap, bool AtWarmLimit);

/**
 * Forgets the recent gaps, but not the typical warm gap.
 * @param Pace State to change.
 */
void clearGaps(TokenPace &Pace);

/**
 * Says whether a gap is far longer than the typical warm gap.
 * @param Pace The state.
 * @param Gap Length of the gap, or time since the last token.
 * @return True when a warm back end does not pause for that long.
 */
bool isFarAboveWarm(const TokenPace &Pace, Duration Gap);

/**
 * Says whether the median of the recent gaps indicates a cold back end.
 * @param Pace The state.
 * @return True when it is far longer than the typical warm gap.
 */
bool isLikelyCold(const TokenPace &Pace);

} // namespace jacinthpond

#endif
