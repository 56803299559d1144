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
 * @param Asked Which part of which chunk.
 * @param Out Effects are appended.
 */
void chunkRequested(TransferState &Transfer, const WeightsState &Weights,
                    LinkId Link, const ChunkRequest &Asked, Effects &Out);

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

/**
 * Cuts a part out of a chunk.
 * @param Whole The chunk.
 * @param Offset Where the part begins.
 * @param Length Its length; 0: to the end of the chunk.
 * @param Into Its bytes, offset and total are set.
 */
void takePart(const std::string &Whole, uint64_t Offset, uint64_t Length,
              ChunkData &Into);

} // namespace jacinthpond

#endif
