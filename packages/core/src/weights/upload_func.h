/** @file upload_func.h Sending chunks to peers within the rate limits. */

#ifndef JACINTHPOND_CORE_UPLOAD_FUNC_H
#define JACINTHPOND_CORE_UPLOAD_FUNC_H

#include "weights/transfer_type.h"
#include "weights/weights_type.h"

namespace jacinthpond {

/**
 * Queues the request of a peer for a chunk, or rejects it with an empty answer.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Link Link to the peer.
 * @param Request The request.
 * @param Out Effects are appended.
 */
void queueUpload(TransferState &Transfer, const WeightsState &Weights,
                 LinkId Link, const ChunkRequest &Request, Effects &Out);

/**
 * Sends requested chunks to peers, as far as the rate limits and the backlogs
 * of their links allow.
 * @param Transfer State to change.
 * @param Weights Held chunks.
 * @param Now Current time.
 * @param Out Effects are appended.
 */
void sendUploads(TransferState &Transfer, const WeightsState &Weights,
                 TimePoint Now, Effects &Out);

/**
 * Copies a part of a chunk into an answer.
 * @param Whole The chunk.
 * @param Offset Start of the part.
 * @param Length Its length; 0: to the end of the chunk.
 * @param Into Answer whose bytes, offset and total are set.
 */
void copyChunkPart(const std::string &Whole, uint64_t Offset, uint64_t Length,
                   ChunkData &Into);

} // namespace jacinthpond

#endif
