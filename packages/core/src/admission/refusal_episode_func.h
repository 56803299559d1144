/** @file refusal_episode_func.h Series of refusals that are logged as one.
 *
 * Clients that do not behave may be refused thousands of times a second. A log
 * line for each would cost more than the refusal.
 */

#ifndef JACINTHPOND_CORE_REFUSAL_EPISODE_FUNC_H
#define JACINTHPOND_CORE_REFUSAL_EPISODE_FUNC_H

#include "admission/refusal_episode_type.h"

#include <utility>
#include <vector>

namespace jacinthpond {

/** Time without a refusal after which an episode has ended. */
constexpr Millis EpisodePause{5000};

/**
 * Records a refusal.
 * @param All The episodes.
 * @param Why Its reason.
 * @param Now Current time.
 * @return Whether an episode begins with it.
 */
bool recordRefusal(RefusalEpisodes &All, CallerRefusal Why, TimePoint Now);

/**
 * Ends the episodes without a recent refusal.
 * @param All The episodes.
 * @param Now Current time.
 * @return Reason and number of refusals of each that has ended.
 */
std::vector<std::pair<CallerRefusal, uint64_t>>
endEpisodes(RefusalEpisodes &All, TimePoint Now);

} // namespace jacinthpond

#endif
