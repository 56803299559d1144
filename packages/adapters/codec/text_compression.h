/** @file text_compression.h Compressed text by zlib. */

#ifndef JACINTHPOND_ADAPTERS_CODEC_TEXT_COMPRESSION_H
#define JACINTHPOND_ADAPTERS_CODEC_TEXT_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jacinthpond {

/**
 * Compresses a text.
 * @param Text Any bytes.
 * @return The compressed form; empty for an empty text.
 */
std::string compressText(std::string_view Text);

/**
 * Undoes compressText().
 * @param Bytes Not trusted.
 * @param MaxBytes Longest text allowed; a small frame could stand for any size.
 * @return The text, or nothing when it cannot be read or is too long.
 */
std::optional<std::string> expandText(std::string_view Bytes, size_t MaxBytes);

} // namespace jacinthpond

#endif
