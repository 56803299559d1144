/** @file message_codec.h Messages to CBOR and back, by nlohmann-json. */

#ifndef JACINTHPOND_ADAPTERS_CODEC_MESSAGE_CODEC_H
#define JACINTHPOND_ADAPTERS_CODEC_MESSAGE_CODEC_H

#include "base/error_func.h"
#include "wire/message_type.h"

#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Writes a message as one CBOR list, its type and then its fields, with a
 * checksum behind it.
 * @param m The message.
 * @return The bytes for one websocket frame.
 */
std::string encodeMessage(const Message &m);

/**
 * Checks and reads one frame.
 * @param Bytes Content of one websocket frame; not trusted.
 * @return The message, or ErrorKind::Malformed.
 */
Result<Message> decodeMessage(std::string_view Bytes);

} // namespace jacinthpond

#endif
