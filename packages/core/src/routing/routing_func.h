/** @file routing_func.h Choice of a worker for a request. */

#ifndef JACINTHPOND_CORE_ROUTING_FUNC_H
#define JACINTHPOND_CORE_ROUTING_FUNC_H

#include "routing/routing_type.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Chooses a worker: the preferred one of the prompt prefix, whose cache is
 * likely warm, unless it is much busier than its peers; else the less busy of
 * two that are picked by hash.
 * @param Candidates Workers that may be chosen; not changed.
 * @param AffinityKey Equal for requests that share a prompt prefix.
 * @param Salt Differs for each attempt, to spread the picks.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseWorker(const std::vector<Candidate> &Candidates,
                    std::string_view AffinityKey, uint64_t Salt);

/**
 * Chooses a worker for a model request: the preferred one of the prompt prefix
 * unless it is much busier than its peers; else the less busy of that one and
 * the one that ranks first for the whole request. Equal requests thus reach two
 * workers only, whichever entries they come through and whatever load these
 * see. A request that makes engines crash can then crash two of them, not a
 * third, when several copies of it are sent at once.
 * @param Candidates Workers that may be chosen; not changed.
 * @param AffinityKey Equal for requests that share a prompt prefix.
 * @param RequestKey Returns a key that is equal for equal requests only; called
 * at most once.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseForPrompt(const std::vector<Candidate> &Candidates,
                       std::string_view AffinityKey,
                       const std::function<std::string()> &RequestKey);

/**
 * Chooses a worker by hash, regardless of load: a baseline for benchmarks.
 * @param Candidates Workers that may be chosen; not changed.
 * @param Salt Differs for each attempt.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseAtRandom(const std::vector<Candidate> &Candidates, uint64_t Salt);

} // namespace jacinthpond

#endif
