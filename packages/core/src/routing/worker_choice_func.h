/** @file worker_choice_func.h Choice of a worker for a call. */

#ifndef JACINTHPOND_CORE_WORKER_CHOICE_FUNC_H
#define JACINTHPOND_CORE_WORKER_CHOICE_FUNC_H

#include "attempts/entry_type.h"
#include "routing/routing_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Lists the workers that a call may be sent to now.
 * @param Entry The entry.
 * @param Class Class of the call.
 * @param ActiveCall The call.
 * @return The workers with their load.
 */
std::vector<Candidate> candidatesFor(const EntryState &Entry,
                                     const WorkClass &Class,
                                     const Call &ActiveCall);

/**
 * Chooses a worker for the next attempt of a call.
 * @param Entry The entry.
 * @param Class Class of the call.
 * @param ActiveCall The call.
 * @param Candidates The candidates.
 * @param Now Current time.
 * @return Index into Choice; Choice.size() when it is empty.
 */
size_t chooseCandidate(const EntryState &Entry, const WorkClass &Class,
                       const Call &ActiveCall,
                       const std::vector<Candidate> &Candidates, TimePoint Now);

/**
 * Says whether a call must run alone or be refused because its request made
 * back ends fail.
 * @param Entry The entry.
 * @param ActiveCall The call.
 * @param Now Current time.
 * @return How to treat the call.
 */
Suspicion suspicionOf(const EntryState &Entry, const Call &ActiveCall,
                      TimePoint Now);

} // namespace jacinthpond

#endif
