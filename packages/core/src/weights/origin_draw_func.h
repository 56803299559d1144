/** @file origin_draw_func.h Which host draws which chunk from the origin.
 *
 * Each chunk has a rank of hosts. The first one draws it at once; the others
 * take over one after the other when it does not come into view.
 */

#ifndef JACINTHPOND_CORE_ORIGIN_DRAW_FUNC_H
#define JACINTHPOND_CORE_ORIGIN_DRAW_FUNC_H

#include "weights/transfer_type.h"

namespace jacinthpond {

/**
 * Asks the origin for the missing chunks that are this host's to draw.
 * @param Transfer State to change.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void askOrigin(TransferState &Transfer, TimePoint Now, Effects &Out);

/**
 * The origin gave nothing, or something else, for a chunk of this set.
 * @param Transfer State to change.
 * @param n Index of the chunk.
 * @param Now Current time.
 */
void drawFailed(TransferState &Transfer, size_t n, TimePoint Now);

} // namespace jacinthpond

#endif
