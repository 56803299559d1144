/** @file text_compression.cpp Compression of texts by zlib. */

#include "codec/text_compression.h"

#include <zlib.h>

#include <algorithm>

namespace jacinthpond {

namespace {

/** zlib's level: documents shrink to a sixth; higher levels gain little. */
constexpr int CompressionLevel = 3;
/** Bytes by which the output buffer grows during decompression. */
constexpr size_t GrowthStepBytes = 64 << 10;

} // namespace

std::string compressText(std::string_view Text) {
  if (Text.empty())
    return {};
  uLongf Size = compressBound(Text.size());
  std::string Bytes(Size, '\0');
  const int Status = compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                               reinterpret_cast<const Bytef *>(Text.data()),
                               Text.size(), CompressionLevel);
  // compress2() fails only when memory runs out. The result is empty then,
  // which is no valid document.
  Bytes.resize(Status == Z_OK ? Size : 0);
  Bytes.shrink_to_fit();
  return Bytes;
}

std::optional<std::string> decompressText(std::string_view Bytes,
                                          size_t MaxBytes) {
  if (Bytes.empty())
    return std::string();
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::string Text;
  int Status = Z_OK;
  while (Status == Z_OK && Text.size() <= MaxBytes) {
    const size_t Before = Text.size();
    Text.resize(Before + GrowthStepBytes);
    Stream.next_out = reinterpret_cast<Bytef *>(Text.data() + Before);
    Stream.avail_out = static_cast<uInt>(GrowthStepBytes);
    Status = inflate(&Stream, Z_NO_FLUSH);
    Text.resize(Before + GrowthStepBytes - Stream.avail_out);
  }
  inflateEnd(&Stream);
  if (Status != Z_STREAM_END || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace jacinthpond
