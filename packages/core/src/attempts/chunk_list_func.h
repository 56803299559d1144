/** @file chunk_list_func.h How an agent learns of what chunks a version is
 * made.
 *
 * A document names a version, its origin lists the chunks. Read by every agent
 * the lists of a large fleet take as long as a third of a copy of the weights,
 * and all that time no chunk leaves the origin. So a few agents of each domain
 * read the list and tell it to the others.
 */

#ifndef JACINTHPOND_CORE_CHUNK_LIST_FUNC_H
#define JACINTHPOND_CORE_CHUNK_LIST_FUNC_H

#include "attempts/agent_type.h"

namespace jacinthpond {

/**
 * A document names a version whose list it does not hold: the list is read,
 * now or, where others are to tell it, after a while.
 * @param Agent State to change.
 * @param Wanted The version.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void followVersion(AgentState &Agent, const ModelVersion &Wanted, TimePoint Now,
                   Effects &Out);

/**
 * Reads the list that is missing, when it is time.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void readList(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * The origin answered.
 * @param Agent State to change.
 * @param Version Whose list was asked for.
 * @param Read What came.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the version is wanted from now on.
 */
bool listRead(AgentState &Agent, const ChunkRef &Version,
              const Outcome<ChunkList> &Read, TimePoint Now, Effects &Out);

/**
 * An agent of this domain told a list that it vouches for.
 * @param Agent State to change.
 * @param Link Over which link.
 * @param Told The list.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the version is wanted from now on.
 */
bool listTold(AgentState &Agent, LinkId Link, const ChunkListTold &Told,
              TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
