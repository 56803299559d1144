/** @file chunk_list_func.h Chunk lists of weights versions, read or from peers.
 *
 * A document names a version, and its origin lists the version's chunks. If
 * every agent of a large fleet read the list, that would take a third as long
 * as a copy of the weights, and no chunk would leave the origin in that time.
 * So a few agents of each failure domain read the list and send it to the
 * others.
 */

#ifndef JACINTHPOND_CORE_CHUNK_LIST_FUNC_H
#define JACINTHPOND_CORE_CHUNK_LIST_FUNC_H

#include "attempts/agent_type.h"

namespace jacinthpond {

/**
 * Begins to obtain the chunk list of a version that a document names, unless
 * that is known or under way: reads it at once, or later if no peer sends it.
 * @param Agent State to change.
 * @param Wanted The version.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void obtainChunkList(AgentState &Agent, const ModelVersion &Wanted,
                     TimePoint Now, Effects &Out);

/**
 * Requests the chunk list of the pending version from its origin, if that is
 * due.
 * @param Agent State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void requestMissingList(AgentState &Agent, TimePoint Now, Effects &Out);

/**
 * Handles the origin's answer to a request for a chunk list. A list is accepted
 * once two reads agree.
 * @param Agent State to change.
 * @param Version The version whose list was requested.
 * @param Read The list, or why it could not be read.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the list was accepted and its version selected for loading.
 */
bool handleListRead(AgentState &Agent, const ChunkRef &Version,
                    const Outcome<ChunkList> &Read, TimePoint Now,
                    Effects &Out);

/**
 * Handles a chunk list that an agent of this failure domain sent. It is kept if
 * the document that names its version has not arrived yet.
 * @param Agent State to change.
 * @param Link Link to the sender.
 * @param Told The list.
 * @param Now Current time.
 * @param Out Effects are appended.
 * @return True when the list was accepted and its version selected for loading.
 */
bool handleListNotice(AgentState &Agent, LinkId Link,
                      const ChunkListNotice &Told, TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
