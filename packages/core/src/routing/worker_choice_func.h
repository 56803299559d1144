/** @file worker_choice_func.h Workers that an entry may give a call to. */

#ifndef JACINTHPOND_CORE_WORKER_CHOICE_FUNC_H
#define JACINTHPOND_CORE_WORKER_CHOICE_FUNC_H

#include "attempts/entry_type.h"
#include "routing/routing_type.h"

#include <vector>

namespace jacinthpond {

/**
 * Lists the workers that may get a call now.
 * @param Entry The entry.
 * @param Class Class of the call.
 * @param One The call.
 * @return Candidates with their load.
 */
std::vector<Candidate> candidatesFor(const EntryState &Entry,
                                     const WorkClass &Class, const Call &One);

/**
 * Chooses one of the candidates.
 * @param Entry The entry.
 * @param Class Class of the call.
 * @param One The call.
 * @param Choice The candidates.
 * @param Now Current time.
 * @return Index into Choice; Choice.size() when it is empty.
 */
size_t chooseFor(const EntryState &Entry, const WorkClass &Class,
                 const Call &One, const std::vector<Candidate> &Choice,
                 TimePoint Now);

/**
 * Says how a call is to be treated.
 * @param Entry The entry.
 * @param One The call.
 * @param Now Current time.
 * @return What its record of deaths says.
 */
Suspicion suspicionOf(const EntryState &Entry, const Call &One, TimePoint Now);

} // namespace jacinthpond

#endif
