/** @file routing_func.h Choice of the worker for a request. */

#ifndef JACINTHPOND_CORE_ROUTING_FUNC_H
#define JACINTHPOND_CORE_ROUTING_FUNC_H

#include "routing/routing_type.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthpond {

/**
 * Chooses a worker: the one where the prefix is warm unless it is much busier
 * than its peers, else the less busy of two taken by hash.
 * @param Candidates Workers that may be taken; not changed.
 * @param AffinityKey Equal for requests that share a prompt prefix.
 * @param Salt Differs for each try, to spread the two choices.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseWorker(const std::vector<Candidate> &Candidates,
                    std::string_view AffinityKey, uint64_t Salt);

/**
 * Chooses a worker for a model: the one where the prefix is warm unless it is
 * much busier than its peers, else the less busy of it and the one that the
 * whole request ranks first. Equal requests so reach two workers, whichever
 * entries they come through and whatever these know: one that kills its engine
 * costs no third one while its copies are under way.
 * @param Candidates Workers that may be taken; not changed.
 * @param AffinityKey Equal for requests that share a prompt prefix.
 * @param RequestKey Gives a key that is equal for equal requests only; called
 * only where it is needed.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseForPrompt(const std::vector<Candidate> &Candidates,
                       std::string_view AffinityKey,
                       const std::function<std::string()> &RequestKey);

/**
 * Chooses any worker: the naive way, to measure against.
 * @param Candidates Workers that may be taken; not changed.
 * @param Salt Differs for each try.
 * @return Index into Candidates; Candidates.size() when there is none.
 */
size_t chooseAtRandom(const std::vector<Candidate> &Candidates, uint64_t Salt);

} // namespace jacinthpond

#endif
