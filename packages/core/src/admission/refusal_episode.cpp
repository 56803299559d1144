/** @file refusal_episode.cpp Series of refusals that are logged as one. */

#include "admission/refusal_episode_func.h"

namespace jacinthpond {

bool recordRefusal(RefusalEpisodes &All, CallerRefusal Why, TimePoint Now) {
  RefusalEpisode &One = All.at(static_cast<size_t>(Why));
  One.Last = Now;
  return ++One.Refused == 1;
}

std::vector<std::pair<CallerRefusal, uint64_t>>
endEpisodes(RefusalEpisodes &All, TimePoint Now) {
  std::vector<std::pair<CallerRefusal, uint64_t>> Ended;
  for (size_t n = 0; n < All.size(); ++n) {
    RefusalEpisode &One = All.at(n);
    if (One.Refused == 0 || Now - One.Last < EpisodePause)
      continue;
    Ended.emplace_back(static_cast<CallerRefusal>(n), One.Refused);
    One = {};
  }
  return Ended;
}

} // namespace jacinthpond
