/** @file upload_func.h Sending chunks to peers within the rates. */

#ifndef JACINTHPOND_CORE_UPLOAD_FUNC_H
#define JACINTHPOND_CORE_UPLOAD_FUNC_H

#include "weights/transfer_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * A peer asks for a chunk.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Link Over which link.
 * @param Chunk Which chunk.
 * @param Out Effects are appended.
 */
void chunkRequested(TransferState &Transfer, const WeightsState &Weights,
                    LinkId Link, const Digest &Chunk, Effects &Out);

/**
 * Sends the chunks that peers asked for, as far as the rates allow and the
 * network takes them.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void serveUploads(TransferState &Transfer, const WeightsState &Weights,
                  TimePoint Now, Effects &Out);

} // namespace jacinthpond

#endif
