/** @file origin_draw_func.h Fetching chunks from the origin.
 *
 * The hosts are ranked for each chunk. The first one fetches it at once; the
 * others take over one after the other if nobody announces it.
 */

#ifndef JACINTHPOND_CORE_ORIGIN_DRAW_FUNC_H
#define JACINTHPOND_CORE_ORIGIN_DRAW_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Requests from the origin the missing chunks that it is this host's turn to
 * fetch.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void requestFromOrigin(TransferState &Transfer, TimePoint Now, Effects &Out);

/**
 * Records that the origin sent other content than a chunk's, and delays the
 * next attempt, longer each time.
 * @param Transfer State to change.
 * @param n First number of the content.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void recordWrongContent(TransferState &Transfer, size_t n, TimePoint Now,
                        Effects &Out);

/**
 * Records that the origin sent nothing for a chunk, and delays the next
 * attempt.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 * @param Now Current time.
 */
void recordOriginFailure(TransferState &Transfer, size_t n, TimePoint Now);

} // namespace jacinthpond

#endif
