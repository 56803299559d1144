/** @file message_codec.h Encoding of messages as CBOR, by nlohmann-json. */

#ifndef JACINTHPOND_ADAPTERS_CODEC_MESSAGE_CODEC_H
#define JACINTHPOND_ADAPTERS_CODEC_MESSAGE_CODEC_H

#include "base/error_func.h"
#include "wire/message_type.h"

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Encodes a message as a CBOR array, its type and then its fields, followed by
 * a checksum.
 * @param m The message.
 * @return The content of one websocket frame.
 */
std::string encodeMessage(const Message &m);

/**
 * Verifies the checksum of a frame and decodes its message.
 * @param Bytes Content of one websocket frame; untrusted.
 * @return The message, or ErrorKind::Malformed.
 */
Result<Message> decodeMessage(std::string_view Bytes);

} // namespace jacinthpond

#endif
