/** @file text_compression.h Compression of texts by zlib. */

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
 * Decompresses the result of compressText().
 * @param Bytes Compressed form; untrusted.
 * @param MaxBytes Longest text allowed: a few compressed bytes may expand to
 * any size.
 * @return The text; nothing when the input is invalid or the text too long.
 */
std::optional<std::string> decompressText(std::string_view Bytes,
                                          size_t MaxBytes);

} // namespace jacinthpond

#endif
